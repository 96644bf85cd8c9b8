"""Splits a stream of server-sent events and keeps the id of the last one."""

import re

from ... import decoding

_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


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
        self._buffer = decoding.EventBuffer()

    @property
    def incomplete(self) -> bool:
        """Return whether a partial event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by ``data``.

        Raises :class:`decoding.EventTooLarge` if one never seems to end.
        """
        complete = self._buffer.feed(data)
        if complete:
            self.any_complete = True
            ids = _ID.findall(complete)
            if ids:
                self.last_id = ids[-1].strip()
        return complete

    def discard_partial(self) -> None:
        """Discard the buffered part of an event."""
        self._buffer.clear()
