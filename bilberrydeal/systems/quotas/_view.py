"""Which gateways exist, and which of them hear each other."""

import collections.abc
import hashlib
import math

import attrs

from .. import limits
from . import _messages

#: Shortest interval between heartbeats of a gateway, in seconds.
MIN_HEARTBEAT_S = 0.2
#: Most heartbeats that a gateway receives a second, about.
HEARTBEATS_PER_S = 100.0
#: Shortest interval between two heartbeats, also if the view changes.
URGENT_HEARTBEAT_S = 0.05
#: Heartbeats that may be lost until a gateway is not heard any more.
HEARTBEATS_MISSED = 3.0
#: Allowance for delays on top of this, in seconds.
DELAY_S = 0.1
#: Least time for which lists read from the store may be outdated, in seconds.
MIN_LIST_AGE_S = 12.0
#: Weight of an answer that took longer than usual in the usual time.
SLOW_WEIGHT = 0.02
#: Gateways assumed while others may have started that are not listed yet.
ASSUMED_GATEWAYS = 16
#: Views that are remembered.
HISTORY_LIMIT = 8
#: Most gateways known; further ones are not added.
PEERS_LIMIT = 4_096


@attrs.define
class _Peer:
    """What is known of another gateway."""

    name: str
    #: Address for datagrams.
    address: str = ""
    listed: bool = False
    #: When the last message of any kind arrived, steady seconds.
    seen_s: float = -math.inf
    #: When the last heartbeat arrived, steady seconds.
    heartbeat_s: float = -math.inf
    #: Digest of that heartbeat.
    digest: int = 0
    #: Whether it reported that it does not hear this gateway.
    deaf: bool = False
    #: Until when it counts as gone unless it is heard.
    gone_until_s: float = -math.inf
    #: Whether it has said that it shuts down.
    left: bool = False
    #: Whether it knows all gateways that started with it.
    settled: bool = False
    #: Until when it is not asked, since it did not answer.
    suspended_until_s: float = -math.inf
    #: Time that it takes to answer if it is not busy, in seconds; 0 before the
    #: first answer.
    round_trip_s: float = 0.0


@attrs.frozen
class Era:
    """A time in which the view did not change."""

    names: tuple[str, ...]
    #: Active time of its beginning.
    began_s: float


