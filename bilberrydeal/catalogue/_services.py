"""Services that endpoints belong to."""

import attrs


@attrs.frozen
class EngineLimits:
    """Capacity and timing of each engine of a service."""

    #: Maximum number of concurrent requests.
    slots: int
    #: Capacity of its KV cache, in tokens.
    kv_capacity_tokens: int
    #: How long it keeps the KV cache of a prefill for another engine, in
    #: seconds.
    kv_hold_s: float
    #: How long it is unavailable while it changes its stage, in seconds.
    role_switch_s: float


@attrs.frozen
class Service:
    """A group of interchangeable endpoints."""

    name: str
    #: Path of the health check.
    health_path: str
    #: Maximum number of connections per endpoint, over all clients.
    connections_limit: int
    #: Set for engines, ``None`` for plain services.
    engine: EngineLimits | None
