"""What entries ask and answer each other."""

import attrs

from .. import configuration
from .. import keys
from .. import membership
from ..systems import limits


@attrs.frozen
class Introduction:
    """Who an entry is and where its peers reach it."""

    #: Incarnation of the entry.
    entry: str
    #: IP number of the entry.
    address: str
    #: Port of its exchange.
    peer_port: int
    #: The failure domain it is in.
    failure_domain: str


@attrs.frozen
class Ask:
    """One question; all in it may be repeated without harm."""

    #: Who asks.
    sender: Introduction
    #: Chosen for this question; the reply repeats it.
    nonce: str
    #: Newest revision that the asker has applied.
    revision: int
    #: How old the asker's knowledge of each shard of the members is.
    ages: membership.ShardAges = ()
    #: The asker's need of limits that the receiver divides.
    need: limits.NeedReport | None = None
    #: Shares of limits that the asker divides.
    grant: limits.ShareGrant | None = None
    #: Asks for the receiver's need.
    need_ask: limits.NeedAsk | None = None


@attrs.frozen
class HostRelay:
    """Which hosts are to go away, as the platform lists them."""

    #: Names of the hosts.
    leaving: tuple[str, ...]
    #: How long ago the list was read, in seconds.
    age_s: float


@attrs.frozen
class Reply:
    """The answer to one question."""

    #: Repeats the question's.
    nonce: str
    #: What the answerer knows of keys.
    knowledge: keys.PeerKnowledge
    #: Revisions past the asker's, where the answerer keeps them.
    changes: configuration.RelayChanges | None = None
    #: News of members that the answerer knows more of.
    members: membership.MemberRelay = membership.MemberRelay(shards=())
    #: Hosts that are to go away, where the answerer knows of any list.
    hosts: HostRelay | None = None
