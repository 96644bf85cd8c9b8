"""Registries of implementations that settings select by name."""

from ._registry import Registry
from ._registry import UnknownName

__all__ = ["Registry", "UnknownName"]
