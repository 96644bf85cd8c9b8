"""Bodies of the operators' routes; the command line reads them too."""

import typing

import attrs
import msgspec

from .. import configuration
from .. import ports

_Weight = typing.Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
_Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_Limit = typing.Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]
_Price = typing.Annotated[float, msgspec.Meta(gt=0, le=1e6)]
_Path = typing.Annotated[str, msgspec.Meta(pattern=r"^/[^\s]{0,200}$")]
_Label = typing.Annotated[str, msgspec.Meta(max_length=100)]
#: Names of rows.
ROW_NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
_Name = typing.Annotated[str, msgspec.Meta(pattern=ROW_NAME)]
_Method = typing.Literal["GET", "POST", "PUT", "PATCH", "DELETE"]


@attrs.frozen(kw_only=True)
class OrganisationInput:
    """Sets an organisation's row."""

    #: Revision of the row as the operator saw it, 0 for a new one.
    expected_revision: int
    weight: _Weight = 1.0
    requests_per_s: _Rate = 0.0
    tokens_per_s: _Rate = 0.0
    concurrency: _Limit = 0
    enabled: bool = True


@attrs.frozen(kw_only=True)
class KeyInput:
    """Issues a key."""

    organisation: _Name
    label: _Label = ""


@attrs.frozen(kw_only=True)
class RouteInput:
    """Sets a route's row."""

    #: Revision of the row as the operator saw it, 0 for a new one.
    expected_revision: int
    path: _Path
    methods: tuple[_Method, ...] = ("POST",)
    access: configuration.Access = configuration.Access.KEYED
    idempotent: bool = False
    request_class: typing.Annotated[int, msgspec.Meta(ge=0, le=9)] = 0
    deadline_s: typing.Annotated[float, msgspec.Meta(ge=0, le=86400)] = 0.0
    service: str = ""


@attrs.frozen(kw_only=True)
class ModelInput:
    """Sets a model's row."""

    #: Revision of the row as the operator saw it, 0 for a new one.
    expected_revision: int
    service: _Name
    version: str = ""
    request_class: typing.Annotated[int, msgspec.Meta(ge=0, le=9)] | None = (
        None
    )
    prefill_price: _Price = 1.0
    decode_price: _Price = 4.0


@attrs.frozen(kw_only=True)
class AssignmentInput:
    """Assigns an engine to a role."""

    #: Revision of the row as the operator saw it, 0 for a new one.
    expected_revision: int
    role: ports.EngineRole
    version: _Label = ""
    adapters: tuple[_Label, ...] = ()


@attrs.frozen
class Committed:
    """The answer to an accepted change."""

    revision: int


@attrs.frozen
class KeyIssued:
    """The answer that shows a key, once."""

    revision: int
    key_id: str
    secret: str


@attrs.frozen
class KeyShown:
    """A key as it is listed."""

    key_id: str
    organisation: str
    withdrawn: bool
    label: str


@attrs.frozen
class OrganisationList:
    """All organisations."""

    revision: int
    organisations: list[configuration.Organisation]


@attrs.frozen
class KeyList:
    """All keys, without their secrets."""

    revision: int
    keys: list[KeyShown]


@attrs.frozen
class RouteList:
    """All routes."""

    revision: int
    routes: list[configuration.Route]


@attrs.frozen
class ModelRows:
    """All models."""

    revision: int
    models: list[configuration.Model]


@attrs.frozen
class AssignmentList:
    """All assignments."""

    revision: int
    assignments: list[configuration.Assignment]


@attrs.frozen
class EndpointShown:
    """One endpoint as this entry knows it."""

    endpoint_id: str
    failure_domain: str
    service: str
    role: str
    accepting: bool
    circuit: str
    running: int
    waiting: int
    in_flight: int
    order_version: int


@attrs.frozen
class EndpointList:
    """The endpoints that this entry has links to."""

    endpoints: list[EndpointShown]


@attrs.frozen
class EntryShown:
    """One entry as this one knows it."""

    entry: str
    address: str
    failure_domain: str
    #: Newest revision that it was known to have in force.
    revision: int
    #: How long ago that was learned, in seconds.
    age_s: float


@attrs.frozen
class Status:
    """What this entry says of itself and of its peers."""

    entry: str
    host_id: str
    failure_domain: str
    revision: int
    #: Age of what is known of withdrawn keys, in seconds.
    keys_age_s: float
    in_flight: int
    closing: bool
    duties: list[str]
    entries: list[EntryShown]


@attrs.frozen
class LeaseShown:
    """One duty's lease as the table has it."""

    duty: str
    holder: str
    fence: int


@attrs.frozen
class LeaseList:
    """All leases."""

    leases: list[LeaseShown]


@attrs.frozen
class UsageShown:
    """One organisation's sealed figures in one window."""

    window_start_s: int
    organisation: str
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    calls: int
    reported: bool


@attrs.frozen
class UsageList:
    """Sealed windows, newest last."""

    windows: list[UsageShown]


@attrs.frozen
class RoleShown:
    """The committed order of one engine."""

    endpoint_id: str
    order_version: int
    fence: int
    role: str
    model: str
    version: str
    adapters: tuple[str, ...]


@attrs.frozen
class RoleList:
    """The committed orders of all engines."""

    roles: list[RoleShown]


@attrs.frozen
class Step:
    """One step of a request."""

    #: Time since the request came in, in seconds.
    at_s: float
    part: str
    event: str


@attrs.frozen
class Trace:
    """What the entry remembers of a recent request."""

    request: str
    steps: list[Step]


@attrs.frozen
class StatusLine:
    """The entry's own part of its status, on one line."""

    entry: str
    revision: int
    keys_age_s: float
    in_flight: int
    closing: bool
    duties: list[str]

    @classmethod
    def of(cls, status: Status) -> "StatusLine":
        """Return the line of a status."""
        return cls(
            entry=status.entry,
            revision=status.revision,
            keys_age_s=status.keys_age_s,
            in_flight=status.in_flight,
            closing=status.closing,
            duties=status.duties,
        )
