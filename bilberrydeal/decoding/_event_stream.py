"""Splits a stream of server-sent events where events end."""

#: Ends of an event, after its last character.
_ENDS = (b"\n\n", b"\n\r\n")
#: Longest of these.
_END_LIMIT_BYTES = 3
#: Largest event, in bytes; more without its end are no event.
EVENT_LIMIT_BYTES = 131_072


class EventTooLarge(Exception):
    """A stream sent bytes without end that are no event."""


class EventBuffer:
    """Holds the bytes of an event that is not complete.

    The work is proportional to the bytes, in pieces of any size.

    Example::

        buffer = EventBuffer()
        buffer.feed(b"data: x\\n\\ndata:")  # b"data: x\\n\\n"
        buffer.feed(b" y\\n\\n")  # b"data: y\\n\\n"
    """

    def __init__(self) -> None:
        self._rest = bytearray()

    def __bool__(self) -> bool:
        """Return whether it holds a part of an event."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by ``data``.

        Raises :class:`EventTooLarge` if the event never seems to end.
        """
        if not self._rest and data and _end_of_events(data, 0) == len(data):
            return data
        # What was searched before holds no end, but may hold half of one.
        searched = max(len(self._rest) - _END_LIMIT_BYTES + 1, 0)
        self._rest += data
        end = _end_of_events(self._rest, searched)
        if len(self._rest) - end > EVENT_LIMIT_BYTES:
            raise EventTooLarge(f"{len(self._rest) - end} bytes")
        complete = bytes(self._rest[:end])
        del self._rest[:end]
        return complete

    def clear(self) -> None:
        """Discard the part of an event."""
        self._rest.clear()


def _end_of_events(data: bytes | bytearray, start: int) -> int:
    """Return where the last complete event ends, 0 if there is none."""
    last = 0
    for end in _ENDS:
        found = data.rfind(end, start)
        if found >= 0:
            last = max(last, found + len(end))
    return last
