"""The order row of one endpoint."""

import attrs

from .. import ports
from .. import store

#: Name of the table, which is keyed by endpoint ID.
TABLE = "orders"


@attrs.frozen
class CommittedOrder:
    """Target state of one engine as committed by the planner.

    A planner writes the row in a transaction that checks its lease. The agent
    of the endpoint obeys only the row, not the message that announces it, so
    a process that has lost the lease cannot issue an order.
    """

    #: Increases with each order for this endpoint.
    order_version: int
    #: Fencing token of the lease under which it was decided.
    fence: int
    #: Role of the engine.
    role: ports.EngineRole
    #: Model to load.
    model: str
    #: Version of the model's weights.
    model_version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()
    #: Identifies the write that produced the row.
    nonce: str = ""

    def to_engine_order(self, expected_taken: int) -> ports.EngineOrder:
        """Return the call that applies this order to the engine.

        An engine refuses it if it has accepted a number of orders other than
        ``expected_taken``, even if it does not check fencing tokens.
        """
        return ports.EngineOrder(
            order_version=self.order_version,
            fence=self.fence,
            role=self.role,
            model=self.model,
            model_version=self.model_version,
            adapters=self.adapters,
            expected_taken=expected_taken,
        )


def order_key(endpoint_id: str) -> ports.RowKey:
    """Return the row key of the order of an endpoint."""
    return ports.RowKey(TABLE, endpoint_id)


def encode_order(order: CommittedOrder) -> bytes:
    """Return the encoded content of an order row."""
    return store.encode(order)


def decode_order(row: ports.Row) -> CommittedOrder:
    """Return the order stored in a row, or raise ``RowInvalid``.

    Example::

        row = await client.read_one(order_key("engine-1"))
        order = decode_order(row) if row else None
    """
    return store.decode(row.value, CommittedOrder)
