"""Applies changes of the endpoints."""

import collections.abc

from ... import catalogue
from ... import platform
from ... import ports
from ... import telemetry
from . import _cluster_state
from . import _connectivity
from . import _endpoint_history

LOG = telemetry.logger("following")
#: An endpoint that went missing while the store was unreachable, or that is
#: missing in the copy that the store came back from, is kept for so long after
#: the store recovered, in seconds.
RECOVERY_GRACE_S = 2.3

Clock = collections.abc.Callable[[], float]


class EndpointUpdater:
    """Applies changes of the endpoints."""

    def __init__(
        self,
        cluster: _cluster_state.ClusterState,
        connectivity: _connectivity.StoreConnectivity,
        clock: Clock,
    ) -> None:
        self._cluster = cluster
        self._connectivity = connectivity
        self._clock = clock
        self._missing: dict[str, float] = {}
        self._history = _endpoint_history.EndpointHistory()
        #: Version of the latest changes, ``None`` before the first.
        self._version: ports.StoreVersion | None = None

    def apply(self, changes: ports.Changes, is_snapshot: bool) -> bool:
        """Apply changes of the endpoints table, or a snapshot of it.

        Most rows only show that an endpoint lives; these do not matter.
        """
        now_s = self._clock()
        before = self._registered()
        restored = self._note_version(changes.version, now_s)
        if is_snapshot:
            present = {change.key for change in changes.rows}
            for endpoint_id in set(self._cluster.endpoints) - present:
                self._handle_missing(endpoint_id, now_s)
        for change in changes.rows:
            try:
                self._change(change, restored, now_s)
            except Exception:
                # One row must not keep the others from being applied.
                LOG.exception("Endpoint not applied.", endpoint=change.key)
                self._remove(change.key, "not applied", now_s)
        self._cluster.endpoints_loaded = True
        self.sweep(now_s)
        return before != self._registered()

    def _note_version(self, version: ports.StoreVersion, now_s: float) -> bool:
        """Return whether the changes are the first ones of another era."""
        before, self._version = self._version, version
        if before is None or before.era == version.era:
            return False
        self._connectivity.note_restore(now_s)
        return True

    def _registered(self) -> dict[str, catalogue.Endpoint]:
        """Return the endpoints that are listed in the store."""
        return {
            endpoint_id: upstream.endpoint
            for endpoint_id, upstream in self._cluster.endpoints.items()
            if endpoint_id not in self._missing
        }

    def sweep(self, now_s: float) -> None:
        """Remove missing endpoints whose grace period is over."""
        for endpoint_id, until_s in list(self._missing.items()):
            if now_s >= until_s:
                del self._missing[endpoint_id]
                self._remove(endpoint_id, "did not reappear", now_s)

    def _remove(self, endpoint_id: str, reason: str, now_s: float) -> None:
        upstream = self._cluster.endpoints.get(endpoint_id)
        if upstream is not None:
            self._history.note_departure(upstream.endpoint, now_s)
        self._cluster.remove_endpoint(endpoint_id, reason)

    def _change(
        self, change: ports.Change, restored: bool, now_s: float
    ) -> None:
        if change.value is None:
            self._handle_missing(change.key, now_s)
            return
        try:
            endpoint = platform.decode_endpoint(change.key, change.value)
        except platform.RecordInvalid as error:
            LOG.warning(
                "Endpoint unreadable.", endpoint=change.key, reason=str(error)
            )
            self._remove(change.key, "unreadable", now_s)
            return
        self._missing.pop(change.key, None)
        known = self._cluster.endpoints.get(change.key)
        if restored and self._history.is_outdated(
            endpoint, known.endpoint if known is not None else None
        ):
            LOG.info(
                "Endpoint row is outdated.",
                endpoint=change.key,
                ready=endpoint.ready,
            )
            return
        self._history.note_presence(change.key)
        self._cluster.set_endpoint(endpoint)

    def _handle_missing(self, endpoint_id: str, now_s: float) -> None:
        """Remove an endpoint, delayed if the store has just recovered.

        An endpoint that is draining is not expected to be back.
        """
        upstream = self._cluster.endpoints.get(endpoint_id)
        if upstream is None or endpoint_id in self._missing:
            return
        until_s = self._connectivity.recovered_s + RECOVERY_GRACE_S
        if now_s < until_s and upstream.endpoint.ready:
            self._missing[endpoint_id] = until_s
        else:
            self._remove(endpoint_id, "no longer listed", now_s)
