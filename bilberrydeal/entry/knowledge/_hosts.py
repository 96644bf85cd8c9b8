"""The hosts that are to go away, from the platform or from a peer."""

import collections.abc

from ... import membership
from ... import peers
from ... import ports


class LeavingHosts:
    """Keeps the newest list that any entry has read.

    Few entries read the platform's list; the others take from them which
    hosts are leaving.
    """

    def __init__(self, directory: membership.MemberDirectory) -> None:
        self._directory = directory
        self._leaving: tuple[str, ...] = ()
        self._read_s: float | None = None

    def take_list(
        self, hosts: collections.abc.Iterable[ports.HostRecord], sent_s: float
    ) -> None:
        """Take the platform's list, asked for at ``sent_s``."""
        leaving = [
            host.host_id
            for host in hosts
            if host.state is ports.HostState.LEAVING
        ]
        self._take(tuple(sorted(leaving)), sent_s)

    def relay(self, now_s: float) -> peers.HostRelay | None:
        """Return what to hand on, ``None`` before anything is known."""
        if self._read_s is None:
            return None
        return peers.HostRelay(self._leaving, now_s - self._read_s)

    def take_relay(self, relay: peers.HostRelay | None, sent_s: float) -> None:
        """Take what a peer knows, if that is newer."""
        if relay is None:
            return
        read_s = sent_s - relay.age_s
        if self._read_s is None or read_s > self._read_s:
            self._take(relay.leaving, read_s)

    def _take(self, leaving: tuple[str, ...], read_s: float) -> None:
        self._leaving = leaving
        self._read_s = read_s
        self._directory.take_hosts(
            ports.HostRecord(host_id, "", "", ports.HostState.LEAVING)
            for host_id in leaving
        )
