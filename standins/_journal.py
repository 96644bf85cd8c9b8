"""Journal of the events at a stand-in, in memory and in a file.

The file outlives the process, so that a scenario can kill a stand-in and
still check what it did before.
"""

import pathlib
import typing

import msgspec


class Journal:
    """Appends events in order of arrival.

    Example::

        journal = Journal(pathlib.Path("engine.jsonl"))
        journal.append(Execution(...))
    """

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self.events: list[bytes] = []
        self._file = path.open("ab", buffering=0) if path else None

    def append(self, event: object) -> None:
        """Append an instance of an attrs class, tagged with its class name."""
        kind = type(event).__name__
        line = msgspec.json.encode(
            {"kind": kind, **msgspec.to_builtins(event)}
        )
        self.events.append(line)
        if self._file:
            self._file.write(line + b"\n")

    def dump(self) -> bytes:
        """Return all events as one JSON array."""
        return b"[" + b",".join(self.events) + b"]"


Event = typing.TypeVar("Event")


def load(path: pathlib.Path, kind: type[Event]) -> list[Event]:
    """Return the events of one class from a journal file."""
    if not path.exists():
        return []
    decoded = [msgspec.json.decode(line) for line in path.open("rb")]
    return [
        msgspec.convert(event, kind)
        for event in decoded
        if event.pop("kind") == kind.__name__
    ]
