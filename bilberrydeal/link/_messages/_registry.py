"""All message types of the link, by their number on the wire."""

import typing

from . import _report
from . import _request
from . import _session

#: Version of this protocol; peers with another version are refused.
PROTOCOL_VERSION = 2

Message: typing.TypeAlias = (
    _request.Submit
    | _request.Chunk
    | _request.Finished
    | _request.Refused
    | _session.Ack
    | _session.Resume
    | _request.Cancel
    | _request.CancelResult
    | _request.Query
    | _request.QueryResult
    | _report.UsageRecords
    | _report.Settled
    | _session.Heartbeat
    | _session.Echo
    | _report.EndpointStatus
    | _report.CacheChanges
    | _report.OrderHint
    | _session.Open
    | _session.Missing
    | _request.TakeOver
)

#: Message types by their number on the wire; numbers are never reused.
TYPES_BY_NUMBER: dict[int, type] = {
    1: _request.Submit,
    2: _request.Chunk,
    3: _request.Finished,
    4: _request.Refused,
    5: _session.Ack,
    6: _session.Resume,
    7: _request.Cancel,
    8: _request.CancelResult,
    9: _request.Query,
    10: _request.QueryResult,
    11: _report.UsageRecords,
    12: _report.Settled,
    # 13 was the heartbeat of protocol version 1.
    14: _report.OrderHint,
    15: _session.Open,
    16: _session.Missing,
    17: _request.TakeOver,
    18: _session.Heartbeat,
    19: _session.Echo,
    20: _report.EndpointStatus,
    21: _report.CacheChanges,
}

#: Types encoded as arrays of values without field names, because they are
#: sent often and are small.
ARRAY_ENCODED: frozenset[type] = frozenset(
    [
        _session.Heartbeat,
        _session.Echo,
        _report.EndpointStatus,
        _report.CacheChanges,
    ]
)
