"""Metrics in the Prometheus text format."""

from aioprometheus import collectors
from aioprometheus import renderer

#: Maximum number of organisations with a label of their own.
LABEL_LIMIT = 50
#: Label shared by all further organisations.
OTHER_LABEL = "other"


class Metrics:
    """The metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()

    def counter(self, name: str, text: str) -> collectors.Counter:
        """Return a new counter."""
        return collectors.Counter(name, text, registry=self.registry)

    def gauge(self, name: str, text: str) -> collectors.Gauge:
        """Return a new gauge."""
        return collectors.Gauge(name, text, registry=self.registry)

    def histogram(
        self, name: str, text: str, buckets: list[float]
    ) -> collectors.Histogram:
        """Return a new histogram."""
        return collectors.Histogram(
            name, text, buckets=buckets, registry=self.registry
        )

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        content, _headers = renderer.render(self.registry, [])
        return bytes(content)


def bounded_label(organisation: str, seen: set[str]) -> str:
    """Return the metric label of an organisation, of bounded cardinality.

    ``seen`` is the set of labels already in use; it grows up to
    ``LABEL_LIMIT``.
    """
    if organisation in seen:
        return organisation
    if len(seen) >= LABEL_LIMIT:
        return OTHER_LABEL
    seen.add(organisation)
    return organisation
