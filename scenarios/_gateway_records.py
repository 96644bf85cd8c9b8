"""What was done to a fleet of gateways and what its workers recorded."""

import pathlib

import attrs

from standins import _journal


@attrs.frozen
class KeyChange:
    """A configuration as its operator wrote it."""

    #: Its version, which increases.
    version: int
    #: Organisations that have a key.
    organisations: frozenset[str]
    #: When it was first sent, in seconds.
    sent_s: float


@attrs.frozen
class CrashingRequest:
    """A request that crashes each worker that runs it."""

    route: str
    organisation: str
    #: Tells it from others; its path and body contain it.
    name: str


@attrs.frozen
class Disturbance:
    """A time in which a process did not run undisturbed."""

    #: Name of the process.
    member: str
    #: Process ids at the beginning and at the end.
    processes: frozenset[int]
    began_s: float
    ended_s: float


def load_of_workers(
    folder: pathlib.Path, kind: type[_journal.Event]
) -> list[_journal.Event]:
    """Return the events of one class from all workers' journals."""
    return [
        event
        for path in sorted(folder.glob("worker-*.jsonl"))
        for event in _journal.load(path, kind)
    ]