class GatewayView:
    """The gateways as this one knows them.

    A gateway belongs to the view if it is listed in the store or was heard
    recently. Gateways tell each other who is gone, so that all views agree
    within a heartbeat and not only when each has read the list.
    """

    def __init__(self, own: str, address: str) -> None:
        self.own = own
        self._address = address
        self._peers: dict[str, _Peer] = {}
        #: All gateways in order, this one included.
        self.names: tuple[str, ...] = (own,)
        self.digest = _digest(self.names)
        #: Recent views, the present one last.
        self.eras: list[Era] = [Era(self.names, 0.0)]
        #: Number of views before the first of ``eras``.
        self.eras_dropped = 0
        #: Gateways of the view that may grant from their own shares.
        self.unheard: frozenset[str] = frozenset()
        #: Vanished gateways that may do so though they are not in the view.
        self.absent = 0
        #: Whether this gateway may not grant anything: it has not read the
        #: list of gateways yet, or most others may take it for dead.
        self.isolated = True
        self._list_read = False
        #: Time for which lists read from the store may be outdated, in
        #: seconds. For as long it is remembered that a gateway is gone, and
        #: gateways that vanished, more than half of all, may still use their
        #: shares: they may be partitioned and not dead.
        self.list_age_s = MIN_LIST_AGE_S
        #: Whether gateways that started with this one are listed by now.
        self.settled = False
        #: The same, as far as this gateway has read it in the store itself.
        self.settled_itself = False
        #: When others may begin to take this gateway for dead by its row in
        #: the store, steady seconds.
        self.row_expires_s = math.inf
        #: Increases with each change of these.
        self.stamp = 0
        self._departed: dict[str, float] = {}
        self._homes: dict[str, str] = {}
        self._refreshed_s = -math.inf

    @property
    def era(self) -> int:
        """Return the number of the present view."""
        return self.eras_dropped + len(self.eras) - 1

    @property
    def divisor(self) -> int:
        """Return the number of gateways that a limit is divided by."""
        known = len(self.names) + self.absent
        return known if self.settled else max(known, ASSUMED_GATEWAYS)

    @property
    def rank(self) -> int:
        """Return the position of this gateway."""
        return self.names.index(self.own)

    @property
    def heartbeat_interval_s(self) -> float:
        """Return the interval between heartbeats."""
        return max(MIN_HEARTBEAT_S, len(self.names) / HEARTBEATS_PER_S)

    @property
    def timeout_s(self) -> float:
        """Return the silence after which a gateway is not heard."""
        return HEARTBEATS_MISSED * self.heartbeat_interval_s + DELAY_S

    def home(self, organisation: str) -> str:
        """Return the gateway that decides about an organisation."""
        found = self._homes.get(organisation)
        if found is None:
            found = limits.home_entry(organisation, self.names)
            self._homes[organisation] = found
        return found

    def was_home(self, organisation: str, era: int) -> bool:
        """Return whether this gateway was the home since a view."""
        if era < self.eras_dropped:
            return False
        return all(
            limits.home_entry(organisation, each.names) == self.own
            for each in self.eras[era - self.eras_dropped :]
        )

    def knows(self, name: str) -> bool:
        """Return whether a gateway can be sent messages."""
        return name in self._peers

    def address(self, name: str) -> str:
        """Return the address of another gateway, empty if not known."""
        peer = self._peers.get(name)
        return peer.address if peer is not None else ""

    def last_heard_s(self, name: str) -> float:
        """Return when a gateway's last heartbeat arrived."""
        peer = self._peers.get(name)
        return peer.heartbeat_s if peer is not None else -math.inf

    def answers(self, name: str, now_s: float) -> bool:
        """Return whether another gateway can be expected to answer.

        One that was never heard may have started just now, or this one has.
        """
        peer = self._peers.get(name)
        if peer is None or now_s < peer.suspended_until_s:
            return False
        silence_s = now_s - peer.seen_s
        return silence_s < self.timeout_s or math.isinf(silence_s)

    def heard(self, name: str, now_s: float) -> bool:
        """Return whether another gateway is heard and has the same view.

        Unlike for ``answers``, only heartbeats count, and a gateway that does
        not hear this one counts as not heard.
        """
        peer = self._peers.get(name)
        if peer is None or name in self.unheard:
            return False
        return now_s - peer.heartbeat_s < self.timeout_s

    def suspend(self, name: str, until_s: float) -> None:
        """Expect no answers of a gateway until a time."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.suspended_until_s = until_s

    def note_answer(self, name: str, took_s: float) -> None:
        """Learn how long a gateway takes to answer.

        Quick answers count most: what is over is time that it was busy.
        """
        peer = self._peers.get(name)
        if peer is None:
            return
        if not peer.round_trip_s or took_s < peer.round_trip_s:
            peer.round_trip_s = took_s
        else:
            peer.round_trip_s += SLOW_WEIGHT * (took_s - peer.round_trip_s)

    def round_trip_s(self, name: str) -> float:
        """Return how long a gateway takes to answer if it is not busy."""
        peer = self._peers.get(name)
        return peer.round_trip_s if peer is not None else 0.0

    def note_message(self, name: str, now_s: float) -> None:
        """Record a message of any kind."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.seen_s = now_s

    def recipients(self, now_s: float) -> tuple[str, ...]:
        """Return the gateways that get heartbeats."""
        return tuple(
            peer.name
            for peer in self._peers.values()
            if peer.address
            and (
                (peer.listed and now_s >= peer.gone_until_s)
                or now_s - peer.seen_s < self.timeout_s
            )
        )

    def set_listed(
        self,
        others: collections.abc.Mapping[str, str],
        now_s: float,
    ) -> None:
        """Set the addresses of the other gateways that the store lists."""
        self._list_read = True
        for name, peer in self._peers.items():
            if peer.listed and name not in others:
                peer.listed = False
                if now_s - peer.heartbeat_s >= self.timeout_s:
                    peer.gone_until_s = now_s + self.list_age_s
        for name, address in others.items():
            peer = self._peer(name)
            peer.listed = True
            peer.address = address
        self._refreshed_s = -math.inf

    def receive(
        self, sender: str, heartbeat: _messages.Heartbeat, now_s: float
    ) -> None:
        """Record a heartbeat."""
        if sender == self.own:
            return
        if sender not in self._peers and len(self._peers) >= PEERS_LIMIT:
            return
        peer = self._peer(sender)
        changes = peer.digest != heartbeat.digest or peer.left
        peer.address = heartbeat.address or peer.address
        peer.digest = heartbeat.digest
        peer.left = heartbeat.leaving
        changes |= peer.settled != heartbeat.settled
        peer.settled = heartbeat.settled
        peer.gone_until_s = -math.inf
        changes |= now_s - peer.heartbeat_s >= self.timeout_s
        peer.seen_s = peer.heartbeat_s = now_s
        deaf = peer.deaf
        peer.deaf = (
            heartbeat.digest == self.digest and self.rank in heartbeat.unheard
        )
        changes |= deaf != peer.deaf
        for name in heartbeat.gone:
            changes |= self._note_gone(name, now_s)
        if changes or peer.left:
            self._refreshed_s = -math.inf

    def _note_gone(self, name: str, now_s: float) -> bool:
        """Apply what another gateway tells; return whether it is news."""
        peer = self._peers.get(name)
        if peer is None or now_s - peer.heartbeat_s < self.timeout_s:
            return False
        news = peer.gone_until_s <= now_s
        if news:
            peer.gone_until_s = now_s + self.list_age_s
        return news

    def heartbeat(
        self, now_s: float, leaving: bool = False
    ) -> _messages.Heartbeat:
        """Return what to send to the other gateways."""
        return _messages.Heartbeat(
            self.digest,
            self._address,
            tuple(
                position
                for position, name in enumerate(self.names)
                if name != self.own and not self.answers(name, now_s)
            ),
            tuple(
                peer.name
                for peer in self._peers.values()
                if now_s < peer.gone_until_s
            ),
            leaving,
            self.settled,
        )

    def refresh(self, now_s: float, active_s: float) -> None:
        """Find out again who belongs to the view and who is heard."""
        if now_s - self._refreshed_s < URGENT_HEARTBEAT_S:
            return
        self._refreshed_s = now_s
        names = self._present(now_s)
        if names != self.names:
            self._change(names, now_s, active_s)
        self._assess(now_s)
        self._forget(now_s)

    def _assess(self, now_s: float) -> None:
        """Find out who is not heard, and whether this gateway is isolated."""
        names = self.names
        heard = 1
        silent: set[str] = set()
        for name in names:
            if name == self.own:
                continue
            peer = self._peers[name]
            fresh = now_s - peer.heartbeat_s < self.timeout_s
            heard += fresh
            if not fresh or peer.deaf or peer.digest != self.digest:
                silent.add(name)
        unheard = frozenset(silent)
        isolated = not self._list_read or (
            now_s >= self.row_expires_s and 2 * heard <= len(names) > 1
        )
        settled = self.settled_itself or any(
            self._peers[name].settled
            for name in names
            if name != self.own and name not in unheard
        )
        absent = self._count_absent(now_s)
        before = (self.unheard, self.isolated, self.absent, self.settled)
        if before != (unheard, isolated, absent, settled):
            self.stamp += 1
            self.unheard = unheard
            self.isolated = isolated
            self.absent = absent
            self.settled = settled

    def _present(self, now_s: float) -> tuple[str, ...]:
        # A later process at an address has replaced an earlier one.
        users: dict[str, _Peer] = {}
        for peer in self._peers.values():
            user = users.get(peer.address)
            if user is None or peer.heartbeat_s > user.heartbeat_s:
                users[peer.address] = peer
        names = [self.own]
        for peer in self._peers.values():
            if peer.left or peer.address == self._address:
                continue
            if now_s - peer.heartbeat_s < self.timeout_s:
                names.append(peer.name)
                continue
            replaced = users[peer.address].heartbeat_s > peer.heartbeat_s
            if peer.listed and not replaced and now_s >= peer.gone_until_s:
                names.append(peer.name)
        return tuple(sorted(names))

    def _change(
        self, names: tuple[str, ...], now_s: float, active_s: float
    ) -> None:
        taken = {
            self._peers[name].address for name in names if name != self.own
        }
        for name in self.names:
            peer = self._peers.get(name)
            if name in names or peer is None or peer.left:
                continue
            if peer.address not in taken and peer.address != self._address:
                self._departed[name] = now_s
        for name in names:
            self._departed.pop(name, None)
        self.names = names
        self.digest = _digest(names)
        self._homes = {}
        self.eras.append(Era(names, active_s))
        if len(self.eras) > HISTORY_LIMIT:
            del self.eras[0]
            self.eras_dropped += 1
        for peer in self._peers.values():
            # Positions mean other gateways from now on.
            peer.deaf = False
        self.stamp += 1

    def _count_absent(self, now_s: float) -> int:
        """Return the vanished gateways that may go on without this one.

        A minority stops by itself once it neither reaches the store nor hears
        most gateways.
        """
        if not self._departed:
            return 0
        taken = {
            peer.address
            for peer in self._peers.values()
            if now_s - peer.heartbeat_s < self.timeout_s
        }
        for name, since_s in list(self._departed.items()):
            if (
                now_s - since_s >= self.list_age_s
                or self.address(name) in taken
            ):
                del self._departed[name]
        departed = len(self._departed)
        return departed if departed > len(self.names) else 0

    def _forget(self, now_s: float) -> None:
        """Drop gateways that are neither listed nor remembered."""
        for name, peer in list(self._peers.items()):
            if peer.listed or name in self.names or name in self._departed:
                continue
            if now_s - max(peer.seen_s, peer.gone_until_s) >= self.list_age_s:
                del self._peers[name]

    def _peer(self, name: str) -> _Peer:
        found = self._peers.get(name)
        if found is None:
            found = self._peers[name] = _Peer(name)
        return found


def _digest(names: tuple[str, ...]) -> int:
    text = "\0".join(names).encode()
    digest = hashlib.blake2b(text, digest_size=6).digest()
    return int.from_bytes(digest, "big")
