"""Purchases and releases endpoints of one failure domain.

Each order is first committed as an intent, then sent, then marked as done.
The lease holder completes open intents under their original order IDs before
it makes new decisions. A call that is repeated by a successor, or after a
lost response, therefore orders nothing twice.
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
#: Name of the intents table.
TABLE = "fleet_intents"
#: Share of the lease's remaining time that one call may use.
LEASE_SHARE = 0.8
#: Retention of completed intents after their decision, in seconds.
RETENTION_S = 3600.0


class IntentState(enum.StrEnum):
    """Progress of an intent."""

    #: The platform may or may not have received it.
    OPEN = "open"
    #: The platform has accepted it.
    DONE = "done"


@attrs.frozen
class IntentRow:
    """One purchase of endpoints, or one release."""

    #: Idempotency key of the order, also sent in the call.
    order_id: str
    #: Whether the platform has accepted it.
    state: IntentState
    #: Service that the endpoints serve.
    service: str
    #: Number of endpoints to purchase, 0 for a release.
    count: int
    #: The endpoint to release, empty for a purchase.
    endpoint_id: str
    #: Time of the decision, in seconds since the epoch.
    decided_at_s: float
    #: Fencing token under which it was decided.
    fence: int
    #: Identifies the write that produced the row.
    nonce: str


@attrs.frozen
class FleetView:
    """Input of a fleet decision for one failure domain."""

    #: The failure domain.
    failure_domain: str
    #: The endpoints in the platform's list.
    endpoints: tuple[ports.EndpointRecord, ...]
    #: Accepted purchases and releases within the retention time.
    recent: tuple[IntentRow, ...]
    #: Monotonic time, in seconds.
    now_s: float
    #: Wall clock time, in seconds since the epoch.
    wall_s: float


@attrs.frozen
class FleetDecision:
    """Endpoints to purchase and to release."""

    #: Purchases to make.
    purchases: tuple[fleet.Purchase, ...] = ()
    #: Releases to make.
    releases: tuple[fleet.Release, ...] = ()


Decide = collections.abc.Callable[[FleetView], FleetDecision]


@attrs.frozen
class _StoredIntent:
    """An intent and the version of its row."""

    #: Version of the row, 0 if it is not committed yet.
    version: int
    #: Content of the row.
    row: IntentRow


class FleetDuty:
    """Purchases and releases the endpoints of one failure domain."""

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

    async def run_round(self, context: _duty.RoundContext) -> None:
        """Complete open intents, or decide on new ones and execute them."""
        stored = await self._read_intents()
        open_intents = [f for f in stored if f.row.state is IntentState.OPEN]
        if not open_intents:
            open_intents = await self._commit_decision(context, stored)
        for intent in open_intents:
            await self._execute(context.lease, intent)
        await self._delete_expired(context, stored)

    async def _read_intents(self) -> list[_StoredIntent]:
        rows = await self._client.scan_all(TABLE, f"{self._domain}/")
        return [
            _StoredIntent(row.version, store.decode(row.value, IntentRow))
            for row in rows
        ]

    async def _commit_decision(
        self, context: _duty.RoundContext, stored: list[_StoredIntent]
    ) -> list[_StoredIntent]:
        """Make a decision and commit it; return the new intents."""
        listed = await self._endpoints.endpoints(
            self._domain, self._timeout_s(context.lease)
        )
        view = FleetView(
            failure_domain=self._domain,
            endpoints=listed,
            recent=tuple(f.row for f in stored),
            now_s=self._client.now_s(),
            wall_s=context.wall_s,
        )
        decision = self._decide(view)
        new_intents = [
            self._new_intent(context, purchase.service, purchase.count, "")
            for purchase in decision.purchases
        ]
        new_intents += [
            self._new_intent(context, release.service, 0, release.key)
            for release in decision.releases
        ]
        return [
            await self._write(context.lease, _StoredIntent(0, row))
            for row in new_intents
        ]

    def _new_intent(
        self,
        context: _duty.RoundContext,
        service: str,
        count: int,
        endpoint_id: str,
    ) -> IntentRow:
        fence = context.lease.fence(self._client.now_s())
        return IntentRow(
            order_id=f"{self._domain}-{fence}-{self._client.nonce()[:12]}",
            state=IntentState.OPEN,
            service=service,
            count=count,
            endpoint_id=endpoint_id,
            decided_at_s=context.wall_s,
            fence=fence,
            nonce="",
        )

    async def _execute(
        self, lease: leases.Lease, intent: _StoredIntent
    ) -> None:
        """Send the order of an intent and mark the intent as done."""
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
            "Endpoint order accepted.",
            order=row.order_id,
            service=row.service,
            count=row.count,
            endpoint=row.endpoint_id,
        )

    async def _write(
        self, lease: leases.Lease, intent: _StoredIntent
    ) -> _StoredIntent:
        """Write the row of an intent under the lease."""
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
        return _StoredIntent(committed.versions[0], row)

    async def _delete_expired(
        self, context: _duty.RoundContext, stored: list[_StoredIntent]
    ) -> None:
        expired = [f for f in stored if _is_expired(f.row, context.wall_s)]
        if not expired:
            return
        keys = [self._key(f.row) for f in expired]
        checks = context.lease.checks(self._client.now_s())
        writes = tuple(ports.Write(k.table, k.key, None) for k in keys)
        await self._client.commit(ports.Transaction(checks, writes))

    def _key(self, row: IntentRow) -> ports.RowKey:
        return ports.RowKey(TABLE, f"{self._domain}/{row.order_id}")

    def _timeout_s(self, lease: leases.Lease) -> float:
        budget_s = lease.remaining_s(self._client.now_s()) * LEASE_SHARE
        return min(budget_s, self._client.call_timeout_s)


def _is_expired(row: IntentRow, wall_s: float) -> bool:
    done = row.state is IntentState.DONE
    return done and wall_s - row.decided_at_s > RETENTION_S
