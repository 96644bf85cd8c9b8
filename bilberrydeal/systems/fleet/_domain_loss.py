"""Fleet planner for the peak load, with a reserve for lost domains."""

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

#: Multiple of the median difference between successive spans above which a
#: rise of the load is not noise.
_NOISE_FACTOR = 2.0
#: Largest expected rise of the load until a delivery, as a share.
_MAX_RISE = 0.25


@_registry.FLEET_PLANNERS.register("domain_loss")
class DomainLossFleet:
    """Orders capacity for the peak load plus a reserve, and releases slowly.

    The load changes faster than endpoints are delivered, so the fleet is sized
    for the highest load of the last ``release_after_s``, or more if the load
    rises. It can serve that load after the loss of ``survive_domains`` failure
    domains. A failure domain that is already lost counts as one of them, so
    that no second reserve is ordered during an outage.

    An endpoint that is down for longer than a delivery takes is released and
    replaced. Otherwise endpoints of a service are released one at a time.
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
        #: Time of the last release for each service, or of its first plan.
        self._released_at_s: dict[str, float] = {}

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Decide purchases and releases for each service."""
        _orders.clear_decisions(tables)
        counts = _orders.EndpointCounts(tables)
        lost = {
            row.key for row in tables.of(_entities.DomainState) if row.lost
        }
        for service in self.rules.services:
            load = tables.of(_entities.ServiceLoad).get(service)
            if load is not None and load.windows:
                busy = self._planned_load(load)
                self._decide(tables, counts, service, busy, lost, now_s)

    def _planned_load(self, load: _entities.ServiceLoad) -> float:
        """Return the load to plan for, as a number of fully busy endpoints.

        A rise counts only if it exceeds the usual variation of the load.
        """
        rules = self.rules
        levels = _smoothed(load, rules.smoothing_s)
        spans = int(rules.release_after_s / rules.smoothing_s)
        changes = [a - b for a, b in itertools.pairwise(levels)]
        expected = levels[0]
        if changes:
            noise = statistics.median(map(abs, changes))
            rise = max(0.0, changes[0] - _NOISE_FACTOR * noise)
            expected_rise = rise / rules.smoothing_s * rules.delivery_s
            expected += min(expected_rise, _MAX_RISE * levels[0])
        queued = load.queued_endpoint_s / rules.delivery_s
        return max(*levels[:spans], expected) + queued

    def _need(self, busy: float) -> _targets.Need:
        return _targets.Need(
            normal=math.ceil(busy / self.rules.busy_share),
            after_loss=math.ceil(busy / self.rules.busy_share_lost),
        )

    def _decide(
        self,
        tables: _tables.Tables,
        counts: _orders.EndpointCounts,
        service: str,
        busy: float,
        lost: set[str],
        now_s: float,
    ) -> None:
        rules = self.rules
        failed = self._release_failed(tables, counts, service, lost, now_s)
        expected = {
            domain: counts.expected(service, domain) - failed[domain]
            for domain in rules.failure_domains
            if domain not in lost
        }
        survive = max(0, rules.survive_domains - len(lost))
        need = self._need(busy)
        wanted = _targets.targets(need, expected, survive, rules)
        for domain, target in wanted.items():
            _orders.purchase(
                tables, service, domain, target - expected[domain]
            )
        if not lost:
            need_with_margin = self._need(busy * (1.0 + rules.release_margin))
            kept = _targets.targets(need_with_margin, expected, survive, rules)
            self._release_one(tables, counts, service, kept, now_s)

    def _release_failed(
        self,
        tables: _tables.Tables,
        counts: _orders.EndpointCounts,
        service: str,
        lost: set[str],
        now_s: float,
    ) -> collections.Counter[str]:
        """Release endpoints that are down for long; count them by domain."""
        failed: collections.Counter[str] = collections.Counter()
        for endpoint in counts.remaining(service):
            down_s = now_s - endpoint.unusable_since_s
            if endpoint.usable or endpoint.failure_domain in lost:
                continue
            if down_s > self.rules.delivery_s:
                failed[endpoint.failure_domain] += 1
                _orders.release(tables, endpoint)
        return failed

    def _release_one(
        self,
        tables: _tables.Tables,
        counts: _orders.EndpointCounts,
        service: str,
        wanted: dict[str, int],
        now_s: float,
    ) -> None:
        """Release the least busy endpoint of the domain with most excess."""
        released_at_s = self._released_at_s.setdefault(service, now_s)
        if now_s - released_at_s < self.rules.release_every_s:
            return
        usable: dict[str, list[_entities.FleetEndpoint]]
        usable = {domain: [] for domain in wanted}
        for endpoint in counts.remaining(service):
            if endpoint.usable and endpoint.failure_domain in usable:
                usable[endpoint.failure_domain].append(endpoint)
        excess = {d: len(usable[d]) - wanted[d] for d in sorted(wanted)}
        domain = max(excess, key=lambda d: excess[d])
        complete = all(len(usable[d]) >= wanted[d] for d in wanted)
        if excess[domain] <= 0 or not complete:
            return
        least_busy = min(usable[domain], key=lambda e: (e.in_flight, e.key))
        _orders.release(tables, least_busy)
        self._released_at_s[service] = now_s


def _smoothed(load: _entities.ServiceLoad, smoothing_s: float) -> list[float]:
    """Return the mean load of each time span, the latest first."""
    spans: dict[int, list[float]] = collections.defaultdict(list)
    last_s = load.windows[-1].end_s
    for window in load.windows:
        span = int((last_s - window.end_s) / smoothing_s)
        spans[span].append(window.busy_endpoints)
    return [statistics.fmean(spans[span]) for span in sorted(spans)]
