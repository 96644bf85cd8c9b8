"""Gauges that are read when metrics are asked for."""

import collections.abc
import typing

from .. import telemetry

Read = collections.abc.Callable[[], float]
_NO_LABELS: dict[str, str] = {}


class Gauges:
    """Sets each gauge from its source at every scrape.

    Example::

        gauges = Gauges(metrics)
        gauges.add("in_flight", "Requests in flight.", lambda: 3.0)
        gauges.refresh()
    """

    def __init__(self, metrics: telemetry.Metrics) -> None:
        self._metrics = metrics
        self._sources: list[tuple[typing.Any, Read]] = []

    def add(self, name: str, text: str, read: Read) -> None:
        """Add a gauge named ``bilberrydeal_entry_`` and ``name``."""
        gauge = self._metrics.gauge(f"bilberrydeal_entry_{name}", text)
        self._sources.append((gauge, read))

    def refresh(self) -> None:
        """Read all sources."""
        for gauge, read in self._sources:
            gauge.set(_NO_LABELS, read())
