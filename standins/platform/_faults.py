"""Rate limits and injected faults of the platform services."""

import asyncio
import math
import time

from aiohttp import web
import attrs

from .. import _serve

#: Value of ``lose_answers`` that loses every answer.
ALL = -1


@attrs.frozen
class Fault:
    """Faults to inject into a service; none by default."""

    #: ``tables``, ``objects``, ``endpoints``, ``usage``, ``hosts`` or
    #: ``weights``; empty for all of them.
    service: str = ""
    #: Reject every call with status 503.
    down: bool = False
    #: Accept calls without executing or answering them.
    silent: bool = False
    #: Delay before each call, in seconds.
    slow_s: float = 0.0
    #: Number of calls to execute without a response; ``ALL`` for all.
    lose_answers: int = 0


class TokenBucket:
    """A token bucket with a capacity of one second at its rate."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._refilled_s = -math.inf

    def try_acquire(self, amount: float, now_s: float) -> float:
        """Acquire ``amount`` and return 0, or return the seconds to wait."""
        refill = (now_s - self._refilled_s) * self._rate_per_s
        self._tokens = min(self._rate_per_s, self._tokens + refill)
        self._refilled_s = now_s
        missing = min(amount, self._rate_per_s) - self._tokens
        if missing > 0:
            return missing / self._rate_per_s
        self._tokens -= amount
        return 0.0


class FaultInjector:
    """Middleware that applies the configured faults of each service."""

    def __init__(self) -> None:
        self._by_service: dict[str, Fault] = {}

    async def control(self, request: web.Request) -> web.Response:
        """Set the fault of one service or of all services."""
        fault = await _serve.read_body(request, Fault)
        if not fault.service:
            self._by_service.clear()
        self._by_service[fault.service] = fault
        return _serve.json_response(_serve.EmptyBody())

    def _fault_for(self, path: str) -> Fault | None:
        _, version, service, *_ = f"{path}//".split("/")
        if version != "v1":
            return None
        return self._by_service.get(service, self._by_service.get(""))

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: _serve.Handler
    ) -> web.StreamResponse:
        """Apply the fault of the service in the request path."""
        fault = self._fault_for(request.path)
        if fault is None:
            return await handler(request)
        await request.read()
        if fault.slow_s:
            await asyncio.sleep(fault.slow_s)
        if fault.down:
            return _serve.json_response(
                _serve.EmptyBody(), 503, retry_after_s=0.2
            )
        if fault.silent:
            await asyncio.Event().wait()
        response = await handler(request)
        if self._loses_response(fault.service):
            _serve.drop_connection(request)
        return response

    def _loses_response(self, service: str) -> bool:
        fault = self._by_service.get(service, Fault())
        if fault.lose_answers > 0:
            self._by_service[service] = attrs.evolve(
                fault, lose_answers=fault.lose_answers - 1
            )
        return fault.lose_answers != 0


def monotonic_s() -> float:
    """Return the clock time that token buckets use."""
    return time.monotonic()
