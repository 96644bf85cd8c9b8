"""Ejects endpoints that do worse than their peers."""

import collections.abc
import random
import statistics
import typing

import attrs

from .. import _entities
from .. import _tables
from . import _base
from . import _record

#: Failures in a row that open a circuit.
FAILURES_IN_ROW = 5
#: Share of failures that opens a circuit.
FAILURE_SHARE = 0.5
#: Observations that a share is drawn from at least.
SAMPLES_FLOOR = 5
#: Times slower than the median of its peers that opens a circuit.
SLOW_FACTOR = 3.0
#: Largest slowness that is told to the router.
SLOWNESS_LIMIT = 10.0
#: Share of a service's endpoints that may be ejected at once.
EJECTED_SHARE = 0.3
#: Fewest endpoints of a service among which one that fails is ejected.
PEERS_FLOOR = 2
#: Time that a circuit is open at first, in seconds; doubles each time.
OPEN_S = 2.0
#: Longest time that a circuit is open, in seconds.
OPEN_LIMIT_S = 60.0
#: Successes that close a half-open circuit.
TRIALS = 3
#: Time between two probes of an endpoint, in seconds.
PROBE_S = 0.5
#: A circuit closed for so long opens for the first time again, in seconds.
FORGIVEN_S = 120.0


@attrs.frozen
class Suspect:
    """An endpoint that should be ejected."""

    #: The endpoint.
    view: _entities.EndpointView
    #: Whether it fails; else it is slow.
    fails: bool
    #: Larger is worse.
    badness: float


@_base.HEALTH.register("outlier")
class OutlierHealth:
    """Opens the circuits of endpoints that fail or are slow.

    No more than a share of a service's endpoints is ejected at once, the
    worst first, so that the rest is not crushed. An open circuit is half
    open after a while: the endpoint gets probes and a few requests, and
    closes after some successes.
    """

    reads: typing.ClassVar[tuple[type, ...]] = ()
    writes: typing.ClassVar[tuple[type, ...]] = (_entities.EndpointView,)

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._records: dict[str, _record.Record] = {}

    def observe(self, observation: _base.Observation, now_s: float) -> None:
        """Take what was seen."""
        record = self._records.get(observation.endpoint_id)
        if record is None:
            record = _record.Record()
            self._records[observation.endpoint_id] = record
        record.observe(observation, now_s)

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Set the circuits and the slowness of all endpoints."""
        services: dict[str, list[_entities.EndpointView]] = {}
        endpoints = tables.of(_entities.EndpointView)
        for view in endpoints:
            services.setdefault(view.service, []).append(view)
        for views in services.values():
            self._compare(views)
            self._return(views, now_s)
            self._eject(views, now_s)
        for gone in [name for name in self._records if name not in endpoints]:
            del self._records[gone]

    def probes(self, tables: _tables.Tables, now_s: float) -> list[str]:
        """Return half-open endpoints that were not probed lately."""
        due = []
        for view in tables.of(_entities.EndpointView):
            record = self._records.get(view.endpoint_id)
            if (
                record is not None
                and view.circuit is _entities.CircuitState.HALF_OPEN
                and now_s - record.probed_at_s >= PROBE_S
            ):
                record.probed_at_s = now_s
                due.append(view.endpoint_id)
        return due

    def _compare(self, views: list[_entities.EndpointView]) -> None:
        known = [
            record.slowness
            for record in self._of(views)
            if record.slowness_count
        ]
        if not known:
            return
        median = max(statistics.median_low(known), 1e-6)
        for view in views:
            record = self._records.get(view.endpoint_id)
            if record is None or not record.slowness_count:
                continue
            relative = record.slowness / median
            view.slowness = min(max(relative, 1.0), SLOWNESS_LIMIT)

    def _return(
        self, views: list[_entities.EndpointView], now_s: float
    ) -> None:
        for view in views:
            record = self._records.get(view.endpoint_id)
            if record is None:
                continue
            if view.circuit is _entities.CircuitState.OPEN:
                if now_s >= record.open_until_s:
                    view.circuit = _entities.CircuitState.HALF_OPEN
                    record.changed()
            elif view.circuit is _entities.CircuitState.HALF_OPEN:
                if record.failures_in_row:
                    self._open(view, record, now_s)
                elif record.trials >= TRIALS:
                    view.circuit = _entities.CircuitState.CLOSED
                    record.changed()
                    record.closed_at_s = now_s

    def _eject(
        self, views: list[_entities.EndpointView], now_s: float
    ) -> None:
        ejected = sum(
            view.circuit is not _entities.CircuitState.CLOSED for view in views
        )
        suspects = sorted(
            self._suspects(views),
            key=lambda suspect: (suspect.fails, suspect.badness),
            reverse=True,
        )
        for suspect in suspects:
            if ejected >= _ejections_limit(len(views), suspect.fails):
                continue
            record = self._records[suspect.view.endpoint_id]
            if now_s - record.closed_at_s > FORGIVEN_S:
                record.openings = 0
            self._open(suspect.view, record, now_s)
            ejected += 1

    def _suspects(
        self, views: list[_entities.EndpointView]
    ) -> collections.abc.Iterator[Suspect]:
        for view in views:
            record = self._records.get(view.endpoint_id)
            if (
                record is None
                or view.circuit is not _entities.CircuitState.CLOSED
            ):
                continue
            if _fails(record):
                yield Suspect(view, True, record.failure_share)
            elif (
                record.slowness_count >= SAMPLES_FLOOR
                and view.slowness >= SLOW_FACTOR
            ):
                yield Suspect(view, False, view.slowness)

    def _open(
        self,
        view: _entities.EndpointView,
        record: _record.Record,
        now_s: float,
    ) -> None:
        view.circuit = _entities.CircuitState.OPEN
        record.openings += 1
        open_s = min(OPEN_LIMIT_S, OPEN_S * 2.0 ** (record.openings - 1))
        record.open_until_s = now_s + open_s * self._random.uniform(0.75, 1.25)
        record.changed()

    def _of(
        self, views: list[_entities.EndpointView]
    ) -> collections.abc.Iterator[_record.Record]:
        for view in views:
            record = self._records.get(view.endpoint_id)
            if record is not None:
                yield record


def _fails(record: _record.Record) -> bool:
    return record.failures_in_row >= FAILURES_IN_ROW or (
        record.samples >= SAMPLES_FLOOR
        and record.failure_share > FAILURE_SHARE
    )


def _ejections_limit(endpoints: int, fails: bool) -> int:
    """Return how many endpoints of a service may be ejected at once."""
    limit = int(endpoints * EJECTED_SHARE)
    if fails and endpoints >= PEERS_FLOOR:
        return max(1, limit)
    return limit
