"""Stand-in of a model worker, as far as short prompts need it.

Usage: ``python3 engine.py JSON``, with the fields of ``Options``. It streams
events, goes on after ``Last-Event-Id``, and drops a request as soon as it sees
that its channel is closed.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import sys
import time

import http_wire

BEAT_S = 1.2
SWITCH_S = 3.0


@dataclasses.dataclass
class Options:
    """Where the worker runs and where it writes."""

    name: str
    service: str
    zone: str
    address: str
    port: int
    store: str
    store_port: int
    record: str
    stage: str
    slots: int = 64
    event_interval_s: float = 0.04
    #: Paths that crash the worker, and the time from the begin to the crash.
    deadly: tuple[str, ...] = ()
    crash_after_s: float = 0.05


class Engine:
    """Runs requests and streams their events."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.stage = options.stage
        self.orders = 0
        self.busy = False
        self.beats = 0
        self.record = pathlib.Path(options.record)
        self.tasks: set[asyncio.Task] = set()
        #: Until when it neither sends nor reads anything, steady seconds. It
        #: works on meanwhile.
        self.silent_until = 0.0

    def note(self, **fields: object) -> None:
        """Write a line to the record."""
        line = {"at": time.monotonic(), "worker": self.options.name, **fields}
        with self.record.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    async def handle(
        self, request: http_wire.Request
    ) -> http_wire.Response | None:
        """Answer one request."""
        if request.path == "/bilberrydeal/report":
            return http_wire.json_response(
                {
                    "stage": self.stage,
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": self.busy,
                    "sequence": self.orders,
                    "waiting": 0,
                    "running": 0,
                    "kv_used": 0,
                    "kv_total": 1_000_000,
                    "kv_handles": 0,
                }
            )
        if request.path == "/bilberrydeal/order":
            return self.order(request)
        if request.path == "/stand-in/set":
            call = request.json()
            if "silent_s" in call:
                self.silent_until = time.monotonic() + call["silent_s"]
            if "deadly" in call:
                self.options.deadly = tuple(call["deadly"])
            self.note(told=call)
            return http_wire.json_response({})
        fields = {"Request-Id": request.headers.get("request-id", "")}
        expected = request.headers.get("expect-instance", self.options.name)
        if expected != self.options.name:
            return http_wire.Response(421, fields | {"Not-Executed": "1"})
        prefill = request.headers.get("serving-stage") == "prefill"
        if self.busy:
            return http_wire.Response(503, fields | {"Not-Executed": "1"})
        if prefill or self.stage != "decode":
            # Prompts in these cases are too short to be read apart.
            return http_wire.Response(421, fields | {"Not-Executed": "1"})
        await self.stream(request, fields)
        return None

    def order(self, request: http_wire.Request) -> http_wire.Response:
        """Take an order."""
        call = request.json()
        self.note(order=call)
        if self.busy or call.get("expected", self.orders) != self.orders:
            return http_wire.json_response({}, 409)
        if call["stage"] == self.stage:
            return http_wire.json_response({}, 200)
        self.orders += 1
        self.busy = True
        task = asyncio.create_task(self.switch(call["stage"]))
        self.tasks.add(task)
        return http_wire.json_response({}, 202)

    async def switch(self, stage: str) -> None:
        """Change the stage."""
        await asyncio.sleep(SWITCH_S)
        self.stage = stage
        self.busy = False

    async def stream(
        self, request: http_wire.Request, fields: dict[str, str]
    ) -> None:
        """Run a request and stream its events."""
        last = int(request.headers.get("last-event-id") or 0)
        total = int(request.headers["token-usage"].split(",")[1])
        writer = request.writer
        fields |= {
            "Server-Signature": f"{self.options.name}.{self.born}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "Connection": "close",
        }
        run = {"request": fields["Request-Id"], "after": last}
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
        self.note(began=time.monotonic(), path=request.path, **run)
        if request.path in self.options.deadly:
            loop = asyncio.get_running_loop()
            loop.call_later(self.options.crash_after_s, self.crash)
        closed = asyncio.create_task(request.reader.read(1))
        made = sent = last
        try:
            writer.write(head.encode())
            while sent < total:
                await asyncio.sleep(self.options.event_interval_s)
                made = min(made + 1, total)
                if time.monotonic() < self.silent_until:
                    continue
                if closed.done():
                    break
                for number in range(sent + 1, made + 1):
                    writer.write(chunk_of(number))
                await writer.drain()
                sent = made
            else:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.note(ended=time.monotonic(), made=made, sent=sent, **run)
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await closed

    def crash(self) -> None:
        """End as a process that crashes."""
        self.note(crashed=time.monotonic())
        os._exit(1)

    async def beat(self) -> None:
        """Write the worker's entry at each check-in interval."""
        options = self.options
        while True:
            self.beats += 1
            entry = {
                "service": options.service,
                "address": f"{options.address}:{options.port}",
                "zone": options.zone,
                "version": "1",
                "slots": options.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self.beats,
                "born": self.born,
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
            }
            with contextlib.suppress(OSError):
                await http_wire.call(
                    options.store,
                    options.store_port,
                    "POST",
                    "/stand-in/beat",
                    {"id": options.name, "entry": entry},
                    timeout_s=BEAT_S * 0.8,
                )
            await asyncio.sleep(BEAT_S)


def chunk_of(number: int) -> bytes:
    """Return the chunk of an event."""
    event = f"id: {number}\ndata: {number:0280d}\n\n".encode()
    return b"%x\r\n%b\r\n" % (len(event), event)


async def main() -> None:
    """Serve until killed."""
    engine = Engine(Options(**json.loads(sys.argv[1])))
    options = engine.options
    await http_wire.serve(engine.handle, options.address, options.port)
    await engine.beat()


if __name__ == "__main__":
    asyncio.run(main())
