"""The entry: takes callers' requests and carries them to endpoints."""

from ._process import run

__all__ = ["run"]
