"""Stand-ins: fake platform, engines and services for tests and demos."""

from ._journal import Event
from ._journal import Journal
from ._journal import load

__all__ = ["Event", "Journal", "load"]
