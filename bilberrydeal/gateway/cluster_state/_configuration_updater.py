"""Applies changes of the configuration."""

import collections.abc
import time

from ... import catalogue
from ... import platform
from ... import ports
from ... import telemetry
from . import _cluster_state

LOG = telemetry.logger("following")

Clock = collections.abc.Callable[[], float]


class ConfigurationUpdater:
    """Applies changes of the configuration."""

    def __init__(
        self,
        cluster: _cluster_state.ClusterState,
        clock: Clock = time.monotonic,
    ) -> None:
        self._cluster = cluster
        self._clock = clock

    def apply(self, changes: ports.Changes, is_snapshot: bool) -> bool:
        """Apply changes of the configuration table."""
        changed = False
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
            changed |= self._set(found, changes.transfer)
        return changed

    def _set(
        self, found: catalogue.Configuration, transfer: ports.Transfer
    ) -> bool:
        before = self._cluster.configuration
        if not self._cluster.set_configuration(found):
            return False
        age_s = self._cluster.configuration_freshness.age_s(self._clock())
        LOG.info(
            "Configuration in force.",
            version=found.version,
            before=before.version if before else None,
            routes=len(found.routes),
            size_bytes=transfer.size_bytes,
            transfer_s=round(transfer.took_s, 3),
            unconfirmed_s=None if age_s is None else round(age_s, 3),
        )
        return True
