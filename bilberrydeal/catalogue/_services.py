"""Services that endpoints belong to."""

import math

import attrs


@attrs.frozen
class EngineLimits:
    """Capacity and timing of each engine of a service."""

    #: Maximum number of concurrent requests.
    slots: int
    #: Capacity of its KV cache, in tokens.
    kv_capacity_tokens: int
    #: Size of the KV cache of one token, in bytes.
    kv_token_bytes: int
    #: Bandwidth of its link to other engines, in megabits per second.
    kv_link_mbps: float
    #: How long it keeps the KV cache of a prefill for another engine, in
    #: seconds.
    kv_hold_s: float
    #: How long it is unavailable while it changes its stage, in seconds.
    role_switch_s: float

    @property
    def kv_transfer_token_s(self) -> float:
        """Return the time to transfer one token's KV cache, in seconds."""
        if self.kv_link_mbps <= 0.0:
            return math.inf
        return self.kv_token_bytes * 8 / (self.kv_link_mbps * 1e6)


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
