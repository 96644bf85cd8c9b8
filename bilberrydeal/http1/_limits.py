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
    #: Maximum total size of bodies being read or served, in bytes.
    total_body_bytes: int = 64_000_000
