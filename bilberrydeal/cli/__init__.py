"""The command-line interface for operators."""

from ._main import main

__all__ = ["main"]
