"""Sums the load that other gateways report for each engine."""

import collections
import collections.abc
import math

import attrs

from . import _engine_speed
from . import _entities
from . import _long_streams
from . import _parts
from . import _peer_arrivals
from . import _request_counts

#: Age at which the load reported by a gateway is discarded, in seconds.
MAX_REPORT_AGE_S = 1.0
#: Shortest time between two records of this gateway's own requests, in
#: seconds. Reports to others may be more frequent, and each record costs time
#: for all engines.
OWN_INTERVAL_S = 0.03


@attrs.frozen
class GatewayEngineLoad:
    """Load of one gateway at one engine."""

    #: Name of the engine.
    engine_id: str
    #: Queued prompt tokens of requests that are not deferred.
    urgent_tokens: int
    #: Queued prompt tokens of deferred requests.
    deferred_tokens: int
    #: Number of requests by rank at the engine.
    requests: list[int]
    #: Prompts sent to the engine since the last report.
    prompts: tuple[_parts.Prompt, ...] = ()
    #: Prefills measured since the last report.
    samples: tuple[_engine_speed.PrefillSample, ...] = ()


@attrs.frozen
class _Report:
    loads: tuple[GatewayEngineLoad, ...]
    sequence: int
    at_s: float


@attrs.define
class _Total:
    """Load of all other gateways at one engine."""

    tokens: _entities.QueuedTokens = attrs.field(
        factory=_entities.QueuedTokens
    )
    counts: _request_counts.RequestCounts = attrs.field(
        factory=_request_counts.RequestCounts
    )

    def add(self, load: GatewayEngineLoad, sign: int) -> None:
        """Add a load, or subtract it if the sign is -1."""
        self.tokens.add(sign * load.urgent_tokens, deferred=False)
        self.tokens.add(sign * load.deferred_tokens, deferred=True)
        # A gateway of another release may use more or fewer ranks.
        ranks = range(len(self.counts.by_rank))
        for rank, count in zip(ranks, load.requests, strict=False):
            self.counts.add(rank, sign * count)


FindEngine = collections.abc.Callable[[str], _entities.EngineLoad | None]


class PeerLoads:
    """Stores the latest report of each gateway and the totals by engine.

    The cost of a report grows with the number of engines in it, not with the
    size of the fleet.

    Example::

        peers.update("gateway-2", 17, reported, now_s)
        peers.apply(engines.get)
    """

    def __init__(self) -> None:
        #: Age at which reports are discarded, in seconds.
        self.max_report_age_s = MAX_REPORT_AGE_S
        self._reports: dict[str, _Report] = {}
        self._totals: dict[str, _Total] = {}
        #: What other gateways send, by service.
        self._arrivals: dict[str, _peer_arrivals.PeerArrivals] = {}
        #: Learned need of long streams, by service.
        self._streams: dict[str, _long_streams.LongStreams] = {}
        self._observed_s = -math.inf
        #: Engines whose totals changed since the last :meth:`apply`.
        self._changed: set[str] = set()

    def update(
        self,
        gateway: str,
        sequence: int,
        loads: collections.abc.Iterable[GatewayEngineLoad],
        now_s: float,
    ) -> bool:
        """Store a report unless a newer one was received before."""
        previous = self._reports.get(gateway)
        if previous is not None and previous.sequence >= sequence:
            return False
        report = _Report(tuple(loads), sequence, now_s)
        if previous is not None:
            self._add(previous, -1)
        self._reports[gateway] = report
        self._add(report, 1)
        return True

    def learn(
        self,
        gateway: str,
        loads: collections.abc.Sequence[GatewayEngineLoad],
        find: FindEngine,
        now_s: float,
        newest: bool = True,
    ) -> None:
        """Record what a gateway sent and measured since its last report.

        The counts of a report that is not the newest one are left out.
        """
        sent: dict[str, float] = {}
        for load in loads:
            engine = find(load.engine_id)
            if engine is None:
                continue
            tokens = 0.0
            for prompt in load.prompts:
                tokens += prompt.tokens - engine.cache.cached_tokens(prompt)
                engine.cache.record(prompt)
            for measured in load.samples:
                engine.speed.record(measured, now_s)
            if engine.prefill_only:
                sent[engine.service] = sent.get(engine.service, 0.0) + tokens
                self._arrivals[engine.service] = engine.arrivals
        for service, arrivals in self._arrivals.items():
            arrivals.record(gateway, sent.get(service, 0.0), now_s)
        if newest:
            self._record_counts(
                gateway,
                [(find(load.engine_id), load.requests) for load in loads],
                now_s,
            )

    def observe(
        self,
        engines: collections.abc.Sequence[_entities.EngineLoad],
        now_s: float,
    ) -> None:
        """Record this gateway's requests; update the need of long streams."""
        if now_s - self._observed_s < OWN_INTERVAL_S:
            return
        self._observed_s = now_s
        slots: collections.Counter[str] = collections.Counter()
        for engine in engines:
            self._streams[engine.service] = engine.long_streams
            if not engine.prefill_only:
                slots[engine.service] += engine.slots
        self._record_counts(
            _long_streams.OWN_SENDER,
            [(engine, engine.own_counts.by_rank) for engine in engines],
            now_s,
        )
        for service, streams in self._streams.items():
            streams.slots_total = slots[service]
            streams.observe(now_s)

    def _record_counts(
        self,
        gateway: str,
        loads: collections.abc.Iterable[
            tuple[_entities.EngineLoad | None, collections.abc.Sequence[int]]
        ],
        now_s: float,
    ) -> None:
        """Record the requests of a gateway at the engines that decode."""
        counts: dict[str, dict[str, collections.abc.Sequence[int]]] = {}
        for engine, requests in loads:
            if engine is not None and not engine.prefill_only:
                of_service = counts.setdefault(engine.service, {})
                of_service[engine.engine_id] = requests
        for service, streams in self._streams.items():
            streams.record(gateway, counts.get(service, {}), now_s)

    def drop_stale(self, now_s: float) -> None:
        """Discard reports that are older than ``max_report_age_s``."""
        for gateway, report in list(self._reports.items()):
            if now_s - report.at_s > self.max_report_age_s:
                self._add(report, -1)
                del self._reports[gateway]
        for arrivals in self._arrivals.values():
            arrivals.expire(now_s - self.max_report_age_s)
        for streams in self._streams.values():
            streams.expire(now_s - self.max_report_age_s)

    def apply(self, find: FindEngine) -> None:
        """Write the changed totals to the engine loads."""
        for engine_id in self._changed:
            engine = find(engine_id)
            if engine is not None:
                total = self._totals[engine_id]
                engine.peer_tokens = attrs.evolve(total.tokens)
                engine.peer_counts = _request_counts.RequestCounts(
                    list(total.counts.by_rank)
                )
        self._changed.clear()

    def _add(self, report: _Report, sign: int) -> None:
        for load in report.loads:
            self._totals.setdefault(load.engine_id, _Total()).add(load, sign)
            self._changed.add(load.engine_id)
