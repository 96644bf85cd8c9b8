"""Runs the periodic work of a process."""

from ._loops import every
from ._loops import jittered

__all__ = ["every", "jittered"]
