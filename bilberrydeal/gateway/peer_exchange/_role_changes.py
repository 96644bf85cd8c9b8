"""Announces to other gateways which engines are changing their roles.

An engine rejects all requests during a role change. Only the gateway that sent
the order knows of the change; without an announcement each of the others would
learn of it from rejected requests.
"""

import collections.abc

from ... import telemetry
from .. import messaging
from . import _broadcast

LOG = telemetry.logger("changing")
#: Time until an announcement expires unless it is repeated, in seconds.
ANNOUNCEMENT_TTL_S = 1.6


class RoleChangeBroadcast(_broadcast.Broadcast):
    """Sends, receives and applies announcements of role changes.

    Example::

        role_changes.announce(["engine-3"])  # repeated until it is back
    """

    def announce(self, engine_ids: collections.abc.Sequence[str]) -> None:
        """Announce to all gateways, this one too, that engines change."""
        if not engine_ids:
            return
        datagram = messaging.Datagram(
            self._gateway, changing=tuple(engine_ids)
        )
        self._on_datagram(datagram)
        self._datagrams.send(datagram, self._peers())

    def _on_datagram(self, datagram: messaging.Datagram) -> None:
        now_s = self._clock()
        for engine_id in datagram.changing:
            upstream = self._cluster.endpoints.get(engine_id)
            if upstream is None:
                continue
            if not upstream.changing_role(now_s):
                LOG.info(
                    "Engine changes its role.",
                    endpoint=engine_id,
                    told_by=datagram.gateway,
                )
            upstream.note_role_change(now_s, now_s + ANNOUNCEMENT_TTL_S)
