"""The shape of the settings file, with defaults and units."""

import typing

import attrs
import msgspec

IpNumber = typing.Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}$|^[0-9a-fA-F:]+$")
]
Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86400)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


@attrs.frozen
class AdapterSettings:
    """Which adapter speaks to an outside system, and where it is."""

    #: Name in the adapter registry.
    adapter: Name
    #: Base URL with an IP number, such as ``http://127.0.0.1:9000``.
    url: typing.Annotated[str, msgspec.Meta(pattern=r"^https?://[^/]+$")]


@attrs.frozen
class PlatformSettings:
    """The platform's services."""

    table: AdapterSettings
    objects: AdapterSettings
    endpoints: AdapterSettings
    usage: AdapterSettings
    hosts: AdapterSettings
    weights: AdapterSettings


@attrs.frozen
class StoreSettings:
    """How the platform's stores are called."""

    #: Longest wait for one call.
    call_timeout_s: Seconds = 1.0
    #: Most calls a second that this process makes, on average.
    call_rate_per_s: Seconds = 20.0
    #: Most calls a second for claims of requests that are not idempotent.
    claim_rate_per_s: Seconds = 200.0


@attrs.frozen
class HttpSettings:
    """The port that callers reach through the balancer."""

    port: Port
    #: Largest body taken, in bytes.
    body_limit_bytes: Count = 1_000_000
    #: Longest wait for a whole request.
    body_timeout_s: Seconds = 10.0
    #: Deadline of a request that names none.
    default_deadline_s: Seconds = 60.0
    #: Longest deadline that a request may name.
    longest_deadline_s: Seconds = 600.0


@attrs.frozen
class LinkSettings:
    """The link between entries and agents."""

    #: Time between two heartbeats on a link without work.
    idle_heartbeat_s: Seconds = 5.0
    #: A link with work that is silent for so long is closed and dialled anew.
    silent_bound_s: Seconds = 1.5
    #: An agent reports the load of its endpoint so often at most.
    status_s: Seconds = 5.0
    #: Longest wait for the answer to a hello.
    hello_timeout_s: Seconds = 1.0
    #: Messages other than first tokens and ends may wait so long for
    #: others to share their frame.
    flush_delay_s: Seconds = 0.004
    #: An agent keeps the requests of an entry without a link so long.
    resume_window_s: Seconds = 10.0
    #: Most messages that wait for one peer.
    outbox_limit: Count = 20_000


@attrs.frozen
class MembershipSettings:
    """How processes learn of each other."""

    #: Time between two renewals of the own row.
    renew_s: Seconds = 2.0
    #: A row that was not renewed for so long is no member.
    expiry_s: Seconds = 8.0
    #: Time between two reads of the members.
    read_s: Seconds = 2.0
    #: Time between two exchanges with a peer entry.
    exchange_s: Seconds = 0.5
    #: Endpoints that one entry keeps links to.
    subset_size: Count = 40


@attrs.frozen
class SecretSettings:
    """Files that hold secrets; their content is never logged."""

    #: Key of the hash under which callers' keys are stored.
    key_hash_file: str
    #: Hash of the operators' key, hexadecimal.
    operator_key_hash_file: str
    #: Secret that entries prove to each other.
    peer_file: str


@attrs.frozen
class PolicySettings:
    """Names of the deciding systems, see docs/design."""

    routing: Name = "prefix_bounded"
    admission: Name = "fair_shed"
    queueing: Name = "weighted_fair"
    limits: Name = "exchanged"
    retries: Name = "budgeted"
    health: Name = "outlier"
    roles: Name = "horizon"
    fleet: Name = "domain_loss"
    subset: Name = "covered_rendezvous"


@attrs.frozen
class DutySettings:
    """Leases of duties."""

    #: Time a lease is held without renewal.
    lease_ttl_s: Seconds = 6.0
    #: Time between two renewals.
    renew_s: Seconds = 1.5
    #: Subtracted from the own lease for drift of clocks.
    margin_s: Seconds = 0.5
    #: Time between two rounds of a duty.
    round_s: Seconds = 1.0


