"""Fake worker of the users' platform: a plain service or an engine."""

from ._app import Arrival
from ._app import build
from ._app import CRASH_S
from ._app import CRASHING_BODY
from ._app import event_of
from ._app import Execution
from ._app import Registration
from ._app import text_of
from ._app import WorkerApp

__all__ = [
    "Arrival",
    "CRASHING_BODY",
    "CRASH_S",
    "Execution",
    "Registration",
    "WorkerApp",
    "build",
    "event_of",
    "text_of",
]
