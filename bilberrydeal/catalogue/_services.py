"""Services that endpoints belong to."""

import attrs


@attrs.frozen
class EngineLimits:
    """What each engine of a service can hold."""

    #: Requests that run at once.
    slots: int
    #: Tokens that fit its KV cache.
    kv_capacity_tokens: int
    #: How long it keeps a prompt that was read for another, in seconds.
    kv_hold_s: float
    #: How long a change of its stage takes it away, in seconds.
    role_switch_s: float


@attrs.frozen
class Service:
    """A group of endpoints that do the same work."""

    name: str
    #: Path of the health check.
    health_path: str
    #: Connections that each endpoint accepts from all callers together.
    connections_limit: int
    #: Set for engines, ``None`` for plain services.
    engine: EngineLimits | None
