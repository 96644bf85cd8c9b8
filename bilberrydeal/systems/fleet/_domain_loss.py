"""Holds the peak of late, also without a failure domain."""

import collections
import itertools
import math
import statistics
import typing

from .. import _tables
from . import _entities
from . import _orders
from . import _registry
from . import _rules
from . import _targets

#: A rise counts beyond so many times the usual difference of two spans.
_NOISE = 2.0
#: A load is expected to rise by at most this part until a delivery.
_RISE_MAX = 0.25


@_registry.FLEET_PLANNERS.register("domain_loss")
class DomainLossFleet:
    """Orders for the peak, with a reserve, and releases slowly.

    Delivery takes longer than the load takes to swing, so the fleet is held
    at the highest load of the last ``release_after_s``, or higher where the
    load rises. It serves that load too after the loss of
    ``survive_domains`` failure domains; a failure domain that is lost
    counts as one of them, so that an outage buys no second reserve.

    An endpoint that is down for longer than a delivery is given back and
    replaced. Else one endpoint of a service is released at a time.
    """

    reads: typing.ClassVar[tuple[type, ...]] = (
        _entities.DomainState,
        _entities.FleetEndpoint,
        _entities.OutstandingOrder,
        _entities.ServiceLoad,
    )
    writes: typing.ClassVar[tuple[type, ...]] = (
        _entities.Purchase,
        _entities.Release,
    )

    def __init__(self, rules: _rules.FleetRules) -> None:
        self.rules = rules
        #: When each service was last released from, or first planned.
        self._released_at_s: dict[str, float] = {}

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Decide for each service."""
        _orders.clear(tables)
        census = _orders.Census(tables)
        lost = {
            row.key for row in tables.of(_entities.DomainState) if row.lost
        }
        for service in self.rules.services:
            load = tables.of(_entities.ServiceLoad).get(service)
            if load is not None and load.windows:
                busy = self._busy(load)
                self._decide(tables, census, service, busy, lost, now_s)

    def _busy(self, load: _entities.ServiceLoad) -> float:
        """Return the load to plan for, in endpoints fully busy.

        A rise counts where it is beyond what the load differs by anyway.
        """
        rules = self.rules
        levels = _smoothed(load, rules.smoothing_s)
        spans = int(rules.release_after_s / rules.smoothing_s)
        changes = [a - b for a, b in itertools.pairwise(levels)]
        expected = levels[0]
        if changes:
            noise = statistics.median(map(abs, changes))
            rise = max(0.0, changes[0] - _NOISE * noise)
            ahead = rise / rules.smoothing_s * rules.delivery_s
            expected += min(ahead, _RISE_MAX * levels[0])
        queued = load.queued_endpoint_s / rules.delivery_s
        return max(*levels[:spans], expected) + queued

    def _need(self, busy: float) -> _targets.Need:
        return _targets.Need(
            whole=math.ceil(busy / self.rules.busy_share),
            lost=math.ceil(busy / self.rules.busy_share_lost),
        )

    def _decide(
        self,
        tables: _tables.Tables,
        census: _orders.Census,
        service: str,
        busy: float,
        lost: set[str],
        now_s: float,
    ) -> None:
        rules = self.rules
        dead = self._replace_dead(tables, census, service, lost, now_s)
        held = {
            domain: census.held(service, domain) - dead[domain]
            for domain in rules.failure_domains
            if domain not in lost
        }
        survive = max(0, rules.survive_domains - len(lost))
        need = self._need(busy)
        wanted = _targets.targets(need, held, survive, rules)
        for domain, target in wanted.items():
            _orders.purchase(tables, service, domain, target - held[domain])
        if not lost:
            spare = self._need(busy * (1.0 + rules.release_margin))
            kept = _targets.targets(spare, held, survive, rules)
            self._release_one(tables, census, service, kept, now_s)

    def _replace_dead(
        self,
        tables: _tables.Tables,
        census: _orders.Census,
        service: str,
        lost: set[str],
        now_s: float,
    ) -> collections.Counter[str]:
        """Give back what is down for long; return the count by domain."""
        dead: collections.Counter[str] = collections.Counter()
        for endpoint in census.staying(service):
            down_s = now_s - endpoint.unusable_since_s
            if endpoint.usable or endpoint.failure_domain in lost:
                continue
            if down_s > self.rules.delivery_s:
                dead[endpoint.failure_domain] += 1
                _orders.release(tables, endpoint)
        return dead

    def _release_one(
        self,
        tables: _tables.Tables,
        census: _orders.Census,
        service: str,
        wanted: dict[str, int],
        now_s: float,
    ) -> None:
        """Release the least busy endpoint of the fullest failure domain."""
        released_at_s = self._released_at_s.setdefault(service, now_s)
        if now_s - released_at_s < self.rules.release_every_s:
            return
        usable: dict[str, list[_entities.FleetEndpoint]]
        usable = {domain: [] for domain in wanted}
        for endpoint in census.staying(service):
            if endpoint.usable and endpoint.failure_domain in usable:
                usable[endpoint.failure_domain].append(endpoint)
        excess = {d: len(usable[d]) - wanted[d] for d in sorted(wanted)}
        domain = max(excess, key=lambda d: excess[d])
        whole = all(len(usable[d]) >= wanted[d] for d in wanted)
        if excess[domain] <= 0 or not whole:
            return
        least = min(usable[domain], key=lambda e: (e.in_flight, e.key))
        _orders.release(tables, least)
        self._released_at_s[service] = now_s


def _smoothed(load: _entities.ServiceLoad, smoothing_s: float) -> list[float]:
    """Return mean loads of spans of time, the last first."""
    spans: dict[int, list[float]] = collections.defaultdict(list)
    last_s = load.windows[-1].end_s
    for window in load.windows:
        span = int((last_s - window.end_s) / smoothing_s)
        spans[span].append(window.busy_endpoints)
    return [statistics.fmean(spans[span]) for span in sorted(spans)]
