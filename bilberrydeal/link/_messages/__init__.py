"""Message types of the link protocol."""

from ._registry import ARRAY_ENCODED
from ._registry import Message
from ._registry import PROTOCOL_VERSION
from ._registry import TYPES_BY_NUMBER
from ._report import CacheChanges
from ._report import EndpointStatus
from ._report import OrderHint
from ._report import Settled
from ._report import UsageRecord
from ._report import UsageRecords
from ._request import Cancel
from ._request import CancelOutcome
from ._request import CancelResult
from ._request import Chunk
from ._request import Finished
from ._request import Query
from ._request import QueryOutcome
from ._request import QueryResult
from ._request import Refused
from ._request import RequestNumber
from ._request import Submit
from ._request import TakeOver
from ._session import Ack
from ._session import Echo
from ._session import Heartbeat
from ._session import Hello
from ._session import HelloReply
from ._session import Missing
from ._session import Open
from ._session import Resume

__all__ = [
    "Ack",
    "CacheChanges",
    "Cancel",
    "CancelOutcome",
    "CancelResult",
    "Chunk",
    "Echo",
    "EndpointStatus",
    "Finished",
    "Heartbeat",
    "Hello",
    "HelloReply",
    "TYPES_BY_NUMBER",
    "ARRAY_ENCODED",
    "Message",
    "Missing",
    "Open",
    "OrderHint",
    "PROTOCOL_VERSION",
    "Query",
    "QueryOutcome",
    "QueryResult",
    "Refused",
    "RequestNumber",
    "Resume",
    "Settled",
    "Submit",
    "TakeOver",
    "UsageRecord",
    "UsageRecords",
]
