"""The gateway: an entry that speaks to the endpoints itself."""

from ._process import run

__all__ = ["run"]
