"""Lets a few gateways poll the store for all of them.

Each gateway needs every change of the configuration and of the endpoints, but
a call to the store for each would grow with the number of gateways. In a
larger fleet some gateways, the watchers, poll and tell the others by datagram
at which version a table changed last. The others poll once they hear of a
newer version, or when they have heard nothing for a while. What they believe
comes from the store only.
"""

import asyncio
import collections.abc
import contextlib

import attrs

from ... import ports
from ... import telemetry
from .. import messaging
from . import _freshness

LOG = telemetry.logger("hints")
#: Fleets of up to this size have no watchers.
SMALL_FLEET_GATEWAYS = 8
#: Interval between hints of a watcher, in seconds.
HINT_INTERVAL_S = 0.4
#: Share of the time within which a change must be applied for which a hint is
#: valid; the rest is for the poll that follows when hints stay away.
VALID_SHARE = 0.5
#: Hints that are valid for a shorter time than this, in seconds, would often
#: lapse between two polls of the watchers.
MIN_VALID_S = 1.3
#: Longest time between two polls of a gateway that hears hints, in seconds.
SAFETY_INTERVAL_S = 8.0
#: Share of the validity of a hint that a long poll of a watcher may take.
WATCHER_WAIT_SHARE = 0.65

Clock = collections.abc.Callable[[], float]


@attrs.define(eq=False)
class FollowedTable:
    """What this gateway knows of one table of the store."""

    #: How recently the store confirmed what is known.
    freshness: _freshness.TableFreshness = attrs.field(
        factory=_freshness.TableFreshness
    )
    #: Version of the store up to which all changes are known.
    version: ports.StoreVersion | None = None
    #: Version of the store at the last change that matters.
    changed_version: ports.StoreVersion = ports.StoreVersion(0)
    #: When the store last responded to a poll, monotonic seconds.
    polled_s: float = float("-inf")
    #: Newest version at which others know a change that this gateway lacks.
    hinted_version: ports.StoreVersion | None = None
    #: Until when the hints of others are valid, monotonic seconds.
    hints_valid_until_s: float = float("-inf")
    #: Set when a hint arrives that this gateway does not know of.
    hinted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def note_poll(
        self, version: ports.StoreVersion, changed: bool, now_s: float
    ) -> None:
        """Record a response of the store."""
        self.version = version
        if changed:
            self.changed_version = version
        elif self.changed_version.era != version.era:
            # Nothing that matters has changed in this era so far.
            self.changed_version = ports.StoreVersion(0, version.era)
        self.polled_s = now_s
        # A version that the store does not have is not waited for.
        self.hinted_version = None
        self.hinted.clear()

    def note_hint(
        self,
        version: ports.StoreVersion,
        confirmed_s: float,
        valid_until_s: float,
    ) -> None:
        """Record a hint; older ones and those of an older era do nothing.

        ``confirmed_s`` is when the store confirmed it to its sender.
        """
        known = self.version
        if known is not None and known.of_later_era_than(version):
            return
        self.hints_valid_until_s = max(self.hints_valid_until_s, valid_until_s)
        if known is None or _supersedes(version, known):
            self.hinted_version = version
            self.hinted.set()
            self.freshness.note_superseded()
        elif not self.outdated:
            self.freshness.note_confirmed(confirmed_s)

    @property
    def outdated(self) -> bool:
        """Return whether others know of a newer change."""
        return self.version is None or self.hinted_version is not None

    def due_s(self) -> float:
        """Return when a gateway that is no watcher has to poll."""
        if self.outdated:
            return float("-inf")
        safety_s = self.polled_s + SAFETY_INTERVAL_S
        return min(safety_s, self.hints_valid_until_s)


class StoreHints:
    """Sends and receives hints about the tables that gateways follow.

    Example::

        hints = StoreHints(datagrams, "g1", peers, position, 3, 3.0, clock)
        table = hints.follow("endpoints")
        await hints.pause(table, 0.85)
    """

    def __init__(
        self,
        datagrams: messaging.Datagrams,
        gateway: str,
        peers: messaging.Peers,
        position: collections.abc.Callable[[], int],
        watchers: int,
        apply_limit_s: float,
        clock: Clock,
    ) -> None:
        self._datagrams = datagrams
        self._watchers = watchers
        self._gateway = gateway
        self._peers = peers
        self._position = position
        self._valid_s = apply_limit_s * VALID_SHARE
        self._clock = clock
        self._tables: dict[str, FollowedTable] = {}
        self._polling = True
        datagrams.subscribe(self._on_datagram)

    def follow(
        self,
        name: str,
        freshness: _freshness.TableFreshness | None = None,
    ) -> FollowedTable:
        """Return the state of a table, which hints are sent for.

        ``freshness`` is kept with it if the table is new.
        """
        followed = FollowedTable(freshness or _freshness.TableFreshness())
        return self._tables.setdefault(name, followed)

    @property
    def used(self) -> bool:
        """Return whether gateways rely on hints in this fleet."""
        return (
            self._watchers > 0
            and self._valid_s >= MIN_VALID_S
            and len(self._peers()) >= SMALL_FLEET_GATEWAYS
        )

    @property
    def watching(self) -> bool:
        """Return whether this gateway polls for all."""
        return not self.used or self._position() < self._watchers

    def wait_s(self, table: FollowedTable, longest_s: float) -> float:
        """Return for how long a poll of this gateway may wait."""
        if not self.used:
            return longest_s
        if self.relies_on(table):
            return 0.0
        return min(longest_s, self._valid_s * WATCHER_WAIT_SHARE)

    def relies_on(self, table: FollowedTable) -> bool:
        """Return whether hints tell this gateway when to poll a table."""
        return not self.watching and (
            table.outdated or self._clock() < table.hints_valid_until_s
        )

    async def pause(self, table: FollowedTable, pause_s: float) -> None:
        """Wait until this gateway has to poll a table again."""
        relies = self.relies_on(table)
        self._note_polling(not relies)
        if not relies:
            await asyncio.sleep(pause_s)
            return
        while (wait_s := table.due_s() - self._clock()) > 0.0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await table.hinted.wait()

    async def run_once(self) -> None:
        """Send a hint if this gateway is a watcher."""
        if not self.used or not self.watching:
            return
        now_s = self._clock()
        hints = tuple(
            messaging.TableHint(
                name,
                table.changed_version.number,
                now_s - table.polled_s,
                table.changed_version.era,
            )
            for name, table in self._tables.items()
            if now_s - table.polled_s < self._valid_s
        )
        if hints:
            self._datagrams.send(
                messaging.Datagram(self._gateway, hints=hints), self._peers()
            )

    def _on_datagram(self, datagram: messaging.Datagram) -> None:
        now_s = self._clock()
        for hint in datagram.hints:
            table = self._tables.get(hint.table)
            if table is not None and hint.age_s >= 0.0:
                confirmed_s = now_s - hint.age_s
                version = ports.StoreVersion(hint.changed_version, hint.era)
                table.note_hint(
                    version, confirmed_s, confirmed_s + self._valid_s
                )

    def _note_polling(self, polling: bool) -> None:
        if polling is not self._polling:
            self._polling = polling
            LOG.info(
                "Polls the store itself." if polling else "Relies on hints.",
                gateways=len(self._peers()) + 1,
            )


def _supersedes(hinted: ports.StoreVersion, known: ports.StoreVersion) -> bool:
    """Return whether a hint names a change that is not known."""
    return hinted.newer_than(known) or hinted.of_later_era_than(known)
