"""Request and response bodies of the operator API."""

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
#: Pattern that the names of configuration rows must match.
ROW_NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
_Name = typing.Annotated[str, msgspec.Meta(pattern=ROW_NAME)]
_Method = typing.Literal["GET", "POST", "PUT", "PATCH", "DELETE"]


@attrs.frozen(kw_only=True)
class OrganisationInput:
    """Request to create or replace an organisation."""

    #: Revision of the row that the operator read, 0 to create a row.
    expected_revision: int
    weight: _Weight = 1.0
    requests_per_s: _Rate = 0.0
    tokens_per_s: _Rate = 0.0
    concurrency: _Limit = 0
    enabled: bool = True


@attrs.frozen(kw_only=True)
class KeyInput:
    """Request to issue a key."""

    organisation: _Name
    label: _Label = ""


@attrs.frozen(kw_only=True)
class RouteInput:
    """Request to create or replace a route."""

    #: Revision of the row that the operator read, 0 to create a row.
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
    """Request to create or replace a model."""

    #: Revision of the row that the operator read, 0 to create a row.
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
    """Request to assign an engine to a role."""

    #: Revision of the row that the operator read, 0 to create a row.
    expected_revision: int
    role: ports.EngineRole
    version: _Label = ""
    adapters: tuple[_Label, ...] = ()


@attrs.frozen
class Committed:
    """Response to a committed change."""

    revision: int


@attrs.frozen
class KeyIssued:
    """Response with a new key; the only one that contains the secret."""

    revision: int
    key_id: str
    secret: str


@attrs.frozen
class KeyShown:
    """A key in a list, without its secret."""

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
    """State of an endpoint as seen by the entry that responds."""

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
    """The endpoints that the responding entry is connected to."""

    endpoints: list[EndpointShown]


@attrs.frozen
class EntryShown:
    """State of an entry as seen by the entry that responds."""

    entry: str
    address: str
    failure_domain: str
    #: Newest revision that it reported to be in force.
    revision: int
    #: Time since that report, in seconds; -1 if there was none.
    age_s: float


@attrs.frozen
class Status:
    """Status of the responding entry and of its peers."""

    entry: str
    host_id: str
    failure_domain: str
    revision: int
    #: Age of the list of withdrawn keys, in seconds.
    keys_age_s: float
    in_flight: int
    closing: bool
    duties: list[str]
    entries: list[EntryShown]


@attrs.frozen
class LeaseShown:
    """A duty's lease as stored in the table."""

    duty: str
    holder: str
    fence: int


@attrs.frozen
class LeaseList:
    """All leases."""

    leases: list[LeaseShown]


@attrs.frozen
class UsageShown:
    """Sealed usage of one organisation in one accounting window."""

    window_start_s: int
    organisation: str
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    calls: int
    reported: bool


@attrs.frozen
class UsageList:
    """Sealed usage of several windows, newest last."""

    windows: list[UsageShown]


@attrs.frozen
class RoleShown:
    """The committed role order of one engine."""

    endpoint_id: str
    order_version: int
    fence: int
    role: str
    model: str
    version: str
    adapters: tuple[str, ...]


@attrs.frozen
class RoleList:
    """The committed role orders of all engines."""

    roles: list[RoleShown]


@attrs.frozen
class Step:
    """One step in the processing of a request."""

    #: Time since the request arrived, in seconds.
    at_s: float
    part: str
    event: str


@attrs.frozen
class Trace:
    """Recorded steps of a recent request."""

    request: str
    steps: list[Step]


@attrs.frozen
class StatusLine:
    """Status of the responding entry alone, shown as one table row."""

    entry: str
    revision: int
    keys_age_s: float
    in_flight: int
    closing: bool
    duties: list[str]

    @classmethod
    def of(cls, status: Status) -> "StatusLine":
        """Return the table row for a status."""
        return cls(
            entry=status.entry,
            revision=status.revision,
            keys_age_s=status.keys_age_s,
            in_flight=status.in_flight,
            closing=status.closing,
            duties=status.duties,
        )
