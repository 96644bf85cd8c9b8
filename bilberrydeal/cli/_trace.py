"""Finds the story of one request in the gateways' logs."""

import collections.abc
import typing

import attrs
import msgspec

#: Events that tell what a process believes, apart from any request.
_BELIEFS = ("knowledge:", "following:", "gateway:", "leaving:", "roles:")
#: Beliefs that changed so long before a request ended are told, in lines.
BELIEFS_SHOWN = 6


@attrs.frozen
class Line:
    """One line of a log."""

    source: str
    fields: dict[str, typing.Any]

    @property
    def event(self) -> str:
        """Return what happened."""
        return str(self.fields.get("event", ""))

    @property
    def timestamp(self) -> str:
        """Return when, by the clock of the host."""
        return str(self.fields.get("timestamp", ""))


def parse(source: str, lines: collections.abc.Iterable[str]) -> list[Line]:
    """Return the lines of a log; text around the JSON is left out.

    What stands before the JSON may name the host, as in a log that several
    processes share; the last word of it becomes the line's source.
    """
    found = []
    for text in lines:
        prefix, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            fields = msgspec.json.decode(brace + rest.strip(), type=dict)
        except msgspec.DecodeError:
            continue
        words = prefix.split()
        found.append(Line(words[-1] if words else source, fields))
    return found


def story(lines: collections.abc.Sequence[Line], request_id: str) -> list[str]:
    """Return the story of a request, a line of text each.

    Example::

        for text in story(parse("gateway1", open("g1.log")), "9c41d07b"):
            print(text)
    """
    own = [line for line in lines if line.fields.get("request") == request_id]
    told: list[str] = []
    for line in own:
        told.extend(_beliefs_before(lines, line))
        told.append(_shown(line))
        told.extend(_steps(line))
    return told


def _beliefs_before(
    lines: collections.abc.Sequence[Line], own: Line
) -> list[str]:
    """Return what the same process last came to believe before a line."""
    if not own.event.startswith("request:"):
        return []
    before = [
        line
        for line in lines
        if line.source == own.source
        and line.event.startswith(_BELIEFS)
        and line.timestamp <= own.timestamp
    ]
    return [f"  believed: {_shown(line)}" for line in before[-BELIEFS_SHOWN:]]


def _shown(line: Line) -> str:
    left_out = {"event", "timestamp", "level", "request", "steps"}
    fields = ", ".join(
        f"{name} {value}"
        for name, value in line.fields.items()
        if name not in left_out and value not in (None, "")
    )
    return f"{line.timestamp} {line.source} {line.event} {fields}"


def _steps(line: Line) -> list[str]:
    return [
        f"  {step['at_ms']:>8.1f} ms  {step['kind']} at {step['endpoint']}"
        f"{_expected(step)}: {step['outcome']}"
        for step in line.fields.get("steps", [])
    ]


def _expected(step: dict[str, typing.Any]) -> str:
    if step.get("link_wait_ms", 0.0) is None:
        return ", waited for the host's own link to the end"
    if step.get("expected_ms") is None:
        return ""
    waits = ", behind those in time" if step.get("deferred") else ""
    return f", expected in {step['expected_ms']:.0f} ms{waits}"
