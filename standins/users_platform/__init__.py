"""Fake of the users' platform: its store and usage interface."""

from ._app import build
from ._app import UsageCall
from ._rows import HistoryGone
from ._rows import Rows

__all__ = ["HistoryGone", "Rows", "UsageCall", "build"]
