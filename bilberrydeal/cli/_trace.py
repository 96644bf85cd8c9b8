"""Reconstructs the timeline of one request from gateway logs."""

import collections.abc
import typing

import attrs
import msgspec

#: Prefixes of events about the state of a process, not about a request.
_STATE_EVENTS = (
    "following:",
    "gateway:",
    "knowledge:",
    "leaving:",
    "quarantine:",
    "roles:",
)
#: State events shown before the end of a request, at most.
STATE_EVENTS_SHOWN = 6


@attrs.frozen
class LogLine:
    """One structured log line."""

    source: str
    fields: dict[str, typing.Any]

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return str(self.fields.get("event", ""))

    @property
    def timestamp(self) -> str:
        """Return the time of the event by the host's clock."""
        return str(self.fields.get("timestamp", ""))


def parse(source: str, lines: collections.abc.Iterable[str]) -> list[LogLine]:
    """Return the log lines that contain a JSON object.

    A prefix before the JSON names the host in a log that several processes
    share: its last word becomes the source of the line.
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
        found.append(LogLine(words[-1] if words else source, fields))
    return found


def request_timeline(
    lines: collections.abc.Sequence[LogLine], request_id: str
) -> list[str]:
    """Return the timeline of a request as lines of text.

    Example::

        lines = parse("gateway1", open("g1.log"))
        for text in request_timeline(lines, "9c41d07b"):
            print(text)
    """
    own = [line for line in lines if line.fields.get("request") == request_id]
    timeline: list[str] = []
    for line in own:
        timeline.extend(_state_events_before(lines, line))
        timeline.append(_format_line(line))
        timeline.extend(_format_steps(line))
        timeline.extend(_repetitions(lines, line))
    return timeline


def _repetitions(
    lines: collections.abc.Sequence[LogLine], ended: LogLine
) -> list[str]:
    """Return the other visits of a request that failed, by fingerprint."""
    fingerprint = ended.fields.get("fingerprint")
    if not fingerprint:
        return []
    return [
        f"  the same request as {line.fields.get('request')}:"
        f" {line.timestamp} {line.source} status {line.fields.get('status')}"
        for line in lines
        if line is not ended and line.fields.get("fingerprint") == fingerprint
    ]


def _state_events_before(
    lines: collections.abc.Sequence[LogLine], ended: LogLine
) -> list[str]:
    """Return the process's last state events before a request ended."""
    if not ended.event.startswith("request:"):
        return []
    before = [
        line
        for line in lines
        if line.source == ended.source
        and line.event.startswith(_STATE_EVENTS)
        and line.timestamp <= ended.timestamp
    ]
    return [
        f"  state: {_format_line(line)}"
        for line in before[-STATE_EVENTS_SHOWN:]
    ]


def _format_line(line: LogLine) -> str:
    omitted = {"event", "timestamp", "level", "request", "steps"}
    fields = ", ".join(
        f"{name} {value}"
        for name, value in line.fields.items()
        if name not in omitted and value not in (None, "")
    )
    return f"{line.timestamp} {line.source} {line.event} {fields}"


def _format_steps(line: LogLine) -> list[str]:
    return [
        f"  {step['at_ms']:>8.1f} ms  {step['kind']} at {step['endpoint']}"
        f"{_format_expectation(step)}: {step['outcome']}"
        for step in line.fields.get("steps", [])
    ]


def _format_expectation(step: dict[str, typing.Any]) -> str:
    if step.get("link_wait_ms", 0.0) is None:
        return ", still waiting for the host's link at the end"
    if step.get("expected_ms") is None:
        return ""
    deferral = (
        ", deferred behind requests in time" if step.get("deferred") else ""
    )
    return f", expected in {step['expected_ms']:.0f} ms{deferral}"
