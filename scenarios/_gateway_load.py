"""Load generator for gateways that records every outcome."""

import asyncio
import collections
import collections.abc
import random
import time

import aiohttp
import attrs

from standins import users_endpoint

from . import _gateway_configuration
from . import _gateway_records
from . import _gateway_settings
from . import _gateways

#: Deadline of each request, in milliseconds.
DEADLINE_MS = 3000
#: Number of events in each stream.
EVENTS = 12
#: The same where streams are resumed: they last for a second or so.
RESUMED_EVENTS = 100
#: Share of the requests that repeat a crashing one, while there is one.
CRASHING_SHARE = 0.1
#: Most times that a caller resumes a stream that was broken off.
RESUMPTIONS = 4
#: Pause before each of them, in seconds.
RESUMPTION_PAUSE_S = 0.4
#: Statuses that state that a request did not run.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
#: Status of a request that was served.
ADMITTED = 200
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
    #: Requests that were sent for it.
    tries: int = 1
    #: Number of events in the whole stream.
    events: int = EVENTS


class Callers:
    """Sends requests and records every outcome.

    Example::

        callers = Callers(fleet, random.Random(1))
        outcome = await callers.ask("once")
    """

    def __init__(self, fleet: _gateways.Fleet, rng: random.Random) -> None:
        self.outcomes: list[Outcome] = []
        #: Requests that resumed a stream, by status.
        self.resumptions: collections.Counter[int] = collections.Counter()
        self._fleet = fleet
        self._rng = rng
        self._count = 0
        self._tasks: set[asyncio.Task[Outcome]] = set()
        #: Whether callers resume streams that were broken off.
        self._resumes = fleet.size.versions > 1
        self._events = RESUMED_EVENTS if self._resumes else EVENTS

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
        organisation = self._rng.choice(list(_gateway_configuration.KEYS))
        return await self._send(
            route, organisation, request_id, request_id, b"body"
        )

    async def repeat(
        self, request: _gateway_records.CrashingRequest
    ) -> Outcome:
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
        headers = {
            "Host": _gateway_configuration.HOST_HEADER,
            "Request-Id": request_id,
            "Key": _gateway_configuration.KEYS[organisation],
            "Deadline-Ms": str(DEADLINE_MS),
        }
        gateway = self._rng.choice(self._fleet.gateways)
        if route in ("chat", "tell"):
            headers |= self._prompt_headers(request_id)
        process, sent_s = gateway.process.pid, time.monotonic()
        target = f"/{route}/{path}"
        status, text = await self._exchange(gateway, target, headers, body)
        tries = 1
        if route == "chat" and self._resumes:
            while status != ADMITTED and text and tries <= RESUMPTIONS:
                status, more = await self._resume(
                    target, headers, body, text, tries
                )
                text += more
                tries += 1
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
            tries,
            self._events,
        )
        self.outcomes.append(outcome)
        return outcome

    async def _resume(
        self,
        target: str,
        headers: collections.abc.Mapping[str, str],
        body: bytes,
        text: str,
        tries: int,
    ) -> tuple[int, str]:
        """Ask any gateway for the rest of a stream that has begun."""
        await asyncio.sleep(RESUMPTION_PAUSE_S)
        status, more = await self._exchange(
            self._rng.choice(self._fleet.gateways),
            target,
            {
                **headers,
                "Request-Id": f"{headers['Request-Id']}.{tries}",
                "Resumes": headers["Request-Id"],
                "Last-Event-Id": str(text.count("\n\n")),
            },
            body,
        )
        self.resumptions[status] += 1
        return status, more

    def _prompt_headers(self, request_id: str) -> dict[str, str]:
        is_long = self._rng.random() < 0.5
        unique = 2_000 if is_long else 100
        session = self._rng.randrange(8)
        return {
            "Model": "m",
            "Token-Usage": f"{unique + 300},{self._events}",
            "Prefix-Hash": f"aa:200,{session:02x}:100,{request_id}:{unique}",
        }

    async def _exchange(
        self,
        gateway: _gateways.Member,
        target: str,
        headers: collections.abc.Mapping[str, str],
        body: bytes,
    ) -> tuple[int, str]:
        """Return the status and body, or the events of a broken stream."""
        host = f"{gateway.proxy.address}:{_gateway_settings.CALLERS_PORT}"
        url = f"http://{host}{target}"
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000)
        received = b""
        try:
            async with self._fleet.session.post(
                url, headers=headers, data=body, timeout=timeout
            ) as answer:
                async for data in answer.content.iter_any():
                    received += data
                return answer.status, received.decode()
        except (aiohttp.ClientError, TimeoutError, OSError):
            events, end, _partial = received.rpartition(b"\n\n")
            return INCOMPLETE, (events + end).decode()
