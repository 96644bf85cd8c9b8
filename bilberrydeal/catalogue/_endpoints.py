"""Endpoints as they register themselves in the store."""

import attrs

from .. import ports


@attrs.frozen
class Endpoint:
    """One registered endpoint."""

    endpoint_id: str
    #: Service that it belongs to.
    service: str
    #: IP address.
    host: str
    port: int
    failure_domain: str
    #: Maximum number of concurrent requests.
    slots: int
    #: Whether it accepts new requests; otherwise it is draining.
    ready: bool
    #: Role of an engine; ``None`` for a plain service.
    role: ports.EngineRole | None
    #: Unix time of its start, in milliseconds; 0 if not reported.
    started_ms: int
    #: Version of its software; empty if not reported. A stream can go on only
    #: at an engine of the version that began it.
    software_version: str = ""
    #: Increases with each row that its process writes; 0 if not reported. Two
    #: rows that differ in nothing else say the same.
    sequence: int = attrs.field(default=0, eq=False)

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"{self.host}:{self.port}"
