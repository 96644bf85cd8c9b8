"""Runs the periodic background work of a process."""

from ._loops import every
from ._loops import jittered
from ._loops import log_defect
from ._loops import Loop

__all__ = ["Loop", "every", "jittered", "log_defect"]
