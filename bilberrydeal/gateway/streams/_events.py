"""Splits a stream of server-sent events into complete events."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


#: Largest event, in bytes; more without its end are no event.
EVENT_LIMIT_BYTES = 1_048_576


class EventTooLarge(Exception):
    """A stream sent bytes without end that are no event."""


class EventSplitter:
    """Buffers partial events, so that another engine can resume a stream.

    Example::

        complete = splitter.feed(b"id: 1\\ndata: x\\n\\nid: 2")
        splitter.last_id  # b"1"
    """

    def __init__(self, last_id: bytes = b"") -> None:
        #: Id of the last complete event.
        self.last_id = last_id
        #: Whether any complete event was returned.
        self.any_complete = False
        self._buffer = b""

    @property
    def incomplete(self) -> bool:
        """Return whether a partial event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by ``data``.

        Raises :class:`EventTooLarge` if the event never seems to end.
        """
        buffered = self._buffer + data if self._buffer else data
        end = 0
        for found in _END.finditer(buffered):
            end = found.end()
        if len(buffered) - end > EVENT_LIMIT_BYTES:
            raise EventTooLarge(f"{len(buffered) - end} bytes")
        if not end:
            self._buffer = buffered
            return b""
        complete = buffered[:end]
        self._buffer = buffered[end:]
        self.any_complete = True
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1].strip()
        return complete

    def discard_partial(self) -> None:
        """Discard the buffered part of an event."""
        self._buffer = b""
