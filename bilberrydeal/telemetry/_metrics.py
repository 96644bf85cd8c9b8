"""Metrics in the Prometheus text format."""

from aioprometheus import collectors
from aioprometheus import renderer

#: Organisations beyond these share one label.
LABEL_LIMIT = 50
#: The label they share.
OTHER_LABEL = "other"


class Metrics:
    """The metrics of one process, in a registry of their own."""

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
        """Return all metrics as text."""
        content, _headers = renderer.render(self.registry, [])
        return bytes(content)


def bounded_label(organisation: str, seen: set[str]) -> str:
    """Return a label for an organisation, of which there are only so many.

    ``seen`` holds the labels given out; it grows up to ``LABEL_LIMIT``.
    """
    if organisation in seen:
        return organisation
    if len(seen) >= LABEL_LIMIT:
        return OTHER_LABEL
    seen.add(organisation)
    return organisation
