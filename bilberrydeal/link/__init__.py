"""The multiplexed link between an entry and an agent."""

from ._call import Call
from ._entry import AgentLink
from ._execution import Executor
from ._execution import RequestExecution
from ._failures import CallExpired
from ._failures import CallLost
from ._failures import HelloFailed
from ._failures import LinkDown
from ._failures import LinkFull
from ._frames import decode_frame
from ._frames import encode_frame
from ._frames import FrameInvalid
from ._messages import Ack
from ._messages import CacheChanges
from ._messages import Cancel
from ._messages import CancelOutcome
from ._messages import CancelResult
from ._messages import Chunk
from ._messages import Echo
from ._messages import EndpointStatus
from ._messages import Finished
from ._messages import Heartbeat
from ._messages import Hello
from ._messages import HelloReply
from ._messages import Message
from ._messages import Missing
from ._messages import Open
from ._messages import OrderHint
from ._messages import PROTOCOL_VERSION
from ._messages import Query
from ._messages import QueryOutcome
from ._messages import QueryResult
from ._messages import Refused
from ._messages import RequestNumber
from ._messages import Resume
from ._messages import Settled
from ._messages import Submit
from ._messages import TakeOver
from ._messages import UsageRecord
from ._messages import UsageRecords
from ._nng import limit_threads
from ._requests import RequestFailed
from ._requests import Responder
from ._requests import send_request
from ._server import AgentCallbacks
from ._server import LinkServer

__all__ = [
    "Ack",
    "AgentCallbacks",
    "AgentLink",
    "CacheChanges",
    "Call",
    "CallExpired",
    "CallLost",
    "Cancel",
    "CancelOutcome",
    "CancelResult",
    "Chunk",
    "Echo",
    "EndpointStatus",
    "Executor",
    "Finished",
    "FrameInvalid",
    "Heartbeat",
    "Hello",
    "HelloFailed",
    "HelloReply",
    "LinkDown",
    "LinkFull",
    "LinkServer",
    "Message",
    "Missing",
    "Open",
    "OrderHint",
    "PROTOCOL_VERSION",
    "Query",
    "QueryOutcome",
    "QueryResult",
    "Refused",
    "RequestExecution",
    "RequestFailed",
    "RequestNumber",
    "Responder",
    "Resume",
    "Settled",
    "Submit",
    "TakeOver",
    "UsageRecord",
    "UsageRecords",
    "decode_frame",
    "encode_frame",
    "limit_threads",
    "send_request",
]
