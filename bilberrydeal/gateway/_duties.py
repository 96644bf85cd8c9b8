"""What gateways do together through the store: usage, lease, roles."""

import random
import time

from .. import errors
from .. import leases
from .. import periodic
from .. import platform
from .. import settings
from .. import store
from .. import telemetry
from ..systems import placement
from . import _changing
from . import _clock
from . import _datagrams
from . import _knowledge
from . import _reporting
from . import _roles
from . import _told
from . import _usage

LOG = telemetry.logger("duties")
#: Time between two writes of the own row.
ROW_S = 1.0
#: Rows that all gateways together write a second at most: each call to the
#: store has its price, and counts reach the holder of the lease by datagram.
ROWS_PER_S = 12.0
#: Time between two readings of all gateways' rows.
MEMBERS_S = 4.0
#: Time between two steps of the lease, held or not.
LEASE_HELD_S = 1.2
LEASE_WATCH_S = 2.0
#: Gateways that watch the lease closely; all others look seldom.
LEASE_CANDIDATES = 3
LEASE_REST_S = 8.0
#: Time between two looks at windows that ended.
REPORT_S = 0.8
#: Time between two looks at the roles of engines.
ROLES_S = 0.5
#: Time that the lease lasts beyond the shortest allowed, in seconds.
LEASE_BEYOND_S = 1.5
LEASE_MARGIN_S = 0.5
#: Longest time that a call made under the lease takes effect afterwards.
LEASE_CALL_S = 1.0
#: Longest wait for one call of the store.
STORE_TIMEOUT_S = 1.0
#: Longest wait for one write of the own row.
ROW_TIMEOUT_S = 0.5
#: Most calls a second to the store beside the feeds.
STORE_RATE_PER_S = 12.0


class Duties:
    """Keeps this gateway's row, and the duties where it has the lease."""

    def __init__(
        self,
        chosen: settings.GatewaySettings,
        table: platform.PlatformStore,
        knowledge: _knowledge.Knowledge,
        datagrams: _datagrams.Datagrams,
        rng: random.Random,
    ) -> None:
        #: Names this run of the gateway.
        self.incarnation = _usage.incarnation_of(
            chosen.host_id, rng.getrandbits(48)
        )
        #: Where reports go.
        self.usage = platform.UsageApi(
            *settings.split_address(chosen.platform.usage)
        )
        self._knowledge = knowledge
        self._members = _usage.Members(others={}, place=0)
        bounds = chosen.bounds
        client = _client(table, STORE_TIMEOUT_S)
        true = _clock.TrueClock(lambda: table.clock)
        #: Counts requests that began to run.
        self.begun = _usage.BegunCounter(true, bounds.usage_window_s)
        self._rows = _usage.UsageRows(
            _client(table, ROW_TIMEOUT_S),
            self.incarnation,
            chosen.listen.peers,
            self.begun,
            true,
        )
        self._lease = leases.Lease(
            client,
            _reporting.DUTY,
            self.incarnation,
            _lease_bounds(bounds.lease_ms / 1000),
        )
        told = _told.ToldCounts()
        self._teller = _told.CountTeller(
            datagrams,
            self.incarnation,
            self.begun,
            told,
            self._settlers,
            true,
        )
        self._reporter = _reporting.Reporter(
            client,
            self._lease,
            self._rows,
            told,
            self.usage,
            true,
            chosen.host_id,
            bounds.usage_window_s,
            bounds.usage_due_s,
        )
        self._roles = _roles.RoleKeeper(
            client,
            knowledge,
            self._lease,
            chosen.host_id,
            _changing.ChangingEngines(
                datagrams,
                knowledge,
                self.incarnation,
                lambda: self.peers,
                time.monotonic,
            ),
            placement.ROLE_PLANS.get(chosen.role_plan),
        )
        #: Addresses of the other gateways, for load figures.
        self.peers: tuple[_datagrams.Address, ...] = ()

    @property
    def lease_held(self) -> bool:
        """Return whether this process has the duties."""
        return self._lease.held(_clock.boot_s())

    def loops(self) -> list[periodic.Loop]:
        """Return the work to be done until the process ends."""
        return [
            periodic.every("row", self._row_pause_s, self._rows.write),
            periodic.every("tell", lambda: _told.TELL_S, self._teller.round),
            periodic.every("members", lambda: MEMBERS_S, self._read_members),
            periodic.every("lease", self._lease_pause_s, self._tick),
            periodic.every("roles", lambda: ROLES_S, self._roles.round),
            periodic.every("reports", lambda: REPORT_S, self._reporter.round),
        ]

    async def leave(self) -> None:
        """Hand the last counts over; the lease runs out by itself."""
        try:
            await self._rows.write(final=True)
        except errors.BilberrydealError as error:
            LOG.warning("Last counts not written.", reason=str(error))

    async def _read_members(self) -> None:
        rows = await self._rows.read()
        self._members = self._rows.members(rows, self._row_pause_s())
        self._knowledge.set_members(self._members.count)
        self.peers = tuple(
            map(settings.split_address, self._members.others.values())
        )

    def _settlers(self) -> tuple[_datagrams.Address, ...]:
        """Return the gateways that hold the lease, or may soon."""
        others = self._members.others
        names = set(list(others)[:LEASE_CANDIDATES])
        names |= others.keys() & {self._lease.holder_seen}
        return tuple(settings.split_address(others[name]) for name in names)

    def _row_pause_s(self) -> float:
        return max(ROW_S, self._knowledge.members / ROWS_PER_S)

    def _lease_pause_s(self) -> float:
        if self.lease_held:
            return LEASE_HELD_S
        candidate = self._members.place < LEASE_CANDIDATES
        return LEASE_WATCH_S if candidate else LEASE_REST_S

    async def _tick(self) -> None:
        held = self.lease_held
        if await self._lease.tick() != held:
            LOG.info(
                "Lease lost." if held else "Lease taken.",
                duty=_reporting.DUTY,
            )


def _client(
    table: platform.PlatformStore, timeout_s: float
) -> store.StoreClient:
    return store.StoreClient(
        table, timeout_s, STORE_RATE_PER_S, clock=_clock.boot_s
    )


def _lease_bounds(shortest_s: float) -> leases.LeaseBounds:
    return leases.LeaseBounds(
        ttl_s=shortest_s + LEASE_BEYOND_S,
        margin_s=LEASE_MARGIN_S,
        call_longest_s=LEASE_CALL_S,
    )
