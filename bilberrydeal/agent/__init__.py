"""The small process beside each endpoint."""

from ._daemon import run
from ._daemon import serve

__all__ = ["run", "serve"]
