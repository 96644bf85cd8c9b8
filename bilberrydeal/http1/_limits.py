"""Limits for callers."""

import attrs


@attrs.frozen
class ServerLimits:
    """Size and time limits for callers."""

    #: Maximum size of a request's header fields, in bytes.
    header_bytes: int
    #: Maximum size of a body, in bytes.
    body_bytes: int
    #: Maximum time from the first byte of a head to its last, in seconds.
    header_timeout_s: float
    #: Maximum idle time, between requests or within a body, in seconds.
    idle_timeout_s: float
    #: Maximum number of open connections.
    connections: int = 1_000
    #: Maximum memory of what is held for all callers: requests being read,
    #: queued or served, and responses that callers have not read, in bytes.
    memory_bytes: int = 64_000_000
