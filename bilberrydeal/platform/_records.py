"""Decodes the store records that the operator and the endpoints write."""

import re
import typing

import msgspec

from .. import catalogue
from .. import decoding
from .. import ports
from . import _quotas

#: Callers close a stream without events for the longest of this time, in
#: seconds, and these multiples of the route's target latency and target gap.
MIN_STALL_LIMIT_S = 2.0
STALL_LIMIT_TARGETS = 4.0
STALL_LIMIT_GAPS = 8.0

#: Most requests that one endpoint runs at once.
SLOTS_LIMIT = 1_000_000
#: Greatest number that is exact in all formats, also as a float.
NUMBER_LIMIT = 2**53
#: Longest version of an endpoint's software, in characters.
VERSION_LIMIT_CHARACTERS = 200
#: Ids of endpoints are sent in header fields.
_ENDPOINT_ID = re.compile(r"[\x21-\x7e]{1,200}")

_ROUTE_KINDS = {
    "safe": catalogue.RouteKind.IDEMPOTENT,
    "unsafe": catalogue.RouteKind.ONCE,
    "streaming": catalogue.RouteKind.STREAM,
}
_ENGINE_ROLES = {
    "prefill": ports.EngineRole.PREFILL,
    "decode": ports.EngineRole.DECODE,
}


class RecordInvalid(Exception):
    """A record that does not match its schema."""


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
    #: Set if the route has a single service; otherwise there is a split.
    service: str | None = None
    traffic_split: list[_Split] = []
    public: bool = False
    resumable: bool = False
    target_gap_ms: float | None = None


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity_tokens: int = 0
    kv_token_bytes: int = 0
    link_mbps: float = 0.0
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
    unit: msgspec.Raw = msgspec.Raw()
    plain_tokens: msgspec.Raw = msgspec.Raw()
    rate_per_s: msgspec.Raw = msgspec.Raw()
    burst: msgspec.Raw = msgspec.Raw()


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    #: Absent if requests carry no keys.
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=SLOTS_LIMIT)]
    state: typing.Literal["ready", "draining"]
    #: Unix time of its start, in whole milliseconds.
    born: typing.Annotated[int, msgspec.Meta(ge=0, le=NUMBER_LIMIT)] = 0
    #: Version of its software.
    version: typing.Annotated[
        str, msgspec.Meta(max_length=VERSION_LIMIT_CHARACTERS)
    ] = ""
    stage: str | None = None
    #: Of any type, since nothing depends on it while the store goes ahead.
    sequence: typing.Any = 0


def decode_configuration(value: bytes) -> catalogue.Configuration:
    """Decode a configuration; raises :class:`RecordInvalid`."""
    try:
        record = msgspec.json.decode(value, type=_Config)
        organisations, quotas, faults = _organisations(record.tenants)
        return catalogue.Configuration(
            version=record.version,
            routes=tuple(_route(route) for route in record.routes),
            services={
                service.name: _service(service) for service in record.services
            },
            limits=_limits(record.limits),
            organisations=organisations,
            quota_faults=faults,
            quotas=quotas,
        )
    except (*decoding.DECODE_ERRORS, KeyError, ValueError) as error:
        raise RecordInvalid(str(error)) from error


def decode_endpoint(endpoint_id: str, value: bytes) -> catalogue.Endpoint:
    """Decode an endpoint; raises :class:`RecordInvalid`."""
    if not _ENDPOINT_ID.fullmatch(endpoint_id):
        raise RecordInvalid("the id is no header value")
    try:
        record = msgspec.json.decode(value, type=_Server)
        host, port = decoding.split_address(record.address)
        if not port:
            raise RecordInvalid("port 0")
        return catalogue.Endpoint(
            endpoint_id=endpoint_id,
            service=record.service,
            host=host,
            port=port,
            failure_domain=record.zone,
            slots=record.slots,
            ready=record.state == "ready",
            role=_ENGINE_ROLES[record.stage]
            if record.stage is not None
            else None,
            started_ms=record.born,
            software_version=record.version,
            sequence=_sequence(record.sequence),
        )
    except (*decoding.DECODE_ERRORS, KeyError, ValueError) as error:
        raise RecordInvalid(str(error)) from error


def _sequence(found: object) -> int:
    """Return the number of accepted orders, 0 if it is no such number."""
    if isinstance(found, int) and 0 <= found <= NUMBER_LIMIT:
        return found
    return 0


def _stall_limit_s(record: _Route) -> float:
    """Return how long callers wait for the next event of a stream."""
    if record.target_gap_ms is None:
        return record.timeout_ms / 1000
    return max(
        MIN_STALL_LIMIT_S,
        STALL_LIMIT_TARGETS * record.target_latency_ms / 1000,
        STALL_LIMIT_GAPS * record.target_gap_ms / 1000,
    )


def _route(record: _Route) -> catalogue.Route:
    splits = tuple(
        catalogue.TrafficSplit(split.service, split.weight)
        for split in record.traffic_split
        if split.weight > 0
    )
    if record.service is not None:
        splits = (catalogue.TrafficSplit(record.service, 1.0),)
    return catalogue.Route(
        name=record.name,
        host=record.host.lower().encode(),
        path_prefix=record.path_prefix.encode(),
        kind=_ROUTE_KINDS[record.kind],
        max_attempts=max(record.max_attempts, 1),
        timeout_s=record.timeout_ms / 1000,
        target_latency_s=record.target_latency_ms / 1000,
        priority=record.priority,
        splits=splits,
        public=record.public,
        resumable=record.resumable,
        target_gap_s=(record.target_gap_ms or record.timeout_ms) / 1000,
        stall_limit_s=_stall_limit_s(record),
    )


def _service(record: _Service) -> catalogue.Service:
    engine = record.engine
    return catalogue.Service(
        name=record.name,
        health_path=record.health_path,
        connections_limit=record.max_connections,
        engine=None
        if engine is None
        else catalogue.EngineLimits(
            slots=engine.slots,
            kv_capacity_tokens=engine.kv_capacity_tokens,
            kv_token_bytes=engine.kv_token_bytes,
            kv_link_mbps=engine.link_mbps,
            kv_hold_s=engine.kv_hold_s,
            role_switch_s=engine.role_switch_s,
        ),
    )


def _limits(record: _Limits) -> catalogue.CallerLimits:
    return catalogue.CallerLimits(
        header_bytes=record.max_header_bytes,
        body_bytes=record.max_body_bytes,
        header_timeout_s=record.header_timeout_ms / 1000,
        idle_timeout_s=record.idle_timeout_ms / 1000,
    )


def _organisations(
    tenants: list[_Tenant] | None,
) -> tuple[
    dict[bytes, catalogue.Organisation] | None,
    dict[str, catalogue.Quota],
    tuple[str, ...],
]:
    """Return organisations by key, quotas by name and faults of quotas."""
    if tenants is None:
        return None, {}, ()
    by_key: dict[bytes, catalogue.Organisation] = {}
    quotas: dict[str, catalogue.Quota] = {}
    faults: list[str] = []
    for tenant in tenants:
        try:
            quota = _quotas.decode_quota(
                tenant.unit,
                tenant.plain_tokens,
                tenant.rate_per_s,
                tenant.burst,
            )
        except _quotas.QuotaInvalid as error:
            faults.append(f"{tenant.name}: {error}")
            quota = None
        if quota is not None:
            quotas[tenant.name] = quota
        organisation = catalogue.Organisation(
            tenant.name, tenant.priority, quota
        )
        for key in tenant.api_keys:
            by_key[key.encode()] = organisation
    return by_key, quotas, tuple(faults)
