"""Fake worker of the users' platform: a plain service or an engine."""

from ._app import Arrival
from ._app import build
from ._app import Execution
from ._app import Registration
from ._app import text_of
from ._app import WorkerApp

__all__ = [
    "Arrival",
    "Execution",
    "Registration",
    "WorkerApp",
    "build",
    "text_of",
]
