"""The gateway: an entry process that sends to the endpoints directly."""

from ._process import run

__all__ = ["run"]
