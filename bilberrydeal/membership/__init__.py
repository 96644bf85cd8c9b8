"""Registration and discovery of entries and agents."""

from ._directory import MemberDirectory
from ._incarnation import new_incarnation
from ._members import AgentMember
from ._members import decode
from ._members import encode
from ._members import ENTRIES
from ._members import EntryMember
from ._members import marker_key
from ._members import Member
from ._members import MemberState
from ._members import PREFIXES
from ._members import ServiceDemand
from ._members import TABLE
from ._registration import Registration
from ._registration import RowTaken
from ._relay import MemberRelay
from ._relay import RelayedRow
from ._relay import RelayedShard
from ._relay import ShardAges

__all__ = [
    "AgentMember",
    "ENTRIES",
    "EntryMember",
    "Member",
    "MemberDirectory",
    "MemberRelay",
    "MemberState",
    "PREFIXES",
    "Registration",
    "RelayedRow",
    "RelayedShard",
    "RowTaken",
    "ServiceDemand",
    "ShardAges",
    "TABLE",
    "decode",
    "encode",
    "marker_key",
    "new_incarnation",
]
