"""A health system that ejects outliers among the endpoints."""

import collections.abc
import random
import statistics
import typing

import attrs

from .. import _entities
from .. import _tables
from . import _base
from . import _endpoint_record

#: Consecutive failures that open a circuit.
OPENING_FAILURES = 5
#: Share of failures that opens a circuit.
MAX_FAILURE_SHARE = 0.5
#: Minimum number of observations to judge an endpoint by a share or mean.
MIN_SAMPLES = 5
#: Ratio to the median slowness of a service that opens a circuit.
SLOW_RATIO = 3.0
#: Maximum slowness reported to the router.
MAX_SLOWNESS = 10.0
#: Maximum share of a service's endpoints ejected at the same time.
MAX_EJECTED_SHARE = 0.3
#: Minimum number of endpoints of a service to eject a failing one.
MIN_ENDPOINTS = 2
#: Time for which a circuit opens first, in seconds; doubles each time.
INITIAL_OPEN_S = 2.0
#: Maximum time for which a circuit opens, in seconds.
MAX_OPEN_S = 60.0
#: Consecutive successes that close a half-open circuit.
CLOSING_SUCCESSES = 3
#: Interval between probes of an endpoint, in seconds.
PROBE_INTERVAL_S = 0.5
#: Time closed after which a circuit's open time is reset, in seconds.
OPEN_TIME_RESET_S = 120.0


@attrs.frozen
class EjectionCandidate:
    """A candidate for ejection."""

    #: The endpoint.
    view: _entities.EndpointView
    #: Whether it fails; otherwise it is slow.
    is_failing: bool
    #: Failure share or slowness; the largest is ejected first.
    severity: float


@_base.HEALTH.register("outlier")
class OutlierHealth:
    """Opens the circuits of failing and slow endpoints.

    At most a share of a service's endpoints is ejected at the same time, the
    worst first, so that the others are not overloaded. After a delay an open
    circuit becomes half open: the endpoint receives probes and a few requests,
    and its circuit closes after some successes. A circuit that only silence
    has opened becomes half open as soon as the endpoint sends something.
    """

    reads: typing.ClassVar[tuple[type, ...]] = ()
    writes: typing.ClassVar[tuple[type, ...]] = (_entities.EndpointView,)

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._records: dict[str, _endpoint_record.EndpointRecord] = {}

    def observe(self, observation: _base.Observation, now_s: float) -> None:
        """Record an observation."""
        record = self._records.get(observation.endpoint_id)
        if record is None:
            record = _endpoint_record.EndpointRecord()
            self._records[observation.endpoint_id] = record
        record.observe(observation, now_s)

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Set the circuit state and the slowness of all endpoints."""
        services: dict[str, list[_entities.EndpointView]] = {}
        endpoints = tables.of(_entities.EndpointView)
        for view in endpoints:
            services.setdefault(view.service, []).append(view)
        for views in services.values():
            self._update_slowness(views)
            self._advance_circuits(views, now_s)
            self._eject(views, now_s)
        for gone in [name for name in self._records if name not in endpoints]:
            del self._records[gone]

    def probes(self, tables: _tables.Tables, now_s: float) -> list[str]:
        """Return half-open endpoints whose next probe is due."""
        due = []
        for view in tables.of(_entities.EndpointView):
            record = self._records.get(view.endpoint_id)
            if (
                record is not None
                and view.circuit is _entities.CircuitState.HALF_OPEN
                and now_s - record.probed_at_s >= PROBE_INTERVAL_S
            ):
                record.probed_at_s = now_s
                due.append(view.endpoint_id)
        return due

    def _update_slowness(self, views: list[_entities.EndpointView]) -> None:
        known = [
            record.slowness
            for record in self._records_of(views)
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
            view.slowness = min(max(relative, 1.0), MAX_SLOWNESS)

    def _advance_circuits(
        self, views: list[_entities.EndpointView], now_s: float
    ) -> None:
        for view in views:
            record = self._records.get(view.endpoint_id)
            if record is None:
                continue
            if view.circuit is _entities.CircuitState.OPEN:
                if now_s >= record.open_until_s:
                    view.circuit = _entities.CircuitState.HALF_OPEN
                    record.reset_counts()
            elif view.circuit is _entities.CircuitState.HALF_OPEN:
                if record.consecutive_failures:
                    self._open(view, record, now_s)
                elif record.consecutive_successes >= CLOSING_SUCCESSES:
                    view.circuit = _entities.CircuitState.CLOSED
                    record.reset_counts()
                    record.closed_at_s = now_s

    def _eject(
        self, views: list[_entities.EndpointView], now_s: float
    ) -> None:
        ejected = sum(
            view.circuit is not _entities.CircuitState.CLOSED for view in views
        )
        candidates = sorted(
            self._ejection_candidates(views),
            key=lambda candidate: (candidate.is_failing, candidate.severity),
            reverse=True,
        )
        for candidate in candidates:
            if ejected >= _max_ejected(len(views), candidate.is_failing):
                continue
            record = self._records[candidate.view.endpoint_id]
            if now_s - record.closed_at_s > OPEN_TIME_RESET_S:
                record.consecutive_openings = 0
            self._open(candidate.view, record, now_s)
            ejected += 1

    def _ejection_candidates(
        self, views: list[_entities.EndpointView]
    ) -> collections.abc.Iterator[EjectionCandidate]:
        for view in views:
            record = self._records.get(view.endpoint_id)
            if (
                record is None
                or view.circuit is not _entities.CircuitState.CLOSED
            ):
                continue
            if _is_failing(record):
                yield EjectionCandidate(view, True, record.failure_share)
            elif (
                record.slowness_count >= MIN_SAMPLES
                and view.slowness >= SLOW_RATIO
            ):
                yield EjectionCandidate(view, False, view.slowness)

    def _open(
        self,
        view: _entities.EndpointView,
        record: _endpoint_record.EndpointRecord,
        now_s: float,
    ) -> None:
        view.circuit = _entities.CircuitState.OPEN
        record.consecutive_openings += 1
        open_s = min(
            MAX_OPEN_S,
            INITIAL_OPEN_S * 2.0 ** (record.consecutive_openings - 1),
        )
        record.opened(open_s * self._random.uniform(0.75, 1.25), now_s)

    def _records_of(
        self, views: list[_entities.EndpointView]
    ) -> collections.abc.Iterator[_endpoint_record.EndpointRecord]:
        for view in views:
            record = self._records.get(view.endpoint_id)
            if record is not None:
                yield record


def _is_failing(record: _endpoint_record.EndpointRecord) -> bool:
    return record.consecutive_failures >= OPENING_FAILURES or (
        record.samples >= MIN_SAMPLES
        and record.failure_share > MAX_FAILURE_SHARE
    )


def _max_ejected(endpoints: int, is_failing: bool) -> int:
    """Return the maximum number of ejected endpoints of a service."""
    limit = int(endpoints * MAX_EJECTED_SHARE)
    if is_failing and endpoints >= MIN_ENDPOINTS:
        return max(1, limit)
    return limit
