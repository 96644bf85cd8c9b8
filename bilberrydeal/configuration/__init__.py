"""Operators' configuration as a sequence of revisions."""

from ._changes import Change
from ._changes import IssueKey
from ._changes import RemoveAssignment
from ._changes import RemoveModel
from ._changes import RemoveRoute
from ._changes import RevisionConflict
from ._changes import SetAssignment
from ._changes import SetModel
from ._changes import SetOrganisation
from ._changes import SetRoute
from ._changes import WithdrawKey
from ._codec import decode_change
from ._codec import encode_change
from ._commit import Committer
from ._configuration import Configuration
from ._follow import Follower
from ._follow import RelayChanges
from ._follow import RelayHead
from ._follow import SnapshotLoaded
from ._rows import Access
from ._rows import Assignment
from ._rows import KeyRecord
from ._rows import Model
from ._rows import Organisation
from ._rows import Route
from ._store import Revision
from ._sweep import sweep

__all__ = [
    "Access",
    "Assignment",
    "Change",
    "Committer",
    "Configuration",
    "Follower",
    "IssueKey",
    "KeyRecord",
    "Model",
    "Organisation",
    "RelayChanges",
    "RelayHead",
    "RemoveAssignment",
    "RemoveModel",
    "RemoveRoute",
    "Revision",
    "RevisionConflict",
    "Route",
    "SetAssignment",
    "SetModel",
    "SetOrganisation",
    "SetRoute",
    "SnapshotLoaded",
    "WithdrawKey",
    "decode_change",
    "encode_change",
    "sweep",
]
