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

    @property
    def name(self) -> str:
        """Return the name of the lease."""
        return "roles"

    async def round(self, work: _duty.Round) -> None:
        """Read the orders, decide, and commit each change."""
        rows = await self._client.scan_all(orders.TABLE, "")
        committed = {row.key: orders.decode_order(row) for row in rows}
        versions = {row.key: row.version for row in rows}
        now_s = self._client.now_s()
        for target in self._decide(committed, now_s):
            before = committed.get(target.endpoint_id)
            if before is not None and _fulfils(before, target):
                continue
            version = versions.get(target.endpoint_id, 0)
            await self._commit(work, target, before, version)

    async def _commit(
        self,
        work: _duty.Round,
        target: EngineTarget,
        before: orders.CommittedOrder | None,
        version: int,
    ) -> None:
        now_s = self._client.now_s()
        order = orders.CommittedOrder(
            order_version=before.order_version + 1 if before else 1,
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
        try:
            await self._client.commit_resolved(transaction, key, order.nonce)
        except errors.TableConflict:
            LOG.info("Order was overtaken.", endpoint=target.endpoint_id)
            return
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
