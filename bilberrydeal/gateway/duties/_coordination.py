"""Runs what gateways coordinate through the store: usage, lease, roles."""

import collections.abc
import random
import time

from ... import decoding
from ... import errors
from ... import leases
from ... import periodic
from ... import platform
from ... import settings
from ... import store
from ... import telemetry
from ...systems import placement
from .. import accounting
from .. import cluster_state
from .. import core
from .. import messaging
from .. import origins
from .. import peer_exchange
from . import _lease_keeper
from . import _quarantine_rows
from . import _rejoining
from . import _roles

LOG = telemetry.logger("duties")
#: Shortest interval between writes of this gateway's row.
ROW_INTERVAL_S = 1.0
#: Most rows that all gateways together write a second. Each call loads the
#: store, and counts reach the lease holder by datagram anyway.
ROWS_PER_S = 12.0
#: Shortest interval between reads of all gateways' rows.
MEMBERS_INTERVAL_S = 4.0
#: Most such reads of all gateways together a second.
MEMBERS_READS_PER_S = 8.0
#: Time after its start in which a gateway reads them more often, in seconds:
#: others may start at the same time, and nobody is told anything until then.
STARTING_S = 6.0
#: Shortest interval between these reads, in seconds.
STARTING_INTERVAL_S = 0.5
#: Most of them of all gateways together a second.
STARTING_READS_PER_S = 40.0
#: Time by which a gateway takes its own row for expired before others may, in
#: seconds.
ROW_MARGIN_S = 1.0
#: Time after the first write of its row at which the rows of all gateways that
#: started with it are written too, in seconds.
SETTLED_AFTER_S = 1.0
#: Interval between checks for usage windows to settle and report.
REPORT_INTERVAL_S = 0.8
#: Interval between checks of the roles of engines.
ROLES_INTERVAL_S = 0.5
#: Time to live of the lease beyond the shortest allowed, in seconds.
LEASE_TTL_EXTRA_S = 1.5
LEASE_MARGIN_S = 0.5
#: Longest time after which a call made under the lease can take effect.
LEASE_CALL_S = 1.0
#: Timeout of a call to the store.
STORE_TIMEOUT_S = 1.0
#: Timeout of a write of this gateway's row.
ROW_TIMEOUT_S = 0.5
#: Most calls a second to the store, change feeds excluded.
STORE_RATE_PER_S = 12.0


