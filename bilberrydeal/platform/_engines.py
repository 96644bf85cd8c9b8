"""Control calls to engines: KV cache handles and role orders."""

import collections.abc
import typing

import msgspec

from .. import catalogue
from .. import decoding
from .. import http1
from .. import ports
from .. import telemetry
from . import _calls
from . import _signals

LOG = telemetry.logger("engines")
#: Timeout of one of these calls, in seconds.
CALL_TIMEOUT_S = 0.8
#: Maximum size of the response to one of these calls, in bytes.
RESPONSE_LIMIT_BYTES = 262_144


#: Handles are sent back in header fields and paths.
_Handle = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[\x21-\x7e]+\Z", max_length=200)
]
#: Greatest number of orders that an engine can have accepted.
ORDERS_LIMIT = 2**53


class _PrefillResult(msgspec.Struct):
    kv_handle: _Handle
    tokens: typing.Any = 0


class _StageOrder(msgspec.Struct):
    operation: str
    stage: str
    holder: str
    fencing_token: int
    #: Number of orders the engine must have accepted so far.
    expected: int


class _EngineReport(msgspec.Struct):
    #: Number of orders the engine has accepted since its start.
    sequence: typing.Annotated[int, msgspec.Meta(ge=0, le=ORDERS_LIMIT)] = 0
    busy: bool = False


class EngineApi:
    """Manages KV cache handles and sends role orders to engines.

    ``on_signals`` gets what each response tells about its engine.
    """

    def decode_kv_handle(self, body: bytes) -> str | None:
        """Return the KV cache handle in a prefill response, if any."""
        try:
            return msgspec.json.decode(body, type=_PrefillResult).kv_handle
        except decoding.DECODE_ERRORS as error:
            LOG.warning("Prefill result unreadable.", reason=str(error))
            return None

    async def free_kv_handle(
        self,
        pool: http1.Pool,
        handle: str,
        on_signals: _signals.OnSignals,
    ) -> bool:
        """Free a handle that will not be used; return whether it succeeded."""
        target = f"/bilberrydeal/kv-handle/{handle}".encode()
        try:
            response = await _call(pool, b"DELETE", target, None, on_signals)
        except (_calls.NotSent, _calls.NoResponse):
            return False
        return response.status == 200

    async def accepted_order_count(
        self, pool: http1.Pool, on_signals: _signals.OnSignals
    ) -> int | None:
        """Return the number of orders that an idle engine has accepted.

        ``None`` if it is executing an order or does not respond.
        """
        try:
            response = await _call(
                pool, b"GET", b"/bilberrydeal/report", None, on_signals
            )
            report = msgspec.json.decode(response.body, type=_EngineReport)
        except (_calls.NotSent, _calls.NoResponse):
            return None
        except decoding.DECODE_ERRORS as error:
            LOG.warning("Engine report unreadable.", reason=str(error))
            return None
        return None if report.busy else report.sequence

    async def breaks_connections(
        self, pool: http1.Pool, on_signals: _signals.OnSignals
    ) -> bool:
        """Return whether an engine refuses a connection or breaks it off.

        One that only doesn't respond in time may be sound.
        """
        try:
            await _call(
                pool, b"GET", b"/bilberrydeal/report", None, on_signals
            )
        except (_calls.NotSent, _calls.NoResponse) as error:
            cause = error.__cause__
            if isinstance(cause, http1.NotSent):
                return isinstance(cause.__cause__, ConnectionError)
            return isinstance(cause, http1.IncompleteResponse)
        return False

    async def order_role(
        self,
        pool: http1.Pool,
        endpoint: catalogue.Endpoint,
        role: ports.EngineRole,
        holder: str,
        fence: int,
        accepted_order_count: int,
        on_signals: _signals.OnSignals,
    ) -> bool:
        """Order a change of role; return whether the engine accepted it."""
        order = _StageOrder(
            operation="stage",
            stage=role.value,
            holder=holder,
            fencing_token=fence,
            expected=accepted_order_count,
        )
        headers = [(b"expect-instance", endpoint.endpoint_id.encode())]
        try:
            response = await _call(
                pool,
                b"POST",
                b"/bilberrydeal/order",
                order,
                on_signals,
                headers,
            )
        except (_calls.NotSent, _calls.NoResponse):
            return False
        return response.status in (200, 202)


async def _call(
    pool: http1.Pool,
    method: bytes,
    target: bytes,
    body: object,
    on_signals: _signals.OnSignals,
    headers: collections.abc.Sequence[http1.Header] = (),
) -> _calls.Response:
    """Make one call and pass on what the response tells of the engine."""
    response = await _calls.call(
        pool,
        method,
        target,
        body,
        CALL_TIMEOUT_S,
        headers,
        RESPONSE_LIMIT_BYTES,
    )
    on_signals(_signals.endpoint_signals(response.head))
    return response