@attrs.frozen
class FleetSettings:
    """What the fleet planner may do."""

    #: Failure domains that endpoints are ordered in.
    failure_domains: tuple[Name, ...] = ()
    #: Lost failure domains that the fleet must carry.
    survive_domains: typing.Annotated[int, msgspec.Meta(ge=0, le=3)] = 1
    #: Fewest endpoints of a service in a failure domain.
    fewest_per_domain: typing.Annotated[int, msgspec.Meta(ge=0, le=1000)] = 1
    #: Most endpoints of a service in a failure domain.
    most_per_domain: Count = 8
    #: Expected time from an order to a delivered endpoint.
    delivery_s: Seconds = 60.0
    #: Services whose endpoints are ordered; none leaves the fleet alone.
    services: tuple[str, ...] = ()


@attrs.frozen
class UsageSettings:
    """Usage windows."""

    #: Length of a window.
    window_s: typing.Annotated[int, msgspec.Meta(ge=1, le=86400)] = 60
    #: Time between two settlements of an entry.
    settle_s: Seconds = 1.0
    #: A recorder passes a window so long after its end.
    grace_s: Seconds = 3.0


@attrs.frozen
class LogSettings:
    """Logs, one JSON object a line on standard error."""

    level: typing.Literal["debug", "info", "warning", "error"] = "info"


@attrs.frozen
class TraceSettings:
    """Traces, off without an exporter."""

    exporter: typing.Literal["none", "otlp", "file"] = "none"
    #: URL of the OTLP collector, or path of the file.
    target: str = ""
    #: Share of requests that are traced.
    sample_share: Share = 0.01


@attrs.frozen
class EntrySettings:
    """Settings of an entry."""

    role: typing.Literal["entry"]
    #: Name of the host.
    host_id: Name
    #: IP number that this process listens on.
    listen_address: IpNumber
    #: IP number under which others reach this process.
    advertise_address: IpNumber
    failure_domain: Name
    http: HttpSettings
    #: Port where peer entries exchange state.
    peer_port: Port
    platform: PlatformSettings
    secrets: SecretSettings
    region: Name = "region1"
    store: StoreSettings = StoreSettings()
    link: LinkSettings = LinkSettings()
    membership: MembershipSettings = MembershipSettings()
    policy: PolicySettings = PolicySettings()
    duties: DutySettings = DutySettings()
    fleet: FleetSettings = FleetSettings()
    usage: UsageSettings = UsageSettings()
    log: LogSettings = LogSettings()
    trace: TraceSettings = TraceSettings()
    #: Keys that were not confirmed for so long are refused.
    key_stale_bound_s: Seconds = 5.0
    #: Bound of a graceful shutdown.
    shutdown_bound_s: Seconds = 60.0
    #: Requests that may be in flight.
    requests_limit: Count = 2_000


@attrs.frozen
class AgentSettings:
    """Settings of an agent."""

    role: typing.Literal["agent"]
    #: Name of the host.
    host_id: Name
    #: Name of the endpoint that the agent serves.
    endpoint_id: Name
    #: IP number that this process listens on.
    listen_address: IpNumber
    #: IP number under which entries reach this process.
    advertise_address: IpNumber
    failure_domain: Name
    #: Port of the control socket.
    control_port: Port
    #: First of the ports for links; entries get one each.
    link_ports_from: Port
    #: Held while the process lives, so that a host never has two agents.
    guard_port: Port
    #: Port of metrics and health.
    metrics_port: Port
    #: The engine or the plain service.
    endpoint: AdapterSettings
    #: Whether the endpoint is an engine or a plain service.
    endpoint_kind: typing.Literal["engine", "plain"]
    #: Model or name of the plain service.
    service: str
    platform: PlatformSettings
    region: Name = "region1"
    #: Number of ports for links.
    link_ports: Count = 64
    store: StoreSettings = StoreSettings()
    link: LinkSettings = LinkSettings()
    membership: MembershipSettings = MembershipSettings()
    policy: PolicySettings = PolicySettings()
    log: LogSettings = LogSettings()
    trace: TraceSettings = TraceSettings()
    #: Requests handed to the endpoint at once.
    running_limit: Count = 16
    #: Requests that may wait.
    waiting_limit: Count = 256
    #: Time between two reads of the order row without a hint.
    order_poll_s: Seconds = 15.0
    #: Bound of a graceful shutdown.
    shutdown_bound_s: Seconds = 60.0
