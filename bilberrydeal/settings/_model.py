"""Schema of the settings file, with defaults and units."""

import typing

import attrs
import msgspec

IpAddress = typing.Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}\.){3}\d{1,3}$|^[0-9a-fA-F:]+$")
]
Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86400)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000_000_000)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


@attrs.frozen
class AdapterSettings:
    """Adapter and address of an external system."""

    #: Name in the adapter registry.
    adapter: Name
    #: Base URL with an IP address, such as ``http://127.0.0.1:9000``.
    url: typing.Annotated[str, msgspec.Meta(pattern=r"^https?://[^/]+$")]


@attrs.frozen
class PlatformSettings:
    """Adapters for the platform's services."""

    table: AdapterSettings
    objects: AdapterSettings
    endpoints: AdapterSettings
    usage: AdapterSettings
    hosts: AdapterSettings
    weights: AdapterSettings


@attrs.frozen
class StoreSettings:
    """Timeouts and rates of calls to the platform's stores."""

    #: Timeout of one call.
    call_timeout_s: Seconds = 1.0
    #: Maximum average rate of calls by this process, per second.
    call_rate_per_s: Seconds = 20.0
    #: Maximum rate of calls per second for claims of non-idempotent requests.
    claim_rate_per_s: Seconds = 200.0


@attrs.frozen
class HttpSettings:
    """HTTP interface that callers reach through the load balancer."""

    port: Port
    #: Maximum size of a request body, in bytes.
    body_limit_bytes: Count = 1_000_000
    #: Maximum total size of bodies that are received or served, in bytes.
    bodies_limit_bytes: Bytes = 64_000_000
    #: Maximum time to receive a complete request.
    body_timeout_s: Seconds = 10.0
    #: Deadline of a request that specifies none.
    default_deadline_s: Seconds = 60.0
    #: Maximum deadline that a request may specify.
    longest_deadline_s: Seconds = 600.0


@attrs.frozen
class LinkSettings:
    """Links between entries and agents."""

    #: Time between two heartbeats on an idle link.
    idle_heartbeat_s: Seconds = 5.0
    #: A busy link that receives nothing for this long is reconnected.
    silent_bound_s: Seconds = 1.5
    #: Minimum time between two load reports of an agent.
    status_s: Seconds = 5.0
    #: Timeout for the reply to a hello message.
    hello_timeout_s: Seconds = 1.0
    #: Maximum delay of messages, other than first tokens and ends, for
    #: batching several messages into one frame.
    flush_delay_s: Seconds = 0.004
    #: How long an agent keeps the requests of a disconnected entry.
    resume_window_s: Seconds = 10.0
    #: Maximum number of messages queued for one peer.
    outbox_limit: Count = 20_000


@attrs.frozen
class MembershipSettings:
    """Membership: how processes discover each other."""

    #: Time between two renewals of the process's own row.
    renew_s: Seconds = 2.0
    #: A row that was not renewed for this long is no longer a member.
    expiry_s: Seconds = 8.0
    #: Time between two reads of the members.
    read_s: Seconds = 2.0
    #: Time between two state exchanges with a peer entry.
    exchange_s: Seconds = 0.5
    #: Number of endpoints that one entry keeps links to.
    subset_size: Count = 40


@attrs.frozen
class SecretSettings:
    """Files that contain secrets; their content is never logged."""

    #: File with the key for hashing callers' keys before they are stored.
    key_hash_file: str
    #: File with the hash of the operators' key, in hexadecimal.
    operator_key_hash_file: str
    #: File with the secret by which entries authenticate each other.
    peer_file: str


@attrs.frozen
class PolicySettings:
    """Names of the policy implementations, see docs/design."""

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

    #: Time until a lease expires without renewal.
    lease_ttl_s: Seconds = 6.0
    #: Time between two renewals.
    renew_s: Seconds = 1.5
    #: Safety margin for clock drift, subtracted from the process's own leases.
    margin_s: Seconds = 0.5
    #: Time between two rounds of a duty.
    round_s: Seconds = 1.0


@attrs.frozen
class FleetSettings:
    """Constraints of the fleet planner."""

    #: Failure domains in which endpoints are purchased.
    failure_domains: tuple[Name, ...] = ()
    #: Number of failure domains whose loss the fleet must tolerate.
    survive_domains: typing.Annotated[int, msgspec.Meta(ge=0, le=3)] = 1
    #: Minimum number of endpoints of a service in a failure domain.
    fewest_per_domain: typing.Annotated[int, msgspec.Meta(ge=0, le=1000)] = 1
    #: Maximum number of endpoints of a service in a failure domain.
    most_per_domain: Count = 8
    #: Expected time from a purchase order to the delivery of the endpoint.
    delivery_s: Seconds = 60.0
    #: Services whose endpoints are purchased; if empty, the fleet is not
    #: changed.
    services: tuple[str, ...] = ()


@attrs.frozen
class UsageSettings:
    """Usage accounting windows."""

    #: Length of a window.
    window_s: typing.Annotated[int, msgspec.Meta(ge=1, le=86400)] = 60
    #: Time between two settlements of an entry.
    settle_s: Seconds = 1.0
    #: Delay after the end of a window before a recorder treats it as over.
    grace_s: Seconds = 3.0


@attrs.frozen
class LogSettings:
    """Logs, written as one JSON object per line to standard error."""

    level: typing.Literal["debug", "info", "warning", "error"] = "info"


@attrs.frozen
class TraceSettings:
    """Tracing; disabled without an exporter."""

    exporter: typing.Literal["none", "otlp", "file"] = "none"
    #: URL of the OTLP collector, or path of the file.
    target: str = ""
    #: Fraction of requests that are traced.
    sample_share: Share = 0.01


@attrs.frozen
class EntrySettings:
    """Settings of an entry."""

    role: typing.Literal["entry"]
    #: Name of the host.
    host_id: Name
    #: IP address that this process listens on.
    listen_address: IpAddress
    #: IP address under which other processes reach this process.
    advertise_address: IpAddress
    failure_domain: Name
    http: HttpSettings
    #: Port for state exchange with peer entries.
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
    #: Keys that were not confirmed for this long are refused.
    key_stale_bound_s: Seconds = 5.0
    #: Maximum duration of a graceful shutdown.
    shutdown_bound_s: Seconds = 60.0
    #: Maximum number of requests in flight.
    requests_limit: Count = 2_000


@attrs.frozen
class AgentSettings:
    """Settings of an agent."""

    role: typing.Literal["agent"]
    #: Name of the host.
    host_id: Name
    #: Name of the endpoint that the agent serves.
    endpoint_id: Name
    #: IP address that this process listens on.
    listen_address: IpAddress
    #: IP address under which entries reach this process.
    advertise_address: IpAddress
    failure_domain: Name
    #: Port of the control socket.
    control_port: Port
    #: First of the ports for links; each entry is assigned one.
    link_ports_from: Port
    #: Port bound while the process runs, so that a host never has two agents.
    guard_port: Port
    #: Port for metrics and health checks.
    metrics_port: Port
    #: Adapter for the engine or plain service.
    endpoint: AdapterSettings
    #: Whether the endpoint is an engine or a plain service.
    endpoint_kind: typing.Literal["engine", "plain"]
    #: Name of the model or the plain service.
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
    #: Maximum number of concurrent requests to the endpoint.
    running_limit: Count = 16
    #: Maximum number of queued requests.
    waiting_limit: Count = 256
    #: Time between two reads of the order row without a notification.
    order_poll_s: Seconds = 15.0
    #: Maximum duration of a graceful shutdown.
    shutdown_bound_s: Seconds = 60.0
