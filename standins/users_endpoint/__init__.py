"""A small stand-in of the users' workers: plain services and engines."""

from ._app import App
from ._app import build
from ._app import Execution
from ._app import Place
from ._app import text_of

__all__ = ["App", "Execution", "Place", "build", "text_of"]
