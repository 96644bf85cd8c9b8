"""Load generator for gateways that records every outcome."""

import asyncio
import collections.abc
import random
import time

import aiohttp
import attrs

from standins import users_endpoint

from . import _gateways

#: Deadline of each request, in milliseconds.
DEADLINE_MS = 3000
#: Number of events in each stream.
EVENTS = 12
#: Share of the requests that repeat a crashing one, while there is one.
CRASHING_SHARE = 0.1
#: Statuses that state that a request did not run.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
#: Status recorded for a request without a complete answer.
INCOMPLETE = 0


@attrs.frozen
class Outcome:
    """The result of one request as its caller saw it."""

    request_id: str
    route: str
    organisation: str
    #: HTTP status, ``INCOMPLETE`` without a complete answer.
    status: int
    body: str
    #: Process that was asked; a restarted gateway is another one.
    process: int = 0
    #: When it was sent and when it ended, in seconds.
    sent_s: float = 0.0
    ended_s: float = 0.0
    #: Name of the crashing request that it repeats, empty for a sound one.
    crashing: str = ""


class Callers:
    """Sends requests and records every outcome.

    Example::

        callers = Callers(fleet, random.Random(1))
        outcome = await callers.ask("once")
    """

    def __init__(self, fleet: _gateways.Fleet, rng: random.Random) -> None:
        self.outcomes: list[Outcome] = []
        self._fleet = fleet
        self._rng = rng
        self._count = 0
        self._tasks: set[asyncio.Task[Outcome]] = set()

    async def load(self, requests_per_s: float) -> None:
        """Send requests of all kinds until cancelled."""
        routes = ("once", "read", "chat", "tell")
        while True:
            await asyncio.sleep(self._rng.expovariate(requests_per_s))
            asked = self.ask(self._rng.choice(routes))
            if self._fleet.crashing and self._rng.random() < CRASHING_SHARE:
                asked.close()
                asked = self.repeat(self._rng.choice(self._fleet.crashing))
            task = asyncio.create_task(asked)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def settle(self) -> None:
        """Wait for the requests in flight."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def ask(self, route: str) -> Outcome:
        """Send one request and record its outcome."""
        request_id = self._next_id()
        organisation = self._rng.choice(list(_gateways.KEYS))
        return await self._send(
            route, organisation, request_id, request_id, b"body"
        )

    async def repeat(self, request: _gateways.CrashingRequest) -> Outcome:
        """Send a request that crashes workers once more."""
        body = users_endpoint.CRASHING_BODY + request.name.encode()
        return await self._send(
            request.route,
            request.organisation,
            self._next_id(),
            request.name,
            body,
            request.name,
        )

    def _next_id(self) -> str:
        self._count += 1
        return f"q{self._count:06d}"

    async def _send(
        self,
        route: str,
        organisation: str,
        request_id: str,
        path: str,
        body: bytes,
        crashing: str = "",
    ) -> Outcome:
        gateway = self._rng.choice(self._fleet.gateways)
        headers = {
            "Host": _gateways.HOST_HEADER,
            "Request-Id": request_id,
            "Key": _gateways.KEYS[organisation],
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if route in ("chat", "tell"):
            headers |= self._prompt_headers(request_id)
        url = (
            f"http://{gateway.proxy.address}:{_gateways.CALLERS_PORT}"
            f"/{route}/{path}"
        )
        process, sent_s = gateway.process.pid, time.monotonic()
        status, text = await self._exchange(url, headers, body)
        outcome = Outcome(
            request_id,
            route,
            organisation,
            status,
            text,
            process,
            sent_s,
            time.monotonic(),
            crashing,
        )
        self.outcomes.append(outcome)
        return outcome

    def _prompt_headers(self, request_id: str) -> dict[str, str]:
        is_long = self._rng.random() < 0.5
        unique = 2_000 if is_long else 100
        session = self._rng.randrange(8)
        return {
            "Model": "m",
            "Token-Usage": f"{unique + 300},{EVENTS}",
            "Prefix-Hash": f"aa:200,{session:02x}:100,{request_id}:{unique}",
        }

    async def _exchange(
        self,
        url: str,
        headers: collections.abc.Mapping[str, str],
        body: bytes,
    ) -> tuple[int, str]:
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000)
        try:
            async with self._fleet.session.post(
                url, headers=headers, data=body, timeout=timeout
            ) as answer:
                return answer.status, await answer.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return INCOMPLETE, ""
