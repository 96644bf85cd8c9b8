"""Follows the configuration and the endpoints in the platform's store."""

import asyncio
import collections.abc

import attrs

from .. import errors
from .. import platform
from .. import ports
from .. import telemetry
from . import _cluster_state

LOG = telemetry.logger("following")
#: Longest wait for a whole table, in seconds.
SNAPSHOT_TIMEOUT_S = 1.5
#: Time that a call waits for a change of the configuration, in seconds.
CONFIGURATION_WAIT_S = 2.0
#: Time that a call waits for a change of the endpoints, in seconds.
ENDPOINTS_WAIT_S = 1.0
#: Pause between two calls for endpoints, whose rows change all the time.
ENDPOINTS_PAUSE_S = 0.85
#: First pause after a failed call, in seconds; doubles with each.
BACKOFF_FIRST_S = 0.05
#: Longest pause after failed calls, in seconds.
BACKOFF_LIMIT_S = 0.4
#: An endpoint that went missing while the store was away may come back for
#: so long after the store did, in seconds.
RECOVERY_GRACE_S = 2.3
#: Where calls fail and none is answered for so long, the store counts as
#: away, in seconds. Entries of endpoints last longer than that without it.
UNREACHABLE_AFTER_S = 2.3

Clock = collections.abc.Callable[[], float]


@attrs.define
class StoreConnectivity:
    """When the store answered."""

    #: Last answer, monotonic seconds.
    last_answer_s: float
    #: When it last came back after it was away, monotonic seconds.
    recovered_s: float = float("-inf")
    #: Whether a call failed since the last answer.
    failing: bool = False
    #: Whether it counts as away.
    unreachable: bool = False

    def age_s(self, now_s: float) -> float:
        """Return how old what is known of the store may be."""
        return now_s - self.last_answer_s

    def note_answer(self, now_s: float) -> None:
        """Note an answer."""
        if self.failing and now_s - self.last_answer_s > UNREACHABLE_AFTER_S:
            self.recovered_s = now_s
        if self.unreachable:
            LOG.info("Store regained.", away_s=now_s - self.last_answer_s)
        self.unreachable = False
        self.failing = False
        self.last_answer_s = now_s

    def note_failure(self, reason: str, now_s: float) -> None:
        """Note a call without an answer.

        Time alone does not tell: calls that wait for changes are answered
        seldom.
        """
        self.failing = True
        if (
            not self.unreachable
            and now_s - self.last_answer_s > UNREACHABLE_AFTER_S
        ):
            self.unreachable = True
            LOG.warning("Store lost.", reason=reason)


class TableFollower:
    """Keeps up with one table: a snapshot, then the feed."""

    def __init__(
        self,
        feed: ports.ChangeFeed,
        table: str,
        connectivity: StoreConnectivity,
        clock: Clock,
    ) -> None:
        self._feed = feed
        self._table = table
        self._connectivity = connectivity
        self._clock = clock
        self._version: int | None = None

    async def run(
        self,
        on_changes: collections.abc.Callable[[ports.Changes, bool], None],
        pause_s: float,
        wait_s: float,
    ) -> None:
        """Follow the table; ``take`` gets changes and whether all are in."""
        backoff_s = BACKOFF_FIRST_S
        while True:
            try:
                await self._poll(on_changes, wait_s)
                backoff_s = BACKOFF_FIRST_S
                await asyncio.sleep(pause_s)
            except errors.HistoryGone:
                LOG.info("History gone.", table=self._table)
                self._version = None
            except errors.StoreUnavailable as error:
                self._connectivity.note_failure(str(error), self._clock())
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * 2, BACKOFF_LIMIT_S)

    async def _poll(
        self,
        on_changes: collections.abc.Callable[[ports.Changes, bool], None],
        wait_s: float,
    ) -> None:
        is_snapshot = self._version is None
        if self._version is None:
            found = await self._feed.snapshot(self._table, SNAPSHOT_TIMEOUT_S)
        else:
            found = await self._feed.changes(
                self._table, self._version, wait_s
            )
        self._connectivity.note_answer(self._clock())
        on_changes(found, is_snapshot)
        self._version = found.version


class ConfigurationUpdater:
    """Puts configurations in force."""

    def __init__(self, cluster: _cluster_state.ClusterState) -> None:
        self._cluster = cluster

    def apply(self, changes: ports.Changes, is_snapshot: bool) -> None:
        """Take what was read of the operators' table."""
        for change in changes.rows:
            if change.key != platform.CONFIGURATION_KEY:
                continue
            if change.value is None:
                continue
            try:
                found = platform.decode_configuration(change.value)
            except platform.RecordInvalid as error:
                LOG.error("Configuration unreadable.", reason=str(error))
                continue
            self._cluster.set_configuration(found)


class EndpointUpdater:
    """Keeps the endpoints up to date."""

    def __init__(
        self,
        cluster: _cluster_state.ClusterState,
        connectivity: StoreConnectivity,
        clock: Clock,
    ) -> None:
        self._cluster = cluster
        self._connectivity = connectivity
        self._clock = clock
        self._missing: dict[str, float] = {}

    def apply(self, changes: ports.Changes, is_snapshot: bool) -> None:
        """Take what was read of the endpoints' table."""
        now_s = self._clock()
        if is_snapshot:
            present = {change.key for change in changes.rows}
            for endpoint_id in set(self._cluster.endpoints) - present:
                self._handle_missing(endpoint_id, now_s)
        for change in changes.rows:
            self._change(change, now_s)
        self._cluster.endpoints_loaded = True
        self.sweep(now_s)

    def sweep(self, now_s: float) -> None:
        """Remove endpoints that did not come back in time."""
        for endpoint_id, until_s in list(self._missing.items()):
            if now_s >= until_s:
                del self._missing[endpoint_id]
                self._cluster.remove_endpoint(endpoint_id, "did not return")

    def _change(self, change: ports.Change, now_s: float) -> None:
        if change.value is None:
            self._handle_missing(change.key, now_s)
            return
        try:
            endpoint = platform.decode_endpoint(change.key, change.value)
        except platform.RecordInvalid as error:
            LOG.warning(
                "Endpoint unreadable.", endpoint=change.key, reason=str(error)
            )
            self._cluster.remove_endpoint(change.key, "unreadable")
            return
        self._missing.pop(change.key, None)
        self._cluster.set_endpoint(endpoint)

    def _handle_missing(self, endpoint_id: str, now_s: float) -> None:
        """Remove an endpoint, later where the store was just away."""
        upstream = self._cluster.endpoints.get(endpoint_id)
        if upstream is None or endpoint_id in self._missing:
            return
        until_s = self._connectivity.recovered_s + RECOVERY_GRACE_S
        if now_s < until_s and upstream.endpoint.ready:
            self._missing[endpoint_id] = until_s
        else:
            self._cluster.remove_endpoint(endpoint_id, "no longer listed")
