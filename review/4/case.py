"""An entry of another writer that can't be read stops all gateways."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common import client
from review.common import fleet
from review.common import store
from review.common import worker

#: Time from the return of the machines until requests count, in seconds.
RECOVERY_S = fleet.BOUNDS["recovery_s"]
#: Time in which requests are counted before and after, in seconds.
COUNTED_S = 8.0
DOWN_S = 1.0
REQUESTS_PER_S = 20
#: An entry that no reader has to understand: no field of an entry is there.
UNREADABLE = b'{"notes": ' + b"[" * 10_000 + b"]" * 10_000 + b"}"


async def load(
    consumers: client.Consumers, running: fleet.Fleet, for_s: float
) -> list[asyncio.Task]:
    """Send requests to all gateways in turn."""
    tasks = []
    ends_s = time.monotonic() + for_s
    number = 0
    while time.monotonic() < ends_s:
        gateway = running.gateways[number % len(running.gateways)]
        number += 1
        tasks.append(
            consumers.start(
                consumers.ask(gateway, "stock", budget_ms=1000, method="GET")
            )
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return tasks


async def served(tasks: list[asyncio.Task]) -> float:
    """Return the share of the requests that got a whole success."""
    outcomes = await asyncio.gather(*tasks)
    good = sum(o.got.status == 200 and o.got.complete for o in outcomes)
    return good / len(outcomes)


async def write_entries(running: fleet.Fleet) -> None:
    """Check in as another writer does whose entries can't be read."""
    while True:
        await running.platform.put("servers", "catalogue", UNREADABLE)
        await asyncio.sleep(store.HEARTBEAT_S)


async def case(running: fleet.Fleet) -> list[str]:
    """Let all processes be killed while such an entry is listed."""
    for zone in ("sic-a", "sic-b"):
        running.add_gateway(zone)
    for number, zone in enumerate(("sic-a", "sic-b", "sic-c")):
        running.workers.append(
            worker.Worker(
                f"i-{number}",
                "bottega",
                zone,
                running.worker_address(),
                running.platform,
                running.log,
            )
        )
    await running.configure(
        [fleet.route("stock", "safe", "bottega")],
        [fleet.plain_service("bottega")],
    )
    await running.start()
    consumers = client.Consumers(running.log)
    before = await served(await load(consumers, running, COUNTED_S))
    if fleet.troubled():
        running.start_task(write_entries(running))
        running.log.add("trouble", "an unreadable entry is in the list")
    await served(await load(consumers, running, 2.0))
    # The final fault: all processes are killed, and start again.
    for gateway in running.gateways:
        gateway.kill()
    await asyncio.sleep(DOWN_S)
    for gateway in running.gateways:
        gateway.start()
    await load(consumers, running, RECOVERY_S)
    after = await served(await load(consumers, running, COUNTED_S))
    ready = [await gateway.ready() for gateway in running.gateways]
    alive = [gateway.running for gateway in running.gateways]
    running.log.add(
        "result",
        f"served {before:.2f} before the fault and {after:.2f} from"
        f" {RECOVERY_S} s after it; ready {ready}, running {alive}",
    )
    if before >= 0.25 and after < 0.25:
        return [
            f"RECOVER: {after:.2f} of the requests are served later than"
            f" {RECOVERY_S} s after the machines are back, {before:.2f} before"
        ]
    return []


if __name__ == "__main__":
    sys.exit(fleet.run(case, pathlib.Path(__file__).resolve().parent))
