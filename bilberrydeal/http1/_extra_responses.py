"""Finds another response within a body that has neither length nor chunks."""

import re

_VERSION = b"HTTP/1."
#: Largest head that is found even if its bytes arrive apart.
TAIL_BYTES = 4_096
_HEAD_UP_TO_FIELD = (
    rb"HTTP/1\.[01] \d{3}[^\r\n]{0,100}\r\n"
    rb"(?:[^\r\n]{1,2000}\r\n){0,32}?%b:"
)


class ExtraResponseFinder:
    """Finds the head of a response that names the request it belongs to.

    A peer may send a late duplicate after a response. Where only the end of
    the connection ends the body, the duplicate would become a part of it.

    Example::

        finder = ExtraResponseFinder(b"request-id")
        finder.found(b"body")  # False
        finder.found(b"HTTP/1.1 200 OK\\r\\nrequest-id: 7\\r\\n")  # True
    """

    def __init__(self, id_header: bytes) -> None:
        self._head = re.compile(
            _HEAD_UP_TO_FIELD % re.escape(id_header), re.IGNORECASE
        )
        self._tail = b""

    def found(self, data: bytes) -> bool:
        """Return whether a head ends in the next bytes of the body."""
        window = self._tail + data
        if self._head.search(window):
            return True
        begun = _VERSION in window
        self._tail = window[-(TAIL_BYTES if begun else len(_VERSION) - 1) :]
        return False
