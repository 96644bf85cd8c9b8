"""Control calls to engines: KV cache handles and role orders."""

import msgspec

from .. import catalogue
from .. import http1
from .. import ports
from . import _calls

#: Timeout of one of these calls, in seconds.
CALL_TIMEOUT_S = 0.8


class _PrefillResult(msgspec.Struct):
    kv_handle: str
    tokens: int = 0


class _StageOrder(msgspec.Struct):
    operation: str
    stage: str
    holder: str
    fencing_token: int
    #: Number of orders the engine must have accepted so far.
    expected: int


class _EngineReport(msgspec.Struct):
    #: Number of orders the engine has accepted since its start.
    sequence: int = 0
    stage: str = ""
    busy: bool = False


class EngineApi:
    """Manages KV cache handles and sends role orders to engines."""

    def decode_kv_handle(self, body: bytes) -> str | None:
        """Return the KV cache handle in a prefill response, if any."""
        try:
            return msgspec.json.decode(body, type=_PrefillResult).kv_handle
        except msgspec.DecodeError:
            return None

    async def free_kv_handle(self, pool: http1.Pool, handle: str) -> bool:
        """Free a handle that will not be used; return whether it succeeded."""
        target = f"/bilberrydeal/kv-handle/{handle}".encode()
        try:
            response = await _calls.call(
                pool, b"DELETE", target, None, CALL_TIMEOUT_S
            )
        except (_calls.NotSent, _calls.NoResponse):
            return False
        return response.status == 200

    async def accepted_order_count(self, pool: http1.Pool) -> int | None:
        """Return the number of orders that an idle engine has accepted.

        ``None`` if it is executing an order or does not respond.
        """
        try:
            response = await _calls.call(
                pool, b"GET", b"/bilberrydeal/report", None, CALL_TIMEOUT_S
            )
            report = msgspec.json.decode(response.body, type=_EngineReport)
        except (
            _calls.NotSent,
            _calls.NoResponse,
            msgspec.DecodeError,
        ):
            return None
        return None if report.busy else report.sequence

    async def order_role(
        self,
        pool: http1.Pool,
        endpoint: catalogue.Endpoint,
        role: ports.EngineRole,
        holder: str,
        fence: int,
        accepted_order_count: int,
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
            response = await _calls.call(
                pool,
                b"POST",
                b"/bilberrydeal/order",
                order,
                CALL_TIMEOUT_S,
                headers,
            )
        except (_calls.NotSent, _calls.NoResponse):
            return False
        return response.status in (200, 202)
