"""Limits and faults of the platform's services."""

import asyncio
import math
import time

from aiohttp import web
import attrs

from .. import _serve

#: Number of lost answers that stands for all.
ALL = -1


@attrs.frozen
class Fault:
    """How a service is to misbehave; the default is not at all."""

    #: ``tables``, ``objects``, ``endpoints``, ``usage``, ``hosts`` or
    #: ``weights``; empty for all of them.
    service: str = ""
    #: Refuses every call with 503.
    down: bool = False
    #: Takes calls without doing or answering anything.
    silent: bool = False
    #: Waits so long before each call, in seconds.
    slow_s: float = 0.0
    #: Answers to lose after the effect, ``ALL`` for all of them.
    lose_answers: int = 0


class Budget:
    """A token bucket that holds one second of its rate."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._level = rate_per_s
        self._filled_s = -math.inf

    def take(self, amount: float, now_s: float) -> float:
        """Take ``amount`` and return 0, or the seconds until it fits."""
        gained = (now_s - self._filled_s) * self._rate_per_s
        self._level = min(self._rate_per_s, self._level + gained)
        self._filled_s = now_s
        missing = min(amount, self._rate_per_s) - self._level
        if missing > 0:
            return missing / self._rate_per_s
        self._level -= amount
        return 0.0


class Faults:
    """The faults in force, and the middleware that applies them."""

    def __init__(self) -> None:
        self._by_service: dict[str, Fault] = {}

    async def control(self, request: web.Request) -> web.Response:
        """Set the fault of one service or of all."""
        fault = await _serve.read_body(request, Fault)
        if not fault.service:
            self._by_service.clear()
        self._by_service[fault.service] = fault
        return _serve.json_response(_serve.EmptyBody())

    def _fault(self, path: str) -> Fault | None:
        _, version, service, *_ = f"{path}//".split("/")
        if version != "v1":
            return None
        return self._by_service.get(service, self._by_service.get(""))

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: _serve.Handler
    ) -> web.StreamResponse:
        """Apply the fault of the service that the path names."""
        fault = self._fault(request.path)
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
        if self._loses(fault.service):
            _serve.drop_connection(request)
        return response

    def _loses(self, service: str) -> bool:
        fault = self._by_service.get(service, Fault())
        if fault.lose_answers > 0:
            self._by_service[service] = attrs.evolve(
                fault, lose_answers=fault.lose_answers - 1
            )
        return fault.lose_answers != 0


def monotonic_s() -> float:
    """Return the time that budgets run on."""
    return time.monotonic()
