"""A usage window is reported twice, with different counts."""

import asyncio
import collections
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common import client
from review.common import fleet
from review.common import store
from review.common import worker

#: Age of the copy from which the store comes back, in seconds.
COPY_AGE_S = 3.5
#: Time for which the store is away, in seconds.
AWAY_S = 1.0
#: Time for which the processes are down, in seconds.
DOWN_S = 2.0
#: Time after the fault in which reports are awaited, in seconds.
AFTER_S = 30.0
REQUESTS_PER_S = 30
#: Windows with so many requests are reported before the fault.
FULL_WINDOW_REQUESTS = 100
REPORT_TIMEOUT_S = 40.0


async def load(consumers: client.Consumers, running: fleet.Fleet) -> None:
    """Send requests of all tenants to all gateways in turn."""
    number = 0
    tenants = list(fleet.KEYS)
    while True:
        number += 1
        gateway = running.gateways[number % len(running.gateways)]
        tenant = consumers.random.choice(tenants)
        consumers.start(
            consumers.ask(gateway, "stock", tenant, 1000, method="GET")
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def full_window_reported(platform: store.Store) -> store.Usage:
    """Wait for the report of a window with requests all the while."""
    deadline_s = time.monotonic() + REPORT_TIMEOUT_S
    seen = len(platform.usage)
    while time.monotonic() < deadline_s:
        for report in platform.usage[seen:]:
            if sum(report.counts.values()) >= FULL_WINDOW_REQUESTS:
                return report
        seen = len(platform.usage)
        await asyncio.sleep(0.01)
    raise fleet.CannotRun("no window was reported")


def double_reports(platform: store.Store) -> list[str]:
    """Return the windows of which reports with other counts were accepted."""
    by_window = collections.defaultdict(list)
    for report in platform.usage:
        counts = {name: n for name, n in report.counts.items() if n}
        if counts not in by_window[report.window]:
            by_window[report.window].append(counts)
    return [
        f"ONE: window {window} was reported with {found}"
        for window, found in by_window.items()
        if len(found) > 1
    ]


async def case(running: fleet.Fleet) -> list[str]:
    """Let the store come back from a copy while all processes are killed."""
    for zone in ("sic-a", "sic-b", "sic-c"):
        running.add_gateway(zone)
        running.workers.append(
            worker.Worker(
                f"i-{zone}",
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
    running.start_task(load(consumers, running))
    report = await full_window_reported(running.platform)
    running.log.add("case", f"window {report.window} has been reported")
    trouble = os.environ.get("TROUBLE", "1")
    await asyncio.sleep(0.2)
    returning = None
    if trouble in ("1", "restore"):
        running.log.add("trouble", "the store goes away")
        returning = asyncio.create_task(
            running.platform.restore(COPY_AGE_S, AWAY_S)
        )
    if trouble in ("1", "kill"):
        for gateway in running.gateways:
            gateway.kill()
        await asyncio.sleep(DOWN_S)
        for gateway in running.gateways:
            gateway.start()
    if returning is not None:
        await returning
    await asyncio.sleep(AFTER_S)
    return double_reports(running.platform)


if __name__ == "__main__":
    sys.exit(fleet.run(case, pathlib.Path(__file__).resolve().parent))
