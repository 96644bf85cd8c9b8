"""Objects shared by all parts of an entry."""

import collections.abc
import random
import time

import aiohttp
import attrs

from .. import adapters
from .. import membership
from .. import settings
from .. import systems
from .. import telemetry
from . import _secrets
from . import admin
from . import cluster_state

Clock = collections.abc.Callable[[], float]


@attrs.frozen
class EntryContext:
    """Settings, clocks, tables and external services of one incarnation."""

    #: Incarnation of the entry.
    entry: str
    settings: settings.EntrySettings
    secrets: _secrets.Secrets
    platform: adapters.Platform
    #: State read from the store and received from peers.
    shared_state: cluster_state.SharedState
    #: Tables of the policy systems.
    tables: systems.Tables
    metrics: telemetry.Metrics
    gauges: admin.Gauges
    tracing: telemetry.Tracing
    #: Monotonic time, in seconds.
    clock: Clock
    #: Seconds since the epoch.
    wall_clock: Clock
    random: random.Random


def build(
    entry_settings: settings.EntrySettings,
    secrets: _secrets.Secrets,
    session: aiohttp.ClientSession,
) -> EntryContext:
    """Return the context of a new incarnation."""
    rng = random.SystemRandom()
    entry = membership.new_incarnation(
        entry_settings.host_id, time.time(), rng
    )
    platform = adapters.connect(session, entry_settings.platform)
    metrics = telemetry.Metrics()
    return EntryContext(
        entry=entry,
        settings=entry_settings,
        secrets=secrets,
        platform=platform,
        shared_state=cluster_state.SharedState(
            entry,
            entry_settings,
            platform,
            secrets.pepper,
            time.monotonic,
            time.time,
        ),
        tables=systems.Tables(),
        metrics=metrics,
        gauges=admin.Gauges(metrics),
        tracing=telemetry.Tracing(entry_settings.trace, "entry"),
        clock=time.monotonic,
        wall_clock=time.time,
        random=rng,
    )
