"""Plans the roles of engines and the size of the fleet."""

from ._duties import build_duties
from ._duties import EntryDuties
from ._planning import Planning
from ._windows import WINDOW_S

__all__ = [
    "EntryDuties",
    "Planning",
    "WINDOW_S",
    "build_duties",
]
