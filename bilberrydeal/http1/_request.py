"""A request as received from a caller."""

import attrs

from . import _headers


@attrs.frozen
class Request:
    """One complete request."""

    #: Method, such as ``b"POST"``.
    method: bytes
    #: Request target as received: path and query.
    target: bytes
    #: Header fields in the order received, names in lower case.
    headers: _headers.Headers
    #: The body; empty if there is none.
    body: bytes
    #: Whether the request had a body, which may be empty.
    has_body: bool
    #: When its first byte was read, monotonic seconds.
    started_s: float
    #: When its last byte was read, monotonic seconds.
    read_s: float

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first field of that name."""
        return _headers.first_value(self.headers, name)

    def count(self, name: bytes) -> int:
        """Return how many fields have that name."""
        return _headers.count_name(self.headers, name)
