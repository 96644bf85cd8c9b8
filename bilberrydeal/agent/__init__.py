"""The sidecar process that serves one endpoint to entries."""

from ._daemon import run
from ._daemon import serve

__all__ = ["run", "serve"]
