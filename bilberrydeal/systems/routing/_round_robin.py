"""Routes to endpoints in rotation."""

from .. import _entities
from . import _base


@_base.ROUTERS.register("round_robin")
class RoundRobin(_base.Router):
    """Chooses endpoints in rotation, regardless of load."""

    def __init__(self, options: _base.RouterOptions) -> None:
        super().__init__(options)
        self._position = self.random.randrange(1 << 16)

    def choose(
        self,
        candidates: list[_entities.EndpointView],
        request: _entities.PendingRequest,
        now_s: float,
    ) -> _entities.EndpointView:
        """Return the next endpoint in rotation."""
        self._position += 1
        return candidates[self._position % len(candidates)]
