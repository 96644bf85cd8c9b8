"""Routes to the endpoint with the fewest requests in flight."""

from .. import _entities
from . import _base


@_base.ROUTERS.register("least_outstanding")
class LeastOutstanding(_base.Router):
    """Counts only requests of this process and breaks ties at random."""

    def choose(
        self,
        candidates: list[_entities.EndpointView],
        request: _entities.PendingRequest,
        now_s: float,
    ) -> _entities.EndpointView:
        """Return an endpoint with the fewest requests in flight."""
        fewest = min(view.in_flight for view in candidates)
        return self.random.choice(
            [view for view in candidates if view.in_flight == fewest]
        )
