"""A stand-in of a worker: a plain service or an engine."""

import asyncio
import dataclasses
import hashlib
import json
import time

from . import record
from . import store
from . import wire


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached a worker."""

    at_s: float
    request_id: str
    worker: str
    #: Entries of ``Prefix-Hash`` without their tokens.
    parts: tuple[str, ...]
    #: Whether the worker began to work on it.
    ran: bool


def body_of(request_id: str, size: int) -> bytes:
    """Return the body with which a worker answers a plain request."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


class Worker:
    """A worker that registers itself and serves requests.

    Its behaviour is sound unless a subclass changes it.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        platform: store.Store,
        log: record.Record,
        slots: int = 6,
        work_s: float = 0.03,
        body_bytes: int = 800,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.body_bytes = body_bytes
        self.alive = False
        self.draining = False
        self.arrivals: list[Arrival] = []
        self.server = wire.Server(*address, self.handle)
        self.log = log
        self._platform = platform
        self._born = 0
        self._sequence = 0
        self._heartbeats: asyncio.Task | None = None

    async def start(self) -> None:
        """Start a new process of the worker."""
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self.alive = True
        self.draining = False
        await self.server.start()
        self._heartbeats = asyncio.create_task(self._check_in())
        self.log.add("worker", f"{self.name} has started")

    async def crash(self) -> None:
        """End at once; its connections are reset."""
        self.alive = False
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self.log.add("worker", f"{self.name} has crashed")
        await self.server.crash()

    async def stop(self) -> None:
        """End the worker at the end of a script."""
        self.alive = False
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        await self.server.crash()

    def entry(self) -> dict[str, object]:
        """Return the entry in the platform's list."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{self.server.host}:{self.server.port}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def check_in(self) -> bool:
        """Write the entry; return whether the store acknowledged it."""
        value = json.dumps(self.entry()).encode()
        return await self._platform.put("servers", self.name, value)

    async def _check_in(self) -> None:
        while True:
            await self.check_in()
            await asyncio.sleep(store.HEARTBEAT_S)

    async def handle(self, request: wire.Request) -> None:
        """Serve one request."""
        request_id = request.headers.get("request-id", "")
        expected = request.headers.get("expect-instance", self.name)
        fields = {"Request-Id": request_id}
        if self.draining:
            fields |= {"Server-Leaving": "1", "Connection": "close"}
        if request.path == "/healthz":
            fields["Instance-Id"] = self.name
            await wire.answer(request, 503 if self.draining else 200, b"")
        elif expected != self.name:
            self._note(request, ran=False)
            fields["Instance-Id"] = self.name
            await wire.answer(request, 421, b"", fields)
        else:
            await self.serve(request, request_id, fields)

    async def serve(
        self, request: wire.Request, request_id: str, fields: dict[str, str]
    ) -> None:
        """Run a plain request and answer it."""
        self._note(request, ran=True)
        await asyncio.sleep(self.work_s)
        fields["Server-Signature"] = f"s.{self.name}"
        body = body_of(request_id, self.body_bytes)
        await wire.answer(request, 200, body, fields)

    def _note(self, request: wire.Request, ran: bool) -> None:
        parts = request.headers.get("prefix-hash", "")
        arrival = Arrival(
            time.monotonic(),
            request.headers.get("request-id", ""),
            self.name,
            tuple(part.partition(":")[0] for part in parts.split(",")),
            ran,
        )
        self.arrivals.append(arrival)
        self.log.add(
            "run" if ran else "reject",
            f"{arrival.request_id} at {self.name}",
        )


class Engine(Worker):
    """A worker that streams the answers to prompts.

    It decodes, and prefills itself what nobody has prefilled before.
    """

    #: Time to the first event, in seconds.
    first_s = 0.05
    #: Time between two events, in seconds.
    gap_s = 0.01

    def entry(self) -> dict[str, object]:
        """Return the entry in the platform's list."""
        models = [{"name": "m", "version": 1, "adapters": []}]
        return {**super().entry(), "stage": "decode", "models": models}

    async def handle(self, request: wire.Request) -> None:
        """Serve one request, or one of the calls of engines."""
        if request.path == "/bilberrydeal/report":
            await wire.answer_json(request, 200, self._report())
        elif request.path == "/bilberrydeal/order":
            await wire.answer_json(request, 409, {})
        elif request.path.startswith("/bilberrydeal/"):
            await wire.answer_json(request, 404, {})
        else:
            await super().handle(request)

    def _report(self) -> dict[str, object]:
        return {
            "stage": "decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 1_000_000,
            "kv_handles": 0,
        }

    async def serve(
        self, request: wire.Request, request_id: str, fields: dict[str, str]
    ) -> None:
        """Stream the events of a request."""
        if request.headers.get("serving-stage") == "prefill":
            fields["Not-Executed"] = "1"
            self._note(request, ran=False)
            await wire.answer(request, 421, b"", fields)
            return
        last = int(request.headers.get("last-event-id", "0") or 0)
        total = int(request.headers["token-usage"].partition(",")[2])
        await asyncio.sleep(self.first_s)
        self._note(request, ran=True)
        if await self.begin(request, request_id):
            return
        fields |= {
            "Server-Signature": f"s.{self.name}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        request.writer.write(wire.head(200, fields))
        for number in range(last + 1, total + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            request.writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await request.writer.drain()
            await asyncio.sleep(self.gap_s)
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()

    async def begin(self, request: wire.Request, request_id: str) -> bool:
        """Begin to write an answer; return whether the engine has ended."""
        return False
