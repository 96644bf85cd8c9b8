"""What all parts of an entry share."""

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
from . import knowledge

Clock = collections.abc.Callable[[], float]


@attrs.frozen
class Base:
    """Settings, clocks, tables and outside systems of one incarnation."""

    #: Incarnation of the entry.
    entry: str
    settings: settings.EntrySettings
    secrets: _secrets.Secrets
    platform: adapters.Platform
    #: What this entry knows by the store and by its peers.
    shared_state: knowledge.SharedState
    #: Tables that the systems of requests run over.
    tables: systems.Tables
    metrics: telemetry.Metrics
    gauges: admin.Gauges
    tracing: telemetry.Tracing
    #: Monotonic time, in seconds.
    clock: Clock
    #: Seconds since the epoch.
    wall: Clock
    random: random.Random


def build(
    chosen: settings.EntrySettings,
    secrets: _secrets.Secrets,
    session: aiohttp.ClientSession,
) -> Base:
    """Return the base of a new incarnation."""
    rng = random.SystemRandom()
    entry = membership.new_incarnation(chosen.host_id, time.time(), rng)
    platform = adapters.connect(session, chosen.platform)
    metrics = telemetry.Metrics()
    return Base(
        entry=entry,
        settings=chosen,
        secrets=secrets,
        platform=platform,
        shared_state=knowledge.SharedState(
            entry,
            chosen,
            platform,
            secrets.pepper,
            time.monotonic,
            time.time,
        ),
        tables=systems.Tables(),
        metrics=metrics,
        gauges=admin.Gauges(metrics),
        tracing=telemetry.Tracing(chosen.trace, "entry"),
        clock=time.monotonic,
        wall=time.time,
        random=rng,
    )
