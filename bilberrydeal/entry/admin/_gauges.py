"""Gauges that are read when metrics are scraped."""

import collections.abc
import typing

from ... import telemetry
from .. import accounting
from .. import cluster_state
from .. import core
from .. import planners

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

    def add(self, name: str, help_text: str, read: Read) -> None:
        """Add a gauge named ``bilberrydeal_entry_`` and ``name``."""
        gauge = self._metrics.gauge(f"bilberrydeal_entry_{name}", help_text)
        self._sources.append((gauge, read))

    def refresh(self) -> None:
        """Set all gauges from their sources."""
        for gauge, read in self._sources:
            gauge.set(_NO_LABELS, read())


def add_gauges(
    gauges: Gauges,
    shared_state: cluster_state.SharedState,
    admitter: core.RequestAdmitter,
    pool: core.LinkPool,
    settler: accounting.UsageSettler,
    entry_duties: planners.EntryDuties,
) -> None:
    """Add the gauges used for alerting."""
    reports = entry_duties.reports
    for name, help_text, read in (
        ("in_flight", "Requests in flight.", lambda: admitter.in_flight),
        (
            "keys_age_s",
            "Age of what is known of withdrawn keys; -1 for nothing.",
            shared_state.keys_age_s,
        ),
        (
            "revision",
            "Revision of the configuration in force here.",
            lambda: shared_state.current().revision,
        ),
        ("links", "Agents that answer.", pool.connected),
        ("duties", "Duties held.", lambda: len(entry_duties.runner.held())),
        (
            "unsettled",
            "Usage records that wait to be settled.",
            lambda: settler.waiting,
        ),
        (
            "reports_taken",
            "Usage reports that the platform took from this process.",
            lambda: reports.reported,
        ),
        (
            "reports_refused",
            "Usage reports that the platform refused.",
            lambda: reports.refused,
        ),
        (
            "windows_late",
            "Usage windows that were reported late.",
            lambda: reports.late,
        ),
    ):
        gauges.add(name, help_text, read)
