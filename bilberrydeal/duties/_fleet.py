"""Orders and releases endpoints of one failure domain.

Each order is first committed as an intent, then sent, then marked as done.
Whoever holds the lease finishes open intents under their own identity
before it decides anything new, so that a call repeated by a successor or
after a lost answer orders nothing twice.
"""

import collections.abc
import enum

import attrs

from .. import leases
from .. import ports
from .. import store
from .. import telemetry
from ..systems import fleet
from . import _duty

LOG = telemetry.logger("fleet")
#: The table of intents.
TABLE = "fleet_intents"
#: Part of what is left of the lease that one call may take.
LEASE_SHARE = 0.8
#: Intents that are done are kept so long, in seconds.
KEPT_S = 3600.0


class IntentState(enum.StrEnum):
    """How far an intent has come."""

    #: The platform may know of it or not.
    OPEN = "open"
    #: The platform has taken it.
    DONE = "done"


@attrs.frozen
class IntentRow:
    """One order of endpoints, or one release."""

    #: Identity of the order, also in the call.
    order_id: str
    #: How far it has come.
    state: IntentState
    #: What the endpoints serve.
    service: str
    #: Endpoints to be ordered, 0 for a release.
    count: int
    #: The endpoint to be released, empty for an order.
    endpoint_id: str
    #: When it was decided, seconds since the epoch.
    decided_at_s: float
    #: Fencing number under which it was decided.
    fence: int
    #: Marks the write that set the row.
    nonce: str


@attrs.frozen
class FleetView:
    """What the decision sees of one failure domain."""

    #: The failure domain.
    failure_domain: str
    #: The endpoints as the platform lists them.
    endpoints: tuple[ports.EndpointRecord, ...]
    #: Orders and releases that the platform has taken of late.
    recent: tuple[IntentRow, ...]
    #: Monotonic time.
    now_s: float
    #: Time since the epoch.
    wall_s: float


@attrs.frozen
class FleetDecision:
    """What to order and to release."""

    #: Endpoints to order.
    purchases: tuple[fleet.Purchase, ...] = ()
    #: Endpoints to release.
    releases: tuple[fleet.Release, ...] = ()


Decide = collections.abc.Callable[[FleetView], FleetDecision]


@attrs.frozen
class _Found:
    """An intent with the version of its row."""

    #: The version, 0 for one that is not committed.
    version: int
    #: The content.
    row: IntentRow


class FleetDuty:
    """The duty of purchasing in one failure domain."""

    def __init__(
        self,
        client: store.StoreClient,
        endpoints: ports.EndpointInterface,
        failure_domain: str,
        decide: Decide,
    ) -> None:
        self._client = client
        self._endpoints = endpoints
        self._domain = failure_domain
        self._decide = decide

    @property
    def name(self) -> str:
        """Return the name of the lease."""
        return f"fleet.{self._domain}"

    async def round(self, work: _duty.Round) -> None:
        """Finish open intents, or decide on new ones and do them."""
        found = await self._intents()
        open_ones = [f for f in found if f.row.state is IntentState.OPEN]
        if not open_ones:
            open_ones = await self._decide_anew(work, found)
        for intent in open_ones:
            await self._finish(work.lease, intent)
        await self._forget_old(work, found)

    async def _intents(self) -> list[_Found]:
        rows = await self._client.scan_all(TABLE, f"{self._domain}/")
        return [
            _Found(row.version, store.decode(row.value, IntentRow))
            for row in rows
        ]

    async def _decide_anew(
        self, work: _duty.Round, found: list[_Found]
    ) -> list[_Found]:
        """Decide, and commit the intents; return them."""
        listed = await self._endpoints.endpoints(
            self._domain, self._timeout_s(work.lease)
        )
        view = FleetView(
            failure_domain=self._domain,
            endpoints=listed,
            recent=tuple(f.row for f in found),
            now_s=self._client.now_s(),
            wall_s=work.wall_s,
        )
        decision = self._decide(view)
        drafts = [
            self._draft(work, purchase.service, purchase.count, "")
            for purchase in decision.purchases
        ]
        drafts += [
            self._draft(work, release.service, 0, release.key)
            for release in decision.releases
        ]
        return [
            await self._write(work.lease, _Found(0, row)) for row in drafts
        ]

    def _draft(
        self, work: _duty.Round, service: str, count: int, endpoint_id: str
    ) -> IntentRow:
        fence = work.lease.fence(self._client.now_s())
        return IntentRow(
            order_id=f"{self._domain}-{fence}-{self._client.nonce()[:12]}",
            state=IntentState.OPEN,
            service=service,
            count=count,
            endpoint_id=endpoint_id,
            decided_at_s=work.wall_s,
            fence=fence,
            nonce="",
        )

    async def _finish(self, lease: leases.Lease, intent: _Found) -> None:
        """Send one intent and mark it as done."""
        row = intent.row
        fence = lease.fence(self._client.now_s())
        timeout_s = self._timeout_s(lease)
        if row.endpoint_id:
            release = ports.ReleaseOrder(
                order_id=row.order_id,
                failure_domain=self._domain,
                endpoint_id=row.endpoint_id,
                fence=fence,
            )
            await self._endpoints.release(release, timeout_s)
        else:
            purchase = ports.PurchaseOrder(
                order_id=row.order_id,
                failure_domain=self._domain,
                count=row.count,
                service=row.service,
                fence=fence,
            )
            await self._endpoints.purchase(purchase, timeout_s)
        done = attrs.evolve(row, state=IntentState.DONE)
        await self._write(lease, attrs.evolve(intent, row=done))
        LOG.info(
            "Order placed.",
            order=row.order_id,
            service=row.service,
            count=row.count,
            endpoint=row.endpoint_id,
        )

    async def _write(self, lease: leases.Lease, intent: _Found) -> _Found:
        """Replace the row of an intent, under the lease."""
        nonce = self._client.nonce()
        row = attrs.evolve(intent.row, nonce=nonce)
        key = self._key(row)
        transaction = ports.Transaction(
            checks=(
                *lease.checks(self._client.now_s()),
                ports.Check(key.table, key.key, intent.version),
            ),
            writes=(ports.Write(key.table, key.key, store.encode(row)),),
        )
        committed = await self._client.commit_resolved(transaction, key, nonce)
        return _Found(committed.versions[0], row)

    async def _forget_old(
        self, work: _duty.Round, found: list[_Found]
    ) -> None:
        old = [f for f in found if _is_old(f.row, work.wall_s)]
        if not old:
            return
        keys = [self._key(f.row) for f in old]
        checks = work.lease.checks(self._client.now_s())
        writes = tuple(ports.Write(k.table, k.key, None) for k in keys)
        await self._client.commit(ports.Transaction(checks, writes))

    def _key(self, row: IntentRow) -> ports.RowKey:
        return ports.RowKey(TABLE, f"{self._domain}/{row.order_id}")

    def _timeout_s(self, lease: leases.Lease) -> float:
        left_s = lease.time_left_s(self._client.now_s()) * LEASE_SHARE
        return min(left_s, self._client.call_timeout_s)


def _is_old(row: IntentRow, wall_s: float) -> bool:
    done = row.state is IntentState.DONE
    return done and wall_s - row.decided_at_s > KEPT_S
