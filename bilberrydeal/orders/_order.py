"""The order row of one endpoint."""

import attrs

from .. import ports
from .. import store

#: The table; its keys are names of endpoints.
TABLE = "orders"


@attrs.frozen
class CommittedOrder:
    """What the planner wants an engine to be.

    A planner writes the row in a transaction that checks its lease, and the
    agent of the endpoint obeys the row, not whoever told it to look. So an
    order of a process that lost its authority never comes into being.
    """

    #: Grows with each order for this endpoint.
    order_version: int
    #: Fencing number of the lease under which it was decided.
    fence: int
    #: Role to take.
    role: ports.EngineRole
    #: Model to load.
    model: str
    #: Version of the model's weights.
    model_version: str = ""
    #: Adapters to load.
    adapters: tuple[str, ...] = ()
    #: Marks the write that set the row.
    nonce: str = ""

    def for_engine(self, expected_taken: int) -> ports.EngineOrder:
        """Return the call that carries it out.

        An engine that has taken another number of orders refuses it, also
        where it does not check fencing numbers.
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
    """Return where the order of an endpoint is."""
    return ports.RowKey(TABLE, endpoint_id)


def encode_order(order: CommittedOrder) -> bytes:
    """Return the content of the row."""
    return store.encode(order)


def decode_order(row: ports.Row) -> CommittedOrder:
    """Return the order in a row, or raise ``RowInvalid``.

    Example::

        row = await client.read_one(order_key("engine-1"))
        order = decode_order(row) if row else None
    """
    return store.decode(row.value, CommittedOrder)
