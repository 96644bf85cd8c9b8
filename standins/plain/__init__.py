"""Fake plain service."""

from ._app import build
from ._app import Control
from ._app import Executed
from ._app import receipt

__all__ = ["Control", "Executed", "build", "receipt"]
