"""Registries that decorators fill and settings choose from."""

from ._registry import Registry
from ._registry import UnknownName

__all__ = ["Registry", "UnknownName"]
