"""Row types and keys of the members table."""

import enum
import hashlib

import attrs

from .. import ports
from .. import store

#: Name of the table.
TABLE = "members"
#: Key prefix of entries.
ENTRIES = "entry/"
#: Key prefix of agents.
AGENTS = "agent/"
#: Key prefixes of all members.
PREFIXES = (ENTRIES, AGENTS)
#: Key prefix of marker rows, which exist while their entry is a member.
MARKERS = "standing/"
#: Number of shards of the agent rows, which divide reads among the entries.
AGENT_SHARDS = 16


class MemberState(enum.StrEnum):
    """State of a member, from itself or from the host list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ServiceDemand:
    """Recent demand per second of one entry's callers for one service."""

    #: Model, or name of the plain service.
    service: str
    #: Prompt tokens to compute.
    prompt_tokens_per_s: float
    #: Output tokens to generate.
    output_tokens_per_s: float
    #: Requests.
    requests_per_s: float


@attrs.frozen
class EntryMember:
    """Row of one entry."""

    #: Incarnation, unique to each start of the process.
    incarnation: str
    #: ID of the host.
    host_id: str
    #: IP address at which others reach it.
    address: str
    #: Port for the state exchange with peer entries.
    peer_port: int
    #: Its failure domain.
    failure_domain: str
    #: Its region.
    region: str = ""
    #: Whether it is live or leaving.
    state: MemberState = MemberState.LIVE
    #: Time of the write in seconds since the epoch, for operators only.
    renewed_at_s: float = 0.0
    #: The entry's current renewal interval, in seconds.
    renew_s: float = 2.0
    #: Demand of its callers.
    demand: tuple[ServiceDemand, ...] = ()
    #: Identifies the write that produced the row.
    nonce: str = ""

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return ENTRIES + self.incarnation


@attrs.frozen
class AgentMember:
    """Row of one agent and its endpoint."""

    #: ID of the endpoint.
    endpoint_id: str
    #: Incarnation of the agent, unique to each start.
    incarnation: str
    #: ID of the host.
    host_id: str
    #: IP address at which entries reach it.
    address: str
    #: Port of the control socket.
    control_port: int
    #: Its failure domain.
    failure_domain: str
    #: Model, or name of the plain service.
    service: str
    #: Role of the engine, empty for a plain service.
    role: str = ""
    #: Its region.
    region: str = ""
    #: Whether it is live or leaving.
    state: MemberState = MemberState.LIVE
    #: Version of the last applied order.
    order_version: int = 0
    #: Time of the write in seconds since the epoch, for operators only.
    renewed_at_s: float = 0.0
    #: The agent's current renewal interval, in seconds.
    renew_s: float = 120.0
    #: Identifies the write that produced the row.
    nonce: str = ""

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return agent_key(self.endpoint_id)


Member = EntryMember | AgentMember


def agent_key(endpoint_id: str) -> str:
    """Return the key of an agent's row."""
    digest = hashlib.blake2s(endpoint_id.encode(), digest_size=1).digest()
    return f"{AGENTS}{digest[0] % AGENT_SHARDS:x}/{endpoint_id}"


def marker_key(incarnation: str) -> ports.RowKey:
    """Return the key of the marker row of an entry.

    The row exists while the entry is a member and never changes. Every
    transaction that only members may commit checks it.
    """
    return ports.RowKey(TABLE, MARKERS + incarnation)


def encode(member: Member) -> bytes:
    """Return the encoded row of a member."""
    return store.encode(member)


def decode(row: ports.Row) -> Member:
    """Return the member stored in a row."""
    if row.key.startswith(ENTRIES):
        return store.decode(row.value, EntryMember)
    return store.decode(row.value, AgentMember)


def equal_except_renewal(one: Member | None, other: Member) -> bool:
    """Return whether two rows differ at most by a renewal.

    Demand counts as part of a renewal: planners read it from the store.
    """
    if one is None:
        return False
    if isinstance(one, EntryMember) and isinstance(other, EntryMember):
        one = attrs.evolve(one, demand=other.demand)
    return (
        attrs.evolve(one, renewed_at_s=other.renewed_at_s, nonce=other.nonce)
        == other
    )
