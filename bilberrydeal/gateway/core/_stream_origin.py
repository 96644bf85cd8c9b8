"""The engine that began a stream."""

import attrs

from ... import catalogue


@attrs.frozen
class StreamOrigin:
    """The process of an engine that sent the first event of a stream.

    The stream can go on at any engine of the same software version, and at
    none of another.
    """

    service: str
    #: Id of the engine; an engine may start again under it.
    endpoint_id: str
    #: When that process started, Unix time in milliseconds.
    started_ms: int
    software_version: str

    @classmethod
    def of(cls, endpoint: catalogue.Endpoint) -> "StreamOrigin":
        """Return the origin of a stream that an engine begins."""
        return cls(
            service=endpoint.service,
            endpoint_id=endpoint.endpoint_id,
            started_ms=endpoint.started_ms,
            software_version=endpoint.software_version,
        )
