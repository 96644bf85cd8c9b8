"""Stand-ins of the platform and the engines, for tests and demos."""

from ._journal import Event
from ._journal import Journal
from ._journal import load

__all__ = ["Event", "Journal", "load"]
