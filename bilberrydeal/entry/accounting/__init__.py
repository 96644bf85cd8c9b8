"""Settles the usage that agents hand over."""

from ._settling import gone_test
from ._settling import Settling
from ._settling import window_rule

__all__ = [
    "Settling",
    "gone_test",
    "window_rule",
]
