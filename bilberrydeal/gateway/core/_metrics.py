"""Counters, gauges and histograms of a gateway."""

import collections.abc

import attrs

from ... import telemetry
from . import _requests

#: Bucket bounds of the request duration histogram, in seconds.
LATENCY_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0]


@attrs.frozen
class GaugeValues:
    """Values of the gauges when metrics are scraped."""

    configuration_version: int
    store_age_s: float
    endpoints: int
    #: Endpoints that limit the requests of all gateways.
    endpoints_limited: int
    gateways: int
    requests_open: int
    lease_held: bool
    quarantines: int
    #: Era of the store, 0 if it tells none.
    store_era: int
    #: Calls to the store by kind and outcome.
    store_calls: collections.abc.Mapping[tuple[str, str], int]
    #: Memory held for callers, in bytes.
    callers_bytes: int = 0
    #: Refused requests and connections of callers by reason.
    callers_refused: collections.abc.Mapping[str, int] = attrs.field(
        factory=dict
    )
    #: Time since the store confirmed the configuration.
    configuration_age_s: float = 0.0
    #: Slots that long streams need, of all services.
    stream_slots: float = 0.0
    #: Permanent factors that differ from 1, by engine.
    engine_factors: collections.abc.Mapping[str, float] = attrs.field(
        factory=dict
    )


class GatewayMetrics:
    """Metrics of a gateway."""

    def __init__(self) -> None:
        self.metrics = telemetry.Metrics()
        self._routes: set[str] = set()
        self._requests = self.metrics.counter(
            "bilberrydeal_requests_total",
            "Requests by route, status and reason.",
        )
        self._latency = self.metrics.histogram(
            "bilberrydeal_request_seconds",
            "Time from the first byte of a request to its end.",
            LATENCY_BUCKETS_S,
        )
        self._interrupted = self.metrics.counter(
            "bilberrydeal_responses_interrupted_total",
            "Responses that the gateway cut, by route and reason.",
        )
        self._sends = self.metrics.counter(
            "bilberrydeal_sends_total",
            "Sends to endpoints by kind, deferral and outcome.",
        )
        self._store_calls = self.metrics.counter(
            "bilberrydeal_store_calls_total",
            "Calls to the store by kind and outcome.",
        )
        self._callers_refused = self.metrics.counter(
            "bilberrydeal_callers_refused_total",
            "Requests and connections refused for their memory, by reason.",
        )
        self._quarantine_decisions = self.metrics.counter(
            "bilberrydeal_quarantine_decisions_total",
            "Decisions about prompt parts that crash engines, by kind.",
        )
        self._resumptions = self.metrics.counter(
            "bilberrydeal_resumptions_total",
            "Streams that callers resumed, by what was known of them.",
        )
        self._origin_messages = self.metrics.counter(
            "bilberrydeal_origin_messages_total",
            "Messages between gateways about origins of streams, by kind.",
        )
        self._organisations: set[str] = set()
        self._quota_amounts = self.metrics.counter(
            "bilberrydeal_quota_amount_total",
            "Costs of requests by organisation, unit and outcome.",
        )
        self._quota_fallbacks = self.metrics.counter(
            "bilberrydeal_quota_fallback_requests_total",
            "Requests decided without the home, by organisation and outcome.",
        )
        self._engine_factor = self.metrics.gauge(
            "bilberrydeal_engine_factor",
            "Permanent factor of an engine's times relative to its service.",
        )
        self._factor_engines: set[str] = set()
        self._gauges = {
            name: self.metrics.gauge(f"bilberrydeal_{name}", text)
            for name, text in (
                ("configuration_version", "Version in force."),
                ("store_age_seconds", "Time since the store answered."),
                (
                    "configuration_age_seconds",
                    "Time since the store confirmed the configuration.",
                ),
                ("endpoints", "Endpoints that are known."),
                ("endpoints_limited", "Endpoints that limit requests."),
                ("gateways", "Gateways that are alive."),
                ("requests_open", "Requests being read or served."),
                ("lease_held", "Whether this process has the duties."),
                ("quarantines", "Prompt parts kept from engines."),
                ("store_era", "Era of the store, 0 if it tells none."),
                ("callers_held_bytes", "Memory held for callers."),
                ("stream_slots", "Slots that long streams need."),
            )
        }

    def count_request(
        self, route: str, status: int, reason: str, took_s: float
    ) -> None:
        """Count a finished request and observe its duration."""
        label = telemetry.bounded_label(route, self._routes)
        self._requests.inc(
            {"route": label, "status": str(status), "reason": reason}
        )
        self._latency.observe({"route": label}, took_s)

    def count_interrupted(self, route: str, reason: str) -> None:
        """Count a response that had begun and could not be completed."""
        label = telemetry.bounded_label(route, self._routes)
        self._interrupted.inc({"route": label, "reason": reason})

    def count_sends(
        self, sends: collections.abc.Iterable[_requests.SendRecord]
    ) -> None:
        """Count the sends of a request."""
        for send in sends:
            outcome = send.outcome.partition(",")[0]
            self._sends.inc(
                {
                    "kind": send.kind,
                    "deferred": str(send.deferred),
                    "outcome": outcome,
                }
            )

    def count_quota(
        self,
        organisation: str,
        unit: str,
        cost: float,
        granted: bool,
        fallback: bool,
    ) -> None:
        """Count the cost of a request that a quota granted or rejected."""
        label = telemetry.bounded_label(organisation, self._organisations)
        outcome = "admitted" if granted else "rejected"
        self._quota_amounts.add(
            {"organisation": label, "unit": unit, "outcome": outcome}, cost
        )
        if fallback:
            self._quota_fallbacks.inc(
                {"organisation": label, "outcome": outcome}
            )

    def count_quarantine_decision(self, kind: str) -> None:
        """Count a decision about prompt parts."""
        self._quarantine_decisions.inc({"kind": kind})

    def count_resumption(self, outcome: str) -> None:
        """Count a stream that a caller resumes."""
        self._resumptions.inc({"outcome": outcome})

    def count_origin_message(self, kind: str) -> None:
        """Count an announcement of a stream's origin, or a question."""
        self._origin_messages.inc({"kind": kind})

    def render(self, state: GaugeValues) -> bytes:
        """Return all metrics in the text exposition format."""
        for name, value in (
            ("configuration_version", state.configuration_version),
            ("store_age_seconds", state.store_age_s),
            ("configuration_age_seconds", state.configuration_age_s),
            ("endpoints", state.endpoints),
            ("endpoints_limited", state.endpoints_limited),
            ("gateways", state.gateways),
            ("requests_open", state.requests_open),
            ("lease_held", int(state.lease_held)),
            ("quarantines", state.quarantines),
            ("store_era", state.store_era),
            ("callers_held_bytes", state.callers_bytes),
            ("stream_slots", state.stream_slots),
        ):
            self._gauges[name].set({}, value)
        for (kind, outcome), count in state.store_calls.items():
            self._store_calls.set({"kind": kind, "outcome": outcome}, count)
        for reason, count in state.callers_refused.items():
            self._callers_refused.set({"reason": reason}, count)
        self._set_engine_factors(state.engine_factors)
        return self.metrics.render()

    def _set_engine_factors(
        self, factors: collections.abc.Mapping[str, float]
    ) -> None:
        for engine_id in self._factor_engines - factors.keys():
            self._engine_factor.set({"engine": engine_id}, 1.0)
        for engine_id, factor in factors.items():
            label = telemetry.bounded_label(engine_id, self._factor_engines)
            self._engine_factor.set({"engine": label}, factor)
