"""Commits what engines should be."""

import collections.abc

import attrs

from .. import errors
from .. import orders
from .. import ports
from .. import store
from .. import telemetry
from . import _duty

LOG = telemetry.logger("roles")
#: Rows of orders read in one round.
PAGE_ROWS = 250

#: Newest committed orders by endpoint.
Orders = collections.abc.Mapping[str, orders.CommittedOrder]


@attrs.frozen
class EngineTarget:
    """What the planner wants one engine to be."""

    #: The endpoint.
    endpoint_id: str
    #: Role to take.
    role: ports.EngineRole
    #: Model to load.
    model: str
    #: Version of the model's weights.
    model_version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()


#: Decides on changes from the committed orders and the time.
Decide = collections.abc.Callable[
    [Orders, float], collections.abc.Iterable[EngineTarget]
]
#: Tells an agent that its order row changed; carries no authority.
Hint = collections.abc.Callable[[str, int], None]


@attrs.frozen
class _OrderRow:
    """A committed order as this process last read or wrote it."""

    #: Version of the row.
    version: int
    #: The order.
    order: orders.CommittedOrder


class RoleDuty:
    """The duty of planning roles.

    The row is the order: agents read it from the table, so a planner that
    lost its lease cannot give one, whatever its messages say.
    """

    def __init__(
        self, client: store.StoreClient, decide: Decide, hint: Hint
    ) -> None:
        self._client = client
        self._decide = decide
        self._hint = hint
        #: Fencing number under which the rows were read, 0 for none.
        self._fence = 0
        self._cursor = ""
        self._rows: dict[str, _OrderRow] = {}

    @property
    def name(self) -> str:
        """Return the name of the lease."""
        return "roles"

    async def round(self, work: _duty.Round) -> None:
        """Read the orders, decide, and commit each change."""
        await self._read(work.lease.fence(self._client.now_s()))
        committed = {key: row.order for key, row in self._rows.items()}
        now_s = self._client.now_s()
        for target in self._decide(committed, now_s):
            row = self._rows.get(target.endpoint_id)
            if row is not None and _fulfils(row.order, target):
                continue
            await self._commit(work, target, row)

    async def _read(self, fence: int) -> None:
        """Read all rows under a new number, and then a page each round.

        Only the holder of the lease writes orders, and each write checks
        its row's version, so rows in memory can be stale in vain only.
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
            whole = len(rows) == PAGE_ROWS
            self._cursor = rows[-1].key if whole else ""
        for row in rows:
            self._rows[row.key] = _OrderRow(
                row.version, orders.decode_order(row)
            )

    async def _commit(
        self,
        work: _duty.Round,
        target: EngineTarget,
        before: "_OrderRow | None",
    ) -> None:
        now_s = self._client.now_s()
        version = before.version if before else 0
        order = orders.CommittedOrder(
            order_version=before.order.order_version + 1 if before else 1,
            fence=work.lease.fence(now_s),
            role=target.role,
            model=target.model,
            model_version=target.model_version,
            adapters=target.adapters,
            nonce=self._client.nonce(),
        )
        key = orders.order_key(target.endpoint_id)
        transaction = ports.Transaction(
            checks=(
                *work.lease.checks(now_s),
                ports.Check(key.table, key.key, version),
            ),
            writes=(
                ports.Write(key.table, key.key, orders.encode_order(order)),
            ),
        )
        # Whatever goes wrong, the rows are read before the next write.
        fence, self._fence = self._fence, 0
        try:
            committed = await self._client.commit_resolved(
                transaction, key, order.nonce
            )
        except errors.TableConflict:
            LOG.info("Order was overtaken.", endpoint=target.endpoint_id)
            return
        self._rows[key.key] = _OrderRow(committed.versions[0], order)
        self._fence = fence
        LOG.info(
            "Order committed.",
            endpoint=target.endpoint_id,
            order_version=order.order_version,
            role=order.role.value,
        )
        self._hint(target.endpoint_id, order.order_version)


def _fulfils(order: orders.CommittedOrder, target: EngineTarget) -> bool:
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
