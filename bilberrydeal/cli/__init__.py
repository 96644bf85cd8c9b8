"""The operators' command line."""

from ._app import main

__all__ = ["main"]
