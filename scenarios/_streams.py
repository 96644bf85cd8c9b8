"""Streams as callers see them, and take them up when they break off."""

import asyncio
import collections.abc
import random

import aiohttp

from standins import users_endpoint

from . import _gateway_configuration
from . import _gateway_load
from . import _gateway_settings
from . import _gateways

#: Deadline of each request, in milliseconds; less than the route's timeout.
DEADLINE_MS = 4_500
#: Interval between two events of a stream, in seconds.
EVENT_INTERVAL_S = 0.05
#: Events of a stream that is broken off; it lasts for 3 s.
EVENTS = 60
#: Events of a stream that is not.
SHORT_EVENTS = 4
#: Tokens of a short and of a long prompt.
PROMPT_TOKENS = (400, 2_300)


def version_of(text: str) -> str:
    """Return the version that wrote the first event, empty if none."""
    first = text.partition("\n\n")[0]
    return first.rpartition(" ")[2] if first else ""


def is_joined(request_id: str, text: str) -> bool:
    """Return whether an event is missing, repeated or of another version.

    A stream that ends early is not joined.
    """
    version = version_of(text)
    expected = (
        users_endpoint.event_of(request_id, number, version)
        for number in range(1, text.count("\n\n") + 1)
    )
    return text != "".join(expected)


class Stream:
    """A stream as its caller sees it.

    Example::

        stream = Stream(fleet, "q1", 60, rng)
        if not await stream.begin(gateway):
            await stream.take_up(another)
    """

    def __init__(
        self,
        fleet: _gateways.Fleet,
        request_id: str,
        events: int,
        rng: random.Random,
    ) -> None:
        self.request_id = request_id
        #: Set once the first event has arrived, or the request has ended.
        self.begun = asyncio.Event()
        #: Requests that took it up.
        self.tries = 0
        #: Whether the first of them brought an event.
        self.went_on_at_first = False
        #: Status of the last request.
        self.status = _gateway_load.INCOMPLETE
        self._fleet = fleet
        self._events = events
        self._received = b""
        self._headers = _headers(request_id, events, rng)

    @property
    def version(self) -> str:
        """Return the version that wrote the first event, empty if none."""
        return version_of(self._text)

    @property
    def has_begun(self) -> bool:
        """Return whether an event has arrived."""
        return b"\n\n" in self._received

    @property
    def is_whole(self) -> bool:
        """Return whether all events of one version arrived once."""
        return self._count == self._events and not self.is_joined

    @property
    def is_joined(self) -> bool:
        """Return whether its events are not those of one version in order."""
        return is_joined(self.request_id, self._text)

    async def begin(self, gateway: _gateways.Member) -> bool:
        """Send its first request; return whether it became whole."""
        return await self._ask(gateway, self._headers)

    async def take_up(self, gateway: _gateways.Member) -> bool:
        """Ask for the rest of it; return whether it became whole."""
        self._received = self._text.encode()
        self.tries += 1
        count = self._count
        headers = {
            **self._headers,
            "Request-Id": f"{self.request_id}.{self.tries}",
            "Resumes": self.request_id,
            "Last-Event-Id": str(count),
        }
        whole = await self._ask(gateway, headers)
        if self.tries == 1:
            self.went_on_at_first = self._count > count
        return whole

    @property
    def _text(self) -> str:
        """Return the events that have arrived in full."""
        events, end, _partial = self._received.rpartition(b"\n\n")
        return (events + end).decode()

    @property
    def _count(self) -> int:
        return self._text.count("\n\n")

    async def _ask(
        self,
        gateway: _gateways.Member,
        headers: collections.abc.Mapping[str, str],
    ) -> bool:
        host = f"{gateway.proxy.address}:{_gateway_settings.CALLERS_PORT}"
        url = f"http://{host}/chat/{self.request_id}"
        timeout = aiohttp.ClientTimeout(total=DEADLINE_MS / 1000)
        self.status = _gateway_load.INCOMPLETE
        try:
            async with self._fleet.session.post(
                url, headers=headers, data=b"body", timeout=timeout
            ) as answer:
                if answer.status == _gateway_load.ADMITTED:
                    await self._receive(answer)
                self.status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        finally:
            self.begun.set()
        return self.status == _gateway_load.ADMITTED and self.is_whole

    async def _receive(self, answer: aiohttp.ClientResponse) -> None:
        async for data in answer.content.iter_any():
            self._received += data
            if self.has_begun:
                self.begun.set()


def _headers(
    request_id: str, events: int, rng: random.Random
) -> dict[str, str]:
    """Return the header fields of the first request of a stream."""
    tokens = rng.choice(PROMPT_TOKENS)
    unique = tokens - 300
    session = rng.randrange(8)
    return {
        "Host": _gateway_configuration.HOST_HEADER,
        "Request-Id": request_id,
        "Key": rng.choice(list(_gateway_configuration.KEYS.values())),
        "Deadline-Ms": str(DEADLINE_MS),
        "Model": "m",
        "Token-Usage": f"{tokens},{events}",
        "Prefix-Hash": f"aa:200,{session:02x}:100,{request_id}:{unique}",
    }


class Streams:
    """Creates streams with ids of their own.

    Example::

        streams = Streams(fleet, random.Random(1))
        stream = streams.new(EVENTS)
    """

    def __init__(self, fleet: _gateways.Fleet, rng: random.Random) -> None:
        #: Streams that were created.
        self.created: list[Stream] = []
        self._fleet = fleet
        self._rng = rng

    def new(self, events: int) -> Stream:
        """Return a stream that has not begun."""
        request_id = f"s{len(self.created):06d}"
        stream = Stream(self._fleet, request_id, events, self._rng)
        self.created.append(stream)
        return stream

    def gateway(self) -> _gateways.Member:
        """Return one of the gateways that run."""
        alive = [each for each in self._fleet.gateways if each.process.alive]
        return self._rng.choice(alive)

    async def begin_all(
        self, count: int, concurrency: int, events: int = 1
    ) -> int:
        """Begin some streams and read them; return how many became whole."""
        left = iter(range(count))

        async def work() -> int:
            whole = 0
            for _ in left:
                whole += await self.new(events).begin(self.gateway())
            return whole

        return sum(await asyncio.gather(*(work() for _ in range(concurrency))))


def joined_ids(streams: Streams) -> tuple[str, ...]:
    """Return the ids of streams that are not what one version wrote."""
    return tuple(each.request_id for each in streams.created if each.is_joined)


async def slow_down(fleet: _gateways.Fleet) -> None:
    """Let engines take long enough for their streams to be broken off."""
    for worker in fleet.workers:
        await fleet.wait_serving(worker)
        await fleet.set_worker_faults(
            worker, event_interval_s=EVENT_INTERVAL_S
        )
