"""Commits the planned roles and models of engines."""

import collections.abc

import attrs

from .. import errors
from .. import orders
from .. import ports
from .. import store
from .. import telemetry
from . import _duty

LOG = telemetry.logger("roles")
#: Order rows read in one round.
PAGE_ROWS = 250

#: Latest committed orders by endpoint.
Orders = collections.abc.Mapping[str, orders.CommittedOrder]


@attrs.frozen
class EngineTarget:
    """Target state of one engine as planned."""

    #: The endpoint.
    endpoint_id: str
    #: Role of the engine.
    role: ports.EngineRole
    #: Model to load.
    model: str
    #: Version of the model's weights.
    model_version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()


#: Returns the target states, given the committed orders and the time.
Decide = collections.abc.Callable[
    [Orders, float], collections.abc.Iterable[EngineTarget]
]
#: Notifies the agent of an endpoint of a new order version. The agent acts
#: only on the order row itself.
Notify = collections.abc.Callable[[str, int], None]


@attrs.frozen
class _OrderRow:
    """A committed order as last read or written by this process."""

    #: Version of the row.
    version: int
    #: The order.
    order: orders.CommittedOrder


class RoleDuty:
    """Plans engine roles and commits them as orders.

    Agents obey only the order row in the table, so a planner that has lost
    its lease cannot issue orders, whatever messages it sends.
    """

    def __init__(
        self, client: store.StoreClient, decide: Decide, notify: Notify
    ) -> None:
        self._client = client
        self._decide = decide
        self._notify = notify
        #: Fencing token under which the rows were read, 0 to force a reread.
        self._fence = 0
        self._cursor = ""
        self._rows: dict[str, _OrderRow] = {}

    @property
    def name(self) -> str:
        """Return the name of the lease."""
        return "roles"

    async def run_round(self, context: _duty.RoundContext) -> None:
        """Read the orders, plan the targets and commit each change."""
        await self._refresh_rows(context.lease.fence(self._client.now_s()))
        committed = {key: row.order for key, row in self._rows.items()}
        now_s = self._client.now_s()
        for target in self._decide(committed, now_s):
            row = self._rows.get(target.endpoint_id)
            if row is not None and _matches(row.order, target):
                continue
            await self._commit(context, target, row)

    async def _refresh_rows(self, fence: int) -> None:
        """Read all rows under a new fencing token, then one page per round.

        Only the lease holder writes orders, and each write checks the
        version of its row, so a stale cached row only makes a write fail.
        """
        if fence != self._fence:
            rows = await self._client.scan_all(orders.TABLE, "")
            self._rows = {}
            self._cursor = ""
            self._fence = fence
        else:
            rows = await self._client.scan_page(
                orders.TABLE, "", self._cursor, PAGE_ROWS
            )
            is_full_page = len(rows) == PAGE_ROWS
            self._cursor = rows[-1].key if is_full_page else ""
        for row in rows:
            self._rows[row.key] = _OrderRow(
                row.version, orders.decode_order(row)
            )

    async def _commit(
        self,
        context: _duty.RoundContext,
        target: EngineTarget,
        previous: "_OrderRow | None",
    ) -> None:
        now_s = self._client.now_s()
        version = previous.version if previous else 0
        order = orders.CommittedOrder(
            order_version=previous.order.order_version + 1 if previous else 1,
            fence=context.lease.fence(now_s),
            role=target.role,
            model=target.model,
            model_version=target.model_version,
            adapters=target.adapters,
            nonce=self._client.nonce(),
        )
        key = orders.order_key(target.endpoint_id)
        transaction = ports.Transaction(
            checks=(
                *context.lease.checks(now_s),
                ports.Check(key.table, key.key, version),
            ),
            writes=(
                ports.Write(key.table, key.key, orders.encode_order(order)),
            ),
        )
        # If the commit fails, all rows are reread before the next write.
        fence, self._fence = self._fence, 0
        try:
            committed = await self._client.commit_resolved(
                transaction, key, order.nonce
            )
        except errors.TableConflict:
            LOG.info(
                "Order rejected by a version conflict.",
                endpoint=target.endpoint_id,
            )
            return
        self._rows[key.key] = _OrderRow(committed.versions[0], order)
        self._fence = fence
        LOG.info(
            "Order committed.",
            endpoint=target.endpoint_id,
            order_version=order.order_version,
            role=order.role.value,
        )
        self._notify(target.endpoint_id, order.order_version)


def _matches(order: orders.CommittedOrder, target: EngineTarget) -> bool:
    return (
        order.role,
        order.model,
        order.model_version,
        order.adapters,
    ) == (
        target.role,
        target.model,
        target.model_version,
        target.adapters,
    )
