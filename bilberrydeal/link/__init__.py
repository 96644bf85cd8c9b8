"""The multiplexed link between an entry and an agent."""

from ._frames import decode_frame
from ._frames import encode_frame
from ._frames import FrameInvalid
from ._messages import Ack
from ._messages import Cancel
from ._messages import CancelOutcome
from ._messages import CancelResult
from ._messages import Chunk
from ._messages import EndpointStatus
from ._messages import Finished
from ._messages import Heartbeat
from ._messages import Hello
from ._messages import HelloReply
from ._messages import Message
from ._messages import OrderHint
from ._messages import Query
from ._messages import QueryOutcome
from ._messages import QueryResult
from ._messages import Refused
from ._messages import RequestNumber
from ._messages import Resume
from ._messages import Settled
from ._messages import Submit
from ._messages import UsageRecord
from ._messages import UsageRecords

__all__ = [
    "Ack",
    "Cancel",
    "CancelOutcome",
    "CancelResult",
    "Chunk",
    "EndpointStatus",
    "Finished",
    "FrameInvalid",
    "Heartbeat",
    "Hello",
    "HelloReply",
    "Message",
    "OrderHint",
    "Query",
    "QueryOutcome",
    "QueryResult",
    "Refused",
    "RequestNumber",
    "Resume",
    "Settled",
    "Submit",
    "UsageRecord",
    "UsageRecords",
    "decode_frame",
    "encode_frame",
]
