"""Rows of the members table."""

import enum
import hashlib

import attrs

from .. import ports
from .. import store

#: The table.
TABLE = "members"
#: Begins the keys of entries.
ENTRIES = "entry/"
#: Begins the keys of agents.
AGENTS = "agent/"
#: Begins the keys of members, one after the other.
PREFIXES = (ENTRIES, AGENTS)
#: Begins the keys of rows that stand as long as their entry is a member.
STANDINGS = "standing/"
#: Shards that agents' rows are spread over, so that readers share them.
AGENT_SHARDS = 16


class MemberState(enum.StrEnum):
    """What a member says of itself, or the host list of its host."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ServiceDemand:
    """What callers of one entry asked of one service of late, a second."""

    #: Model, or name of the plain service.
    service: str
    #: Prompt tokens to be computed.
    prompt_tokens_per_s: float
    #: Tokens to be generated.
    output_tokens_per_s: float
    #: Requests.
    requests_per_s: float


@attrs.frozen
class EntryMember:
    """One entry."""

    #: Incarnation, new with each start.
    incarnation: str
    #: Name of the host.
    host_id: str
    #: IP number under which others reach it.
    address: str
    #: Port where peer entries exchange state.
    peer_port: int
    #: The failure domain it is in.
    failure_domain: str
    #: The region it is in.
    region: str = ""
    #: Whether it is to go away.
    state: MemberState = MemberState.LIVE
    #: When the row was written, seconds since the epoch; for people only.
    renewed_at_s: float = 0.0
    #: Time between two renewals as the entry keeps it now.
    renew_s: float = 2.0
    #: What its callers ask for.
    demand: tuple[ServiceDemand, ...] = ()
    #: Marks the write that set the row.
    nonce: str = ""

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return ENTRIES + self.incarnation


@attrs.frozen
class AgentMember:
    """One agent with its endpoint."""

    #: Name of the endpoint.
    endpoint_id: str
    #: Incarnation of the agent, new with each start.
    incarnation: str
    #: Name of the host.
    host_id: str
    #: IP number under which entries reach it.
    address: str
    #: Port of the control socket.
    control_port: int
    #: The failure domain it is in.
    failure_domain: str
    #: Model, or name of the plain service.
    service: str
    #: Role of the engine; empty for a plain service.
    role: str = ""
    #: The region it is in.
    region: str = ""
    #: Whether it is to go away.
    state: MemberState = MemberState.LIVE
    #: Version of the last order applied.
    order_version: int = 0
    #: When the row was written, seconds since the epoch; for people only.
    renewed_at_s: float = 0.0
    #: Time between two renewals as the agent keeps it now.
    renew_s: float = 120.0
    #: Marks the write that set the row.
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


def standing_key(incarnation: str) -> ports.RowKey:
    """Return the row that stands as long as an entry is a member.

    Transactions that only a member may make check it; it never changes.
    """
    return ports.RowKey(TABLE, STANDINGS + incarnation)


def encode(member: Member) -> bytes:
    """Return the row of a member."""
    return store.encode(member)


def decode(row: ports.Row) -> Member:
    """Return the member in a row."""
    if row.key.startswith(ENTRIES):
        return store.decode(row.value, EntryMember)
    return store.decode(row.value, AgentMember)


def same(one: Member | None, other: Member) -> bool:
    """Return whether two rows differ at most by a renewal.

    Demand is part of a renewal: who plans reads it from the store.
    """
    if one is None:
        return False
    if isinstance(one, EntryMember) and isinstance(other, EntryMember):
        one = attrs.evolve(one, demand=other.demand)
    return (
        attrs.evolve(one, renewed_at_s=other.renewed_at_s, nonce=other.nonce)
        == other
    )
