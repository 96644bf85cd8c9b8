"""The HTTP interface for callers: request handling and responses."""

from ._handler import CallerHandler
from ._handler import Clocks
from ._http import add_route
from ._http import close_server
from ._http import Handler
from ._http import json_response
from ._http import METHODS
from ._http import new_app

__all__ = [
    "CallerHandler",
    "Clocks",
    "Handler",
    "METHODS",
    "add_route",
    "close_server",
    "json_response",
    "new_app",
]
