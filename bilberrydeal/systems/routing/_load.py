"""Estimates the load of endpoints.

A process knows its own requests in flight exactly, while load reports are
late: processes that rely on them all send to the endpoint that was idle a
moment ago. The load of an endpoint is therefore estimated from this process's
own requests. Reports only determine the ratio of all requests to own ones.
"""

import attrs

from .. import _entities

#: Delay that a request in flight causes to others, in seconds.
IN_FLIGHT_S = 0.04
#: Factor by which a new report decays the previous ones.
REPORT_DECAY = 0.98
#: Maximum ratio of the requests of all processes to own ones.
MAX_FLEET_LOAD_RATIO = 64.0
#: Old send times are pruned at this number of send times.
SEND_TIMES_PRUNE_THRESHOLD = 256
#: Maximum age of a send time that no report has covered, in seconds.
SEND_TIMES_MAX_AGE_S = 10.0


def prefill_s(view: _entities.EndpointView, prompt_tokens: float) -> float:
    """Return the time to compute a prompt at an endpoint, in seconds."""
    return prompt_tokens / view.prefill_tokens_per_s * view.slowness


def load_s(view: _entities.EndpointView, fleet_load_ratio: float) -> float:
    """Return the delay caused by requests in flight, in seconds."""
    return view.in_flight * fleet_load_ratio * IN_FLIGHT_S * view.slowness


def sent(view: _entities.EndpointView, now_s: float) -> None:
    """Record a request that is sent to an endpoint."""
    view.in_flight += 1
    view.sent_at_s.append(now_s)
    if len(view.sent_at_s) > SEND_TIMES_PRUNE_THRESHOLD:
        oldest_s = now_s - SEND_TIMES_MAX_AGE_S
        view.sent_at_s = [at_s for at_s in view.sent_at_s if at_s > oldest_s]


def finished(view: _entities.EndpointView) -> None:
    """Record that a request has ended at an endpoint."""
    view.in_flight = max(0, view.in_flight - 1)


@attrs.define
class FleetLoadRatio:
    """Estimates the ratio of all processes' requests to own ones."""

    #: Decayed sum of requests in flight by the reports.
    reported_in_flight: float = 0.0
    #: Decayed sum of own requests in flight at the times of the reports.
    own_in_flight: float = 0.0

    def record_report(
        self, view: _entities.EndpointView, load: _entities.EndpointLoad
    ) -> None:
        """Apply a load report to an endpoint and to the ratio."""
        view.reported_at_s = load.measured_at_s
        view.running = load.running
        view.waiting = load.waiting
        view.kv_used_share = load.kv_used_share
        view.sent_at_s = [s for s in view.sent_at_s if s > load.measured_at_s]
        in_flight = load.running + load.waiting
        self.reported_in_flight = (
            self.reported_in_flight * REPORT_DECAY + in_flight
        )
        own = max(0, view.in_flight - len(view.sent_at_s))
        self.own_in_flight = self.own_in_flight * REPORT_DECAY + own

    @property
    def ratio(self) -> float:
        """Return the ratio, at least one."""
        if self.own_in_flight <= 0.0:
            return (
                MAX_FLEET_LOAD_RATIO if self.reported_in_flight > 0.0 else 1.0
            )
        return min(
            MAX_FLEET_LOAD_RATIO,
            max(1.0, self.reported_in_flight / self.own_in_flight),
        )
