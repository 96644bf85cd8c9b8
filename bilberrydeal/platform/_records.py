"""Decodes what the operator and the endpoints write into the store."""

import typing

import msgspec

from .. import catalogue
from .. import ports

_KINDS = {
    "safe": catalogue.RouteKind.IDEMPOTENT,
    "unsafe": catalogue.RouteKind.ONCE,
    "streaming": catalogue.RouteKind.STREAM,
}
_ROLES = {
    "prefill": ports.EngineRole.PREFILL,
    "decode": ports.EngineRole.DECODE,
}


class RecordInvalid(Exception):
    """A record that does not hold what it should."""


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    #: Matched against the start of the path.
    path_prefix: str
    kind: str
    max_attempts: int = 1
    timeout_ms: float = 30_000.0
    target_latency_ms: float = 1_000.0
    priority: int = 0
    #: Set where the route has one service; else there is a split.
    service: str | None = None
    traffic_split: list[_Split] = []
    public: bool = False
    resumable: bool = False
    target_gap_ms: float | None = None


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity_tokens: int = 0
    kv_hold_s: float = 0.0
    role_switch_s: float = 0.0


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/healthz"
    max_connections: int = 16
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    #: Absent where requests carry no keys.
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: typing.Literal["ready", "draining"]
    #: Unix time of its start, a whole number of milliseconds.
    born: int = 0
    stage: str | None = None


def decode_configuration(value: bytes) -> catalogue.Configuration:
    """Return a configuration; raises :class:`RecordInvalid`."""
    try:
        found = msgspec.json.decode(value, type=_Config)
        return catalogue.Configuration(
            version=found.version,
            routes=tuple(_route(route) for route in found.routes),
            services={
                service.name: _service(service) for service in found.services
            },
            limits=_limits(found.limits),
            organisations=_organisations(found.tenants),
        )
    except (msgspec.DecodeError, KeyError, ValueError) as error:
        raise RecordInvalid(str(error)) from error


def decode_endpoint(endpoint_id: str, value: bytes) -> catalogue.Endpoint:
    """Return an endpoint; raises :class:`RecordInvalid`."""
    try:
        found = msgspec.json.decode(value, type=_Server)
        host, _colon, port = found.address.rpartition(":")
        return catalogue.Endpoint(
            endpoint_id=endpoint_id,
            service=found.service,
            host=host,
            port=int(port),
            failure_domain=found.zone,
            slots=found.slots,
            ready=found.state == "ready",
            role=_ROLES[found.stage] if found.stage is not None else None,
            born_ms=found.born,
        )
    except (msgspec.DecodeError, KeyError, ValueError) as error:
        raise RecordInvalid(str(error)) from error


def _route(found: _Route) -> catalogue.Route:
    splits = tuple(
        catalogue.Split(split.service, split.weight)
        for split in found.traffic_split
        if split.weight > 0
    )
    if found.service is not None:
        splits = (catalogue.Split(found.service, 1.0),)
    return catalogue.Route(
        name=found.name,
        host=found.host.lower().encode(),
        path_prefix=found.path_prefix.encode(),
        kind=_KINDS[found.kind],
        attempts_limit=max(found.max_attempts, 1),
        timeout_s=found.timeout_ms / 1000,
        target_latency_s=found.target_latency_ms / 1000,
        priority=found.priority,
        splits=splits,
        public=found.public,
        resumable=found.resumable,
        target_gap_s=(found.target_gap_ms or found.timeout_ms) / 1000,
    )


def _service(found: _Service) -> catalogue.Service:
    engine = found.engine
    return catalogue.Service(
        name=found.name,
        health_path=found.health_path,
        connections_limit=found.max_connections,
        engine=None
        if engine is None
        else catalogue.EngineLimits(
            slots=engine.slots,
            kv_capacity_tokens=engine.kv_capacity_tokens,
            kv_hold_s=engine.kv_hold_s,
            role_switch_s=engine.role_switch_s,
        ),
    )


def _limits(found: _Limits) -> catalogue.CallerLimits:
    return catalogue.CallerLimits(
        header_bytes=found.max_header_bytes,
        body_bytes=found.max_body_bytes,
        header_timeout_s=found.header_timeout_ms / 1000,
        idle_timeout_s=found.idle_timeout_ms / 1000,
    )


def _organisations(
    found: list[_Tenant] | None,
) -> dict[bytes, catalogue.Organisation] | None:
    if found is None:
        return None
    by_key: dict[bytes, catalogue.Organisation] = {}
    for tenant in found:
        organisation = catalogue.Organisation(tenant.name, tenant.priority)
        for key in tenant.api_keys:
            by_key[key.encode()] = organisation
    return by_key
