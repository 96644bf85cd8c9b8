"""Counters and histograms of a gateway."""

from .. import telemetry

#: Bounds of the buckets for times of requests, in seconds.
LATENCY_BUCKETS_S = [0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0]


class GatewayMetrics:
    """What a gateway counts."""

    def __init__(self) -> None:
        self.metrics = telemetry.Metrics()
        self._routes: set[str] = set()
        self._requests = self.metrics.counter(
            "bilberrydeal_requests_total", "Requests by route and status."
        )
        self._latency = self.metrics.histogram(
            "bilberrydeal_request_seconds",
            "Time from the first byte of a request to its end.",
            LATENCY_BUCKETS_S,
        )

    def request(self, route: str, status: int, took_s: float) -> None:
        """Count a request that ended."""
        label = telemetry.bounded_label(route, self._routes)
        self._requests.inc({"route": label, "status": str(status)})
        self._latency.observe({"route": label}, took_s)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return self.metrics.render()
