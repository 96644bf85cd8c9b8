"""Recent demand for each service, as all entries report it."""

import collections
import collections.abc

from ... import membership
from ... import systems
from ...systems import roles

#: Length of a demand window.
WINDOW_S = 5.0
#: Number of windows kept per service.
MAX_WINDOWS = 120


class DemandWindows:
    """Keeps recent demand and computes the rates of engines."""

    def __init__(self, views: systems.Table[systems.EndpointView]) -> None:
        self._views = views
        #: Windows by service, oldest first.
        self.by_service: dict[str, collections.deque[roles.DemandWindow]] = {}

    def observe(
        self,
        members: collections.abc.Iterable[membership.EntryMember],
        now_s: float,
    ) -> None:
        """Add a window with the demand that all entries reported."""
        totals: dict[str, tuple[float, float]] = {}
        for member in members:
            for demand in member.demand:
                prompt, output = totals.get(demand.service, (0.0, 0.0))
                totals[demand.service] = (
                    prompt + demand.prompt_tokens_per_s,
                    output + demand.output_tokens_per_s,
                )
        for service in totals.keys() | self.by_service.keys():
            prompt, output = totals.get(service, (0.0, 0.0))
            windows = self.by_service.setdefault(
                service, collections.deque(maxlen=MAX_WINDOWS)
            )
            windows.append(
                roles.DemandWindow(
                    end_s=now_s,
                    length_s=WINDOW_S,
                    prompt_tokens=prompt * WINDOW_S,
                    output_tokens=output * WINDOW_S,
                )
            )

    def rates(self, model: str) -> roles.ModelRates:
        """Return the mean rates of the engines known to this entry."""
        views = [view for view in self._views if view.service == model]
        if not views:
            return roles.ModelRates(key=model)
        return roles.ModelRates(
            key=model,
            prefill_tokens_per_s=sum(v.prefill_tokens_per_s for v in views)
            / len(views),
            decode_tokens_per_s=sum(v.decode_tokens_per_s for v in views)
            / len(views),
        )
