"""Requests and replies that entries exchange."""

import attrs

from .. import configuration
from .. import keys
from .. import membership
from ..systems import limits


@attrs.frozen
class EntryAddress:
    """Identity and address of an entry."""

    #: Incarnation of the entry.
    entry: str
    #: IP address of the entry.
    address: str
    #: Port of the state exchange.
    peer_port: int
    #: Failure domain of the entry.
    failure_domain: str


@attrs.frozen
class ExchangeRequest:
    """One request to a peer; processing it repeatedly is idempotent."""

    #: The requesting entry.
    sender: EntryAddress
    #: Unique to this request; the reply repeats it.
    nonce: str
    #: Latest revision that the sender has applied.
    revision: int
    #: Age of the sender's data for each shard of the members.
    ages: membership.ShardAges = ()
    #: The sender's demand for limits that the receiver distributes.
    need: limits.NeedReport | None = None
    #: Shares of limits that the sender distributes.
    grant: limits.ShareGrant | None = None
    #: Requests the receiver's demand.
    need_report_request: limits.NeedReportRequest | None = None


@attrs.frozen
class HostRelay:
    """Hosts that the platform lists for removal."""

    #: Names of the hosts.
    leaving: tuple[str, ...]
    #: Age of the list, in seconds.
    age_s: float


@attrs.frozen
class ExchangeReply:
    """The reply to one request."""

    #: Nonce of the request.
    nonce: str
    #: State of the replying entry's key directory.
    knowledge: keys.KeyFreshnessReport
    #: Revisions newer than the requester's, if the replying entry has them.
    changes: configuration.RelayChanges | None = None
    #: Shards of the members for which the replying entry has newer data.
    members: membership.MemberRelay = membership.MemberRelay(shards=())
    #: Hosts to be removed, if the replying entry has a list.
    hosts: HostRelay | None = None
