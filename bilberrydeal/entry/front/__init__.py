"""The front door: the port of callers, and answers in its protocol."""

from ._http import add_route
from ._http import Handler
from ._http import json_answer
from ._http import METHODS
from ._http import new_app
from ._serving import Clocks
from ._serving import Serving

__all__ = [
    "Clocks",
    "Handler",
    "METHODS",
    "Serving",
    "add_route",
    "json_answer",
    "new_app",
]
