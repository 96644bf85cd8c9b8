"""A part of long prompts that crashes engines is never kept from them."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common import client
from review.common import fleet
from review.common import wire
from review.common import worker

#: The part under which engines crash.
CRASHING_PART = "5bad5bad"
#: Part that begins all prompts.
SYSTEM_PART = "aa01:47"
#: Earlier turns of a conversation, each a part of its prompt.
TURNS = 10
#: Time after which a crashed engine is back, in seconds.
BACK_S = 2.0
#: Interval of requests with the crashing part, in seconds.
INTERVAL_S = 1.5
CRASHING_REQUESTS = 24
#: Interval of the other requests, in seconds.
SOUND_INTERVAL_S = 0.1
CONTACT_S = fleet.BOUNDS["contact_ms"] / 1000
#: Crashes after which the part has to be known, and requests with it that may
#: reach engines all the same.
KNOWN_CRASHES = 5
ALLOWED = 3


class FragileEngine(worker.Engine):
    """An engine that crashes when it begins to write on one part."""

    #: Times of all crashes, steady seconds.
    crashes_s: list[float]
    returning: asyncio.Task | None = None

    async def begin(self, request: wire.Request, request_id: str) -> bool:
        """Crash under the crashing part."""
        parts = request.headers.get("prefix-hash", "")
        if f"{CRASHING_PART}:" not in parts or not fleet.troubled():
            return False
        self.crashes_s.append(time.monotonic())
        self.returning = asyncio.create_task(self._come_back())
        await self.crash()
        return True

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_S)
        await self.start()


def turns_of(conversation: int) -> list[str]:
    """Return the earlier turns of a conversation, as parts."""
    count = 1 if os.environ.get("TROUBLE") == "short" else TURNS
    return [f"c{conversation:04x}{turn:02x}:20" for turn in range(count)]


async def ask(
    consumers: client.Consumers,
    gateway: fleet.Gateway,
    parts: list[str],
    budget_ms: int = 4000,
) -> client.Outcome:
    """Send a prompt; its last part is its own."""
    own = f"{consumers.random.randrange(16**8):08x}:141"
    prompt = [SYSTEM_PART, *parts, own]
    tokens = sum(int(part.partition(":")[2]) for part in prompt)
    fields = {
        "Model": "m",
        "Token-Usage": f"{tokens},20",
        "Prefix-Hash": ",".join(prompt),
    }
    return await consumers.ask(
        gateway, "note", "russo", budget_ms, fields, own.encode()
    )


async def ask_sound(consumers: client.Consumers, running: fleet.Fleet) -> None:
    """Send sound prompts to all gateways in turn."""
    number = 0
    while True:
        number += 1
        gateway = running.gateways[number % len(running.gateways)]
        session = f"5e55{number % 20:02x}:32"
        consumers.start(ask(consumers, gateway, [session]))
        await asyncio.sleep(SOUND_INTERVAL_S)


async def case(running: fleet.Fleet) -> list[str]:
    """Send prompts with the crashing part, no two alike."""
    crashes_s: list[float] = []
    for zone in ("sic-a", "sic-b"):
        running.add_gateway(zone)
    for number in range(5):
        engine = FragileEngine(
            f"e-{number}",
            "assistente",
            f"sic-{'abc'[number % 3]}",
            running.worker_address(),
            running.platform,
            running.log,
            slots=64,
        )
        engine.crashes_s = crashes_s
        running.workers.append(engine)
    await running.configure(
        [
            fleet.route(
                "note",
                "streaming",
                "assistente",
                sticky=True,
                resumable=False,
                max_attempts=1,
                target_gap_ms=150,
            )
        ],
        [fleet.engine_service("assistente")],
    )
    await running.start()
    consumers = client.Consumers(running.log)
    running.start_task(ask_sound(consumers, running))
    await asyncio.sleep(CONTACT_S + 2.0)
    for number in range(CRASHING_REQUESTS):
        gateway = running.gateways[number % len(running.gateways)]
        turns = turns_of(number)
        crashing = [*turns, f"{CRASHING_PART}:30"]
        await ask(consumers, gateway, crashing, 1000)
        await asyncio.sleep(0.2)
        # The same conversation goes on without that part.
        consumers.start(ask(consumers, gateway, turns))
        await asyncio.sleep(INTERVAL_S)
    running.log.add("case", f"{len(crashes_s)} crashes")
    if len(crashes_s) < KNOWN_CRASHES:
        return []
    known_s = sorted(crashes_s)[KNOWN_CRASHES - 1] + CONTACT_S
    reached = [
        arrival.request_id
        for each in running.workers
        for arrival in each.arrivals
        if CRASHING_PART in arrival.parts and arrival.at_s > known_s
    ]
    running.log.add("case", f"{len(reached)} reached engines afterwards")
    bad = {
        arrival.request_id
        for each in running.workers
        for arrival in each.arrivals
        if CRASHING_PART in arrival.parts
    }
    lost = [
        outcome
        for outcome in consumers.outcomes
        if outcome.request_id not in bad
        and (outcome.got.status == 502 or not outcome.got.complete)
    ]
    running.log.add("case", f"{len(lost)} sound streams were lost")
    if len(reached) > ALLOWED:
        return [
            f"BUDGET: {len(reached)} requests with a part that had crashed"
            f" {KNOWN_CRASHES} engines reached engines later than {CONTACT_S}"
            " s after that"
        ]
    return []


if __name__ == "__main__":
    sys.exit(fleet.run(case, pathlib.Path(__file__).resolve().parent))
