"""How busy an endpoint is, as far as this process can know.

What this process has in flight it knows exactly. Reports of the whole are
late, so that processes that trust them all rush to the endpoint that was
idle a moment ago. So an endpoint is judged by the own requests, and reports
only tell how many requests there are of others for each own one.
"""

import attrs

from .. import _entities

#: Time that a request in flight delays others, in seconds.
IN_FLIGHT_S = 0.04
#: Part of the older reports that remains when a new one comes.
KEPT_PART = 0.98
#: Most requests of all processes for each own one.
SHARING_LIMIT = 64.0
#: Times of sending are looked through for old ones at this many.
SENT_LIMIT = 256
#: Times of sending are kept without a report so long, in seconds.
SENT_MEMORY_S = 10.0


def prefill_s(view: _entities.EndpointView, prompt_tokens: float) -> float:
    """Return the time that a prompt takes at an endpoint, in seconds."""
    return prompt_tokens / view.prefill_tokens_per_s * view.slowness


def load_s(view: _entities.EndpointView, sharing: float) -> float:
    """Return what is in flight at an endpoint, in seconds."""
    return view.in_flight * sharing * IN_FLIGHT_S * view.slowness


def sent(view: _entities.EndpointView, now_s: float) -> None:
    """Note a request that was sent to an endpoint."""
    view.in_flight += 1
    view.sent_at_s.append(now_s)
    if len(view.sent_at_s) > SENT_LIMIT:
        oldest_s = now_s - SENT_MEMORY_S
        view.sent_at_s = [at_s for at_s in view.sent_at_s if at_s > oldest_s]


def finished(view: _entities.EndpointView) -> None:
    """Note that a request has ended at an endpoint."""
    view.in_flight = max(0, view.in_flight - 1)


@attrs.define
class Sharing:
    """How many requests of all processes there are for each own one."""

    #: Requests in flight by the reports, faded.
    reported: float = 0.0
    #: Own requests in flight when the reports were true, faded.
    own: float = 0.0

    def take(
        self, view: _entities.EndpointView, figures: _entities.LoadFigures
    ) -> None:
        """Take a load report."""
        view.reported_at_s = figures.true_at_s
        view.running = figures.running
        view.waiting = figures.waiting
        view.kv_used_share = figures.kv_used_share
        view.sent_at_s = [s for s in view.sent_at_s if s > figures.true_at_s]
        in_flight = figures.running + figures.waiting
        self.reported = self.reported * KEPT_PART + in_flight
        own = max(0, view.in_flight - len(view.sent_at_s))
        self.own = self.own * KEPT_PART + own

    @property
    def factor(self) -> float:
        """Return the number, at least one."""
        if self.own <= 0.0:
            return SHARING_LIMIT if self.reported > 0.0 else 1.0
        return min(SHARING_LIMIT, max(1.0, self.reported / self.own))
