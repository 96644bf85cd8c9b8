"""Stand-in of a worker of a plain service.

Usage: ``python3 worker.py JSON``, with the fields of ``Options``.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import sys
import time

import http_wire

BEAT_S = 1.2
#: Time in which a worker that turns a request away says so.
TURN_AWAY_S = 0.002


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
    slots: int = 6
    work_s: float = 0.045
    answer_bytes: int = 800
    #: Whether the last part of the path says the size of the answer.
    size_from_path: bool = False
    #: Paths that crash the worker, and the time from the begin to the crash.
    deadly: tuple[str, ...] = ()
    crash_after_s: float = 0.05


class Worker:
    """Runs requests, and turns them away for as long as it is told to."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.sequence = 0
        #: Until when it turns requests away, steady seconds.
        self.away_until = 0.0
        #: The limit that it names in all answers.
        self.limit: float | None = None
        #: Paths that crash it.
        self.deadly: tuple[str, ...] = tuple(options.deadly)
        self.slots = asyncio.Semaphore(options.slots)
        self.record = pathlib.Path(options.record)

    def note(self, **fields: object) -> None:
        """Write a line to the record."""
        line = {"at": time.monotonic(), "worker": self.options.name, **fields}
        with self.record.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    async def handle(
        self, request: http_wire.Request
    ) -> http_wire.Response | None:
        """Answer one request."""
        if request.path == "/stand-in/set":
            call = request.json()
            if "away_s" in call:
                self.away_until = time.monotonic() + call["away_s"]
            if "limit" in call:
                self.limit = call["limit"]
            if "deadly" in call:
                self.deadly = tuple(call["deadly"])
            self.note(told=call)
            return http_wire.json_response({})
        arrived = time.monotonic()
        response = await self.answer(request)
        if self.limit is not None:
            response.headers["Server-Limit"] = str(self.limit)
        self.note(
            arrived=arrived,
            request=request.headers.get("request-id"),
            status=response.status,
            retry_after=response.headers.get("Retry-After"),
            limit=self.limit,
        )
        return response

    async def answer(self, request: http_wire.Request) -> http_wire.Response:
        """Run a request, or turn it away."""
        fields = {"Request-Id": request.headers.get("request-id", "")}
        expected = request.headers.get("expect-instance", self.options.name)
        if expected != self.options.name:
            return http_wire.Response(421, fields | {"Not-Executed": "1"})
        left = self.away_until - time.monotonic()
        if left > 0:
            await asyncio.sleep(TURN_AWAY_S)
            fields |= {"Not-Executed": "1", "Retry-After": f"{left:.3f}"}
            return http_wire.Response(503, fields)
        async with self.slots:
            if request.path in self.deadly:
                self.note(
                    began=time.monotonic(),
                    request=request.headers.get("request-id"),
                    path=request.path,
                )
                await asyncio.sleep(self.options.crash_after_s)
                self.crash()
            await asyncio.sleep(self.options.work_s)
        fields["Server-Signature"] = f"{self.options.name}.{self.born}"
        size = self.options.answer_bytes
        if self.options.size_from_path:
            size = int(request.path.rpartition("/")[2])
        body = b"x" * size
        return http_wire.Response(200, fields, body)

    def crash(self) -> None:
        """End as a process that crashes."""
        self.note(crashed=time.monotonic())
        os._exit(1)

    async def beat(self) -> None:
        """Write the worker's entry at each check-in interval."""
        options = self.options
        while True:
            self.sequence += 1
            entry = {
                "service": options.service,
                "address": f"{options.address}:{options.port}",
                "zone": options.zone,
                "version": "1",
                "slots": options.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            try:
                await http_wire.call(
                    options.store,
                    options.store_port,
                    "POST",
                    "/stand-in/beat",
                    {"id": options.name, "entry": entry},
                    timeout_s=BEAT_S * 0.8,
                )
            except OSError:
                pass
            await asyncio.sleep(BEAT_S)


async def main() -> None:
    """Serve until killed."""
    worker = Worker(Options(**json.loads(sys.argv[1])))
    options = worker.options
    await http_wire.serve(worker.handle, options.address, options.port)
    await worker.beat()


if __name__ == "__main__":
    asyncio.run(main())
