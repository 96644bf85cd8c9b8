"""Order rows in which the planner commits the target state of engines."""

from ._order import CommittedOrder
from ._order import decode_order
from ._order import encode_order
from ._order import order_key
from ._order import TABLE

__all__ = [
    "CommittedOrder",
    "TABLE",
    "decode_order",
    "encode_order",
    "order_key",
]
