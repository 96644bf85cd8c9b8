"""Consumers: they send requests and keep what came back."""

import asyncio
import dataclasses
import itertools
import random
import time

from . import fleet
from . import record
from . import wire


@dataclasses.dataclass(frozen=True)
class Outcome:
    """One request and its answer."""

    request_id: str
    route: str
    gateway: str
    sent_s: float
    ended_s: float
    got: wire.Answer


class Consumers:
    """Send requests, each on a new channel."""

    def __init__(self, log: record.Record, seed: int = 1) -> None:
        self.outcomes: list[Outcome] = []
        self.random = random.Random(seed)
        self.log = log
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    def next_id(self) -> str:
        """Return the id of a new request."""
        return f"{next(self._numbers):06d}{self.random.randrange(16**6):06x}"

    async def ask(
        self,
        gateway: fleet.Gateway,
        route: str,
        tenant: str = "russo",
        budget_ms: int = 2000,
        fields: dict[str, str] | None = None,
        body: bytes = b"",
        method: str = "POST",
    ) -> Outcome:
        """Send one request and wait for its answer."""
        request_id = self.next_id()
        sent = {
            "Host": fleet.HOST,
            "Request-Id": request_id,
            "Key": fleet.KEYS[tenant],
            "Deadline-Ms": str(budget_ms),
            "Connection": "close",
            **(fields or {}),
        }
        sent_s = time.monotonic()
        self.log.add("send", f"{request_id} {route} to {gateway.name}")
        got = await wire.ask(
            gateway.ip,
            gateway.port,
            method,
            f"/{route}/{request_id}",
            sent,
            body,
            budget_ms / 1000 + 0.5,
        )
        outcome = Outcome(
            request_id, route, gateway.name, sent_s, time.monotonic(), got
        )
        self.outcomes.append(outcome)
        self.log.add(
            "answer",
            f"{request_id} status {got.status}, {len(got.body)} bytes,"
            f" {'complete' if got.complete else 'incomplete ' + got.reason}",
        )
        return outcome

    def start(self, request) -> asyncio.Task:
        """Let a request run beside others."""
        task = asyncio.create_task(request)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def settle(self) -> None:
        """Wait for all requests that are under way."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
