"""Load generator that keeps requests in flight on all entries."""

import asyncio
import random
import time

import attrs

from . import _caller
from . import _composition
from . import _fleet
from . import _waits

#: Requests in flight on each entry.
WORKERS_PER_ENTRY = 3
#: Share of the load that goes to the plain service.
PLAIN_SHARE = 0.3
#: Pause of a caller after a refusal, in seconds.
REFUSED_PAUSE_S = 0.2
#: Attempts for one deposit or label, on all entries in turn.
MAX_ATTEMPTS = 4


@attrs.frozen
class Mix:
    """Parameters of a load."""

    #: Share of requests to the plain service.
    plain_share: float = PLAIN_SHARE
    #: Padding lengths of prompts in characters, drawn at random.
    paddings: tuple[int, ...] = (0, 200, 2000)
    #: Maximum tokens of an answer.
    longest_tokens: int = 120


#: Keeps prefilling engines busier than decoding ones.
LONG_PROMPTS = Mix(0.05, (20_000,), 8)


class Load:
    """Sends random requests drawn from a seed.

    A deposit or label without a complete answer is retried on the next
    entry with the same ``Idempotency-Key``.
    """

    def __init__(
        self, fleet: _fleet.Fleet, seed: int, mix: Mix | None = None
    ) -> None:
        self._fleet = fleet
        self._mix = mix or Mix()
        self._running = True
        #: Start time, seconds since the epoch.
        self.started_s = time.time()
        self._tasks = [
            asyncio.create_task(
                self._send_requests(
                    entry, random.Random(f"{seed} {entry} {worker}")
                )
            )
            for entry in range(len(fleet.entries))
            for worker in range(WORKERS_PER_ENTRY)
        ]

    async def end(self) -> None:
        """Stop sending and wait for requests in flight."""
        self._running = False
        async with asyncio.timeout(_waits.MAX_WAIT_S):
            await asyncio.gather(*self._tasks)

    def cancel_requests(self) -> None:
        """Stop at once and cancel requests in flight."""
        self._running = False
        for task in self._tasks:
            task.cancel()

    async def _send_requests(self, entry: int, rng: random.Random) -> None:
        while self._running:
            ask = self._draw_request(rng)
            for number in range(MAX_ATTEMPTS):
                at = (entry + number) % len(self._fleet.entries)
                outcome = await self._fleet.ask(at, ask)
                if outcome.answered:
                    break
                await asyncio.sleep(REFUSED_PAUSE_S)
                if not ask.idempotency_key:
                    break

    def _draw_request(self, rng: random.Random) -> _caller.Ask:
        marker = self._fleet.marker()
        organisation = rng.choice(_composition.ORGANISATIONS)
        if self._fleet.plain_services and rng.random() < self._mix.plain_share:
            path = rng.choice(("/stock", "/deposit", "/label"))
            ask = _caller.plain(path, marker, organisation)
            once = "" if path == "/stock" else marker
            return attrs.evolve(ask, idempotency_key=once)
        return _caller.completion(
            marker,
            organisation,
            max_tokens=rng.randint(1, self._mix.longest_tokens),
            stream=rng.random() < 0.5,
            padding=rng.choice(self._mix.paddings),
        )
