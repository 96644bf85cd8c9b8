"""Endpoints as they announce themselves."""

import attrs

from .. import ports


@attrs.frozen
class Endpoint:
    """One endpoint."""

    endpoint_id: str
    #: Service that it belongs to.
    service: str
    #: IP number.
    host: str
    port: int
    failure_domain: str
    #: Requests that run at once.
    slots: int
    #: Whether it takes new work; else it is leaving.
    ready: bool
    #: Role of an engine, ``None`` for a plain service.
    role: ports.EngineRole | None
    #: Unix time of its start in milliseconds; 0 where not told.
    born_ms: int

    @property
    def address(self) -> str:
        """Return the address as text."""
        return f"{self.host}:{self.port}"
