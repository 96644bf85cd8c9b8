"""Hosts about to be removed, as listed by the platform or a peer."""

import collections.abc

from ... import membership
from ... import peers
from ... import ports


class LeavingHosts:
    """Keeps the newest list that any entry has read.

    Only a few entries read the platform's list; the others receive the
    leaving hosts from them.
    """

    def __init__(self, directory: membership.MemberDirectory) -> None:
        self._directory = directory
        self._leaving: tuple[str, ...] = ()
        self._read_s: float | None = None

    def update_from_platform(
        self, hosts: collections.abc.Iterable[ports.HostRecord], sent_s: float
    ) -> None:
        """Replace the list by the platform's, requested at ``sent_s``."""
        leaving = [
            host.host_id
            for host in hosts
            if host.state is ports.HostState.LEAVING
        ]
        self._update(tuple(sorted(leaving)), sent_s)

    def relay(self, now_s: float) -> peers.HostRelay | None:
        """Return the list for peers, ``None`` before the first one."""
        if self._read_s is None:
            return None
        return peers.HostRelay(self._leaving, now_s - self._read_s)

    def update_from_peer(
        self, relay: peers.HostRelay | None, sent_s: float
    ) -> None:
        """Replace the list by a peer's, if that is newer."""
        if relay is None:
            return
        read_s = sent_s - relay.age_s
        if self._read_s is None or read_s > self._read_s:
            self._update(relay.leaving, read_s)

    def _update(self, leaving: tuple[str, ...], read_s: float) -> None:
        self._leaving = leaving
        self._read_s = read_s
        self._directory.set_hosts(
            ports.HostRecord(host_id, "", "", ports.HostState.LEAVING)
            for host_id in leaving
        )