class Coordination:
    """Writes this gateway's row and does the lease holder's work."""

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        table: platform.PlatformStore,
        cluster: cluster_state.ClusterState,
        datagrams: messaging.Datagrams,
        rng: random.Random,
    ) -> None:
        self._started_s = accounting.boot_s()
        #: Identifies this run of the gateway.
        self.incarnation = accounting.incarnation_of(
            gateway_settings.host_id, rng.getrandbits(48)
        )
        #: Receives usage reports.
        self.usage = platform.UsageApi(
            *decoding.split_address(gateway_settings.platform.usage)
        )
        self._cluster = cluster
        self._datagrams = datagrams
        self._address = gateway_settings.listen.peers
        self._table = table
        self._members = accounting.Members(others={}, position=0)
        self._members_read = False
        bounds = gateway_settings.bounds
        client = _client(table, STORE_TIMEOUT_S)
        self._client = client
        cluster_clock = accounting.ClusterClock(lambda: table.clock)
        self._cluster_clock = cluster_clock
        #: Counts requests that began to run, for billing.
        self.usage_counter = accounting.UsageCounter(
            cluster_clock, bounds.usage_window_s
        )
        self._rows = accounting.UsageRows(
            _client(table, ROW_TIMEOUT_S),
            self.incarnation,
            gateway_settings.listen.peers,
            self.usage_counter,
            cluster_clock,
        )
        self._lease = leases.Lease(
            client,
            accounting.DUTY,
            self.incarnation,
            _lease_bounds(bounds.lease_ms / 1000),
        )
        self._lease_keeper = _lease_keeper.LeaseKeeper(
            self._lease, accounting.DUTY
        )
        self._rejoining = _rejoining.Rejoining(
            datagrams,
            self.incarnation,
            lambda: self._members.others,
            lambda: self._cluster.members,
            rng,
            accounting.boot_s,
        )
        table.subscribe_responses(self._rejoining.note_response)
        peer_counts = accounting.PeerCounts()
        self._broadcaster = accounting.CountBroadcaster(
            datagrams,
            self.incarnation,
            self.usage_counter,
            peer_counts,
            self._lease_candidates,
            cluster_clock,
        )
        self._settled_windows = accounting.SettledWindows(
            datagrams, self.incarnation, self._lease_candidates
        )
        self._reporter = accounting.Reporter(
            client,
            self._lease,
            self._rows,
            peer_counts,
            self._settled_windows,
            self.usage,
            cluster_clock,
            gateway_settings.host_id,
            bounds.usage_window_s,
            bounds.usage_due_s,
        )
        self._ended_rows = accounting.EndedRows(
            client,
            self._lease,
            self._reporter.is_over,
            cluster_clock.store_s,
            lambda: accounting.alive_s(self._row_pause_s()),
            bounds.usage_window_s + bounds.usage_due_s,
        )
        self._roles = _roles.RoleController(
            client,
            cluster,
            self._lease,
            gateway_settings.host_id,
            peer_exchange.RoleChangeBroadcast(
                datagrams,
                cluster,
                self.incarnation,
                lambda: self.peers,
                time.monotonic,
            ),
            placement.ROLE_PLANS.get(gateway_settings.role_plan),
        )
        #: When this gateway's row was first and last written, in seconds since
        #: boot; the latter is the start of the process before the first write.
        self._row_first_s: float | None = None
        #: When its last successful write began, in seconds since boot; the
        #: start of the process before the first one.
        self._row_written_s = self._started_s
        #: Whether gateways that started with this one are listed.
        self.settled = False
        #: Datagram addresses of the other gateways.
        self.peers: tuple[messaging.Address, ...] = ()

    @property
    def position(self) -> int:
        """Return the position of this gateway in the order of all."""
        return self._members.position

    @property
    def is_candidate(self) -> bool:
        """Return whether this gateway is one of the first of all."""
        return (
            self._members_read
            and self._members.position < _lease_keeper.CANDIDATES
        )

    @property
    def lease_held(self) -> bool:
        """Return whether this process holds the lease."""
        return self._lease.is_held(accounting.boot_s())

    @property
    def others(self) -> collections.abc.Mapping[str, str] | None:
        """Return the other gateways' datagram addresses by incarnation.

        It is ``None`` until they have been read.
        """
        return self._members.others if self._members_read else None

    @property
    def row_left_s(self) -> float:
        """Return for how long others surely take this gateway as alive."""
        alive_s = accounting.alive_s(self._row_pause_s())
        age_s = accounting.boot_s() - self._row_written_s
        return alive_s - ROW_MARGIN_S - age_s

    @property
    def list_age_s(self) -> float:
        """Return for how long a gateway that has ended may be listed."""
        read_s = members_pause_s(self._cluster.members, STARTING_S)
        return accounting.alive_s(self._row_pause_s()) + read_s

    def clock_offset_s(self, steady_s: float) -> float:
        """Return the gateways' common clock minus a steady clock."""
        return self._cluster_clock.now_s() - steady_s

    def loops(self) -> list[periodic.Loop]:
        """Return the periodic tasks to run until the process ends."""
        return [
            periodic.run_periodically(
                "row",
                self._row_pause_s,
                self._write_row,
                self._rejoining.row_wakeup.sleep,
            ),
            periodic.run_periodically(
                "tell",
                lambda: accounting.BROADCAST_INTERVAL_S,
                self._broadcaster.run_once,
            ),
            periodic.run_periodically(
                "members",
                self._members_pause_s,
                self._read_members,
                self._rejoining.members_wakeup.sleep,
            ),
            periodic.run_periodically(
                "lease", self._lease_pause_s, self._lease_keeper.run_once
            ),
            periodic.run_periodically(
                "roles", lambda: ROLES_INTERVAL_S, self._roles.run_once
            ),
            periodic.run_periodically(
                "reports", lambda: REPORT_INTERVAL_S, self._reporter.run_once
            ),
            periodic.run_periodically(
                "ended",
                lambda: accounting.PAGE_INTERVAL_S,
                lambda: self._ended_rows.run_once(accounting.boot_s()),
            ),
        ]

    def origins(
        self,
        metrics: core.GatewayMetrics,
        steady_s: collections.abc.Callable[[], float],
    ) -> origins.Origins:
        """Return what keeps the origins of streams in the store."""
        return origins.Origins(
            _client(self._table, ROW_TIMEOUT_S, origins.ORIGIN_CALLS_PER_S),
            self.incarnation,
            self._cluster,
            metrics,
            self._cluster_clock.store_s,
            lambda: self.is_candidate,
            steady_s,
            origins.OriginPeers(
                self._datagrams, self._address, lambda: self.others
            ),
        )

    def quarantine_rows(
        self,
        state: _quarantine_rows.QuarantineState,
        connectivity: _quarantine_rows.Connectivity,
        steady_s: collections.abc.Callable[[], float],
    ) -> _quarantine_rows.QuarantineRows:
        """Return what keeps quarantines in the store."""
        return _quarantine_rows.QuarantineRows(
            self._client,
            self._lease,
            state,
            connectivity,
            self._cluster_clock,
            steady_s,
        )

    def begin_shutdown(self) -> None:
        """Leave the duties to other gateways, unless they are held."""
        self._lease_keeper.begin_shutdown()

    async def shut_down(self) -> None:
        """Write the final counts; the lease expires by itself."""
        try:
            await self._rows.write(final=True)
        except errors.BilberrydealError as error:
            LOG.warning("Final usage counts not written.", reason=str(error))

    async def _write_row(self) -> None:
        began_s = accounting.boot_s()
        before_s = self._rows.written_s
        try:
            if not await self._rows.write():
                return
        except errors.BilberrydealError:
            self._rejoining.note_row_failed()
            raise
        missing = self.row_left_s <= 0.0
        self._rejoining.note_row_written(before_s if missing else None)
        self._row_written_s = began_s
        if self._row_first_s is None:
            self._row_first_s = accounting.boot_s()

    async def _read_members(self) -> None:
        began_s = accounting.boot_s()
        self._rejoining.note_read_began()
        rows = await self._rows.read()
        first_s = self._row_first_s
        if first_s is not None and began_s - first_s >= SETTLED_AFTER_S:
            self.settled = True
        row_pause_s = self._row_pause_s()
        self._members = self._rows.members(rows, row_pause_s)
        self._members_read = True
        self._cluster.set_gateways(self.incarnation, self._members.others)
        before = self.peers
        self.peers = tuple(
            map(decoding.split_address, self._members.others.values())
        )
        self._settled_windows.tell_new_recipients()
        gap_began_s = self._rejoining.gap_began_s
        if gap_began_s is not None:
            # Those that were listed before may have lost the store too.
            self._rejoining.note_members(
                self._rows.was_missed(rows, row_pause_s, gap_began_s),
                {*before, *self.peers},
            )

    def _lease_candidates(self) -> tuple[messaging.Address, ...]:
        """Return the addresses of the lease holder and the candidates."""
        others = self._members.others
        names = set(list(others)[: _lease_keeper.CANDIDATES])
        names |= others.keys() & {self._lease.last_seen_holder}
        return tuple(decoding.split_address(others[name]) for name in names)

    def _row_pause_s(self) -> float:
        return max(ROW_INTERVAL_S, self._cluster.members / ROWS_PER_S)

    def _members_pause_s(self) -> float:
        age_s = accounting.boot_s() - self._started_s
        return members_pause_s(self._cluster.members, age_s)

    def _lease_pause_s(self) -> float:
        return self._lease_keeper.pause_s(
            accounting.boot_s(), self._members.position, self._cluster.members
        )


def members_pause_s(members: int, age_s: float) -> float:
    """Return the pause between two reads of all gateways' rows.

    ``age_s`` is the time since the start of this gateway.
    """
    if age_s < STARTING_S:
        return max(STARTING_INTERVAL_S, members / STARTING_READS_PER_S)
    return max(MEMBERS_INTERVAL_S, members / MEMBERS_READS_PER_S)


def _client(
    table: platform.PlatformStore,
    timeout_s: float,
    calls_per_s: float = STORE_RATE_PER_S,
) -> store.StoreClient:
    return store.StoreClient(
        table,
        timeout_s,
        calls_per_s,
        clock=accounting.boot_s,
        era=lambda: table.era,
    )


def _lease_bounds(min_ttl_s: float) -> leases.LeaseBounds:
    return leases.LeaseBounds(
        ttl_s=min_ttl_s + LEASE_TTL_EXTRA_S,
        margin_s=LEASE_MARGIN_S,
        max_call_s=LEASE_CALL_S,
    )
