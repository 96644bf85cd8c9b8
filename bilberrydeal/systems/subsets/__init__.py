"""Choosers of the subset of endpoints that an entry keeps links to."""

from ._covered import assign
from ._covered import CoveredRendezvous
from ._registry import EndpointMember
from ._registry import EntryMember
from ._registry import SubsetChooser
from ._registry import SUBSETS
from ._weighted import WeightedRendezvous

__all__ = [
    "SUBSETS",
    "CoveredRendezvous",
    "EndpointMember",
    "EntryMember",
    "SubsetChooser",
    "WeightedRendezvous",
    "assign",
]
