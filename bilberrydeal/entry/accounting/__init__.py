"""Settles the usage records that agents deliver."""

from ._settler import entry_gone_predicate
from ._settler import UsageSettler
from ._settler import window_rule

__all__ = [
    "UsageSettler",
    "entry_gone_predicate",
    "window_rule",
]
