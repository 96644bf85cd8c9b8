"""One endpoint after the other."""

from .. import _entities
from . import _base


@_base.ROUTERS.register("round_robin")
class RoundRobin(_base.Router):
    """Takes endpoints in turn, whatever their load."""

    def __init__(self, options: _base.RouterOptions) -> None:
        super().__init__(options)
        self._turn = self.random.randrange(1 << 16)

    def choose(
        self,
        candidates: list[_entities.EndpointView],
        request: _entities.PendingRequest,
        now_s: float,
    ) -> _entities.EndpointView:
        """Return the next endpoint in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]
