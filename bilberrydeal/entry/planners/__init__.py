"""Plans the roles of engines and the size of the fleet."""

from ._authority import Authority
from ._authority import build_authority
from ._planning import Planning
from ._windows import WINDOW_S

__all__ = [
    "Authority",
    "Planning",
    "WINDOW_S",
    "build_authority",
]
