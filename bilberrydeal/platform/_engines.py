"""Calls to engines beside the requests themselves."""

import msgspec

from .. import catalogue
from .. import http1
from .. import ports
from . import _exchange

#: Longest wait for one of these calls, in seconds.
CALL_TIMEOUT_S = 0.8


class _Prefilled(msgspec.Struct):
    kv_handle: str
    tokens: int = 0


class _Order(msgspec.Struct):
    operation: str
    stage: str
    holder: str
    fencing_token: int
    #: Orders that the engine must have accepted so far.
    expected: int


class _Report(msgspec.Struct):
    #: Orders that the engine accepted since its start.
    sequence: int = 0
    stage: str = ""
    busy: bool = False


class EngineApi:
    """Reads prompts' handles, frees them and gives stage orders."""

    def handle(self, body: bytes) -> str | None:
        """Return the handle of a prompt that was read, if there is one."""
        try:
            return msgspec.json.decode(body, type=_Prefilled).kv_handle
        except msgspec.DecodeError:
            return None

    async def free(self, pool: http1.Pool, handle: str) -> bool:
        """Free a handle that nobody will take; return whether it worked."""
        target = f"/bilberrydeal/kv-handle/{handle}".encode()
        try:
            answer = await _exchange.call(
                pool, b"DELETE", target, None, CALL_TIMEOUT_S
            )
        except (_exchange.NotSent, _exchange.NoAnswer):
            return False
        return answer.status == 200

    async def orders_taken(self, pool: http1.Pool) -> int | None:
        """Return how many orders an idle engine has taken.

        ``None`` where it is carrying one out, or does not answer.
        """
        try:
            answer = await _exchange.call(
                pool, b"GET", b"/bilberrydeal/report", None, CALL_TIMEOUT_S
            )
            report = msgspec.json.decode(answer.body, type=_Report)
        except (
            _exchange.NotSent,
            _exchange.NoAnswer,
            msgspec.DecodeError,
        ):
            return None
        return None if report.busy else report.sequence

    async def order_stage(
        self,
        pool: http1.Pool,
        endpoint: catalogue.Endpoint,
        role: ports.EngineRole,
        holder: str,
        fence: int,
        orders_taken: int,
    ) -> bool:
        """Order a change of stage; return whether the engine took it."""
        order = _Order(
            operation="stage",
            stage=role.value,
            holder=holder,
            fencing_token=fence,
            expected=orders_taken,
        )
        headers = [(b"expect-instance", endpoint.endpoint_id.encode())]
        try:
            answer = await _exchange.call(
                pool,
                b"POST",
                b"/bilberrydeal/order",
                order,
                CALL_TIMEOUT_S,
                headers,
            )
        except (_exchange.NotSent, _exchange.NoAnswer):
            return False
        return answer.status in (200, 202)
