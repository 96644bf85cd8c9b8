"""Runs the periodic background work of a process."""

from ._loops import jittered
from ._loops import keep_running
from ._loops import log_task_failure
from ._loops import Loop
from ._loops import run_periodically
from ._loops import WorkFunction
from ._wakeup import Wakeup

__all__ = [
    "Loop",
    "Wakeup",
    "WorkFunction",
    "jittered",
    "keep_running",
    "log_task_failure",
    "run_periodically",
]
