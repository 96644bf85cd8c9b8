"""Cuts a stream of server-sent events into whole events."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Passes on whole events only, so that a stream can go on elsewhere.

    Example::

        whole = cutter.feed(b"id: 1\\ndata: x\\n\\nid: 2")
        cutter.last_id  # b"1"
    """

    def __init__(self, last_id: bytes = b"") -> None:
        #: Id of the last event that was passed on.
        self.last_id = last_id
        #: Whether any event was passed on.
        self.any = False
        self._rest = b""

    @property
    def incomplete(self) -> bool:
        """Return whether part of an event waits for its end."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the events that are whole by now."""
        buffered = self._rest + data if self._rest else data
        end = 0
        for found in _END.finditer(buffered):
            end = found.end()
        if not end:
            self._rest = buffered
            return b""
        whole = buffered[:end]
        self._rest = buffered[end:]
        self.any = True
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1].strip()
        return whole

    def restart(self) -> None:
        """Forget the part of an event that was begun."""
        self._rest = b""
