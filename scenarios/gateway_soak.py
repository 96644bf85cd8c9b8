"""Injects random faults into gateways under load and checks invariants.

Run as ``python -m scenarios.gateway_soak --seed 1 --duration-s 60``; exits 1
when an invariant was violated or the gateways did not recover. The processes
are real; faults are injected by signals, proxies and stand-ins.
"""

import asyncio
import collections
import collections.abc
import pathlib
import random
import sys
import tempfile

import cyclopts
import uvloop

from . import _gateway_faults
from . import _gateway_invariants
from . import _gateway_load
from . import _gateway_settings
from . import _gateways
from . import _proxy
from . import _route_probes
from . import _waits

#: Maximum pause between two faults of one source, in seconds.
MAX_PAUSE_S = 2.0
#: Concurrent sources of faults, so that faults overlap.
FAULT_SOURCES = 3
#: Requests per second.
LOAD_PER_S = 25.0
#: Consecutive answers after which a route counts as recovered.
RECOVERED_ANSWERS = 3
#: Time for delayed calls to arrive, in seconds.
SETTLE_S = 3.0
#: Pause between two changes of the routes, in seconds.
ROUTE_PAUSE_S = (0.3, 3.0)
#: What is judged of the answers on these routes.
ROUTE_LIMITS = _route_probes.Limits(
    apply_limit_s=3.0, settle_s=4.0, least_answers=20
)


async def _apply_faults(
    fleet: _gateways.Fleet,
    rng: random.Random,
    counts: "collections.Counter[str]",
    names: collections.abc.Sequence[str],
) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_S))
        name = rng.choice(names)
        counts[name] += 1
        await _gateway_faults.FAULTS.get(name)(fleet, rng)


async def _recover(
    fleet: _gateways.Fleet, callers: _gateway_load.Callers
) -> None:
    """End all faults and wait until every route is served again."""
    await fleet.set_store_faults()
    for member in fleet.members:
        for proxy in (member.proxy, member.store_proxy):
            if proxy is not None:
                proxy.set_conditions(_proxy.Conditions())
                proxy.reset_connections()
        if member.process.alive:
            member.process.resume()
        await _gateway_faults.restart(member)
    for worker in fleet.workers:
        await _gateway_faults.ignore_errors(fleet.set_worker_faults(worker))
        await _gateway_faults.ignore_errors(
            fleet.set_worker_limit(worker, None)
        )
    await fleet.configure()
    for gateway in fleet.gateways:
        # A gateway that was draining may exit only now.
        await fleet.wait_ready(gateway, restart_ended=True)
    for route in ("once", "read", "chat", "tell"):
        await _wait_until_served(callers, route)


async def _wait_until_served(
    callers: _gateway_load.Callers, route: str
) -> None:
    successes = 0

    async def served() -> bool:
        nonlocal successes
        successes = (
            successes + 1 if (await callers.ask(route)).status == 200 else 0
        )
        return successes >= RECOVERED_ANSWERS

    await _waits.eventually(served, f"{route} to be served again")


async def _change_routes(
    probes: _route_probes.RouteProbes, rng: random.Random
) -> None:
    while True:
        await asyncio.sleep(rng.uniform(*ROUTE_PAUSE_S))
        await probes.change(rng)


def _settings(size: _gateways.FleetSize) -> dict[str, object]:
    """Return the settings of gateways that differ from the usual ones."""
    if not size.routes:
        return {}
    limit_ms = ROUTE_LIMITS.apply_limit_s * 1000
    bounds = {
        "configuration_apply_ms": limit_ms,
        "endpoint_leave_ms": limit_ms,
    }
    return {"bounds": _gateway_settings.BOUNDS | bounds}


async def soak(
    seed: int,
    duration_s: float,
    folder: pathlib.Path,
    size: _gateways.FleetSize | None = None,
    faults: collections.abc.Sequence[str] = (),
) -> list[str]:
    """Run a fleet under some faults, or all; return the violations found.

    With routes beside the usual ones, routes are added and removed too.
    """
    rng = random.Random(seed)
    counts: collections.Counter[str] = collections.Counter()
    chosen = size or _gateways.FleetSize()
    async with _gateways.Fleet(chosen, folder, _settings(chosen)) as fleet:
        callers = _gateway_load.Callers(fleet, random.Random(seed + 1))
        tasks = [asyncio.create_task(callers.load(LOAD_PER_S))]
        probes = _route_probes.RouteProbes(fleet)
        if chosen.routes:
            probes.start()
            changing = _change_routes(probes, random.Random(seed + 2))
            tasks.append(asyncio.create_task(changing))
        tasks += [
            asyncio.create_task(
                _apply_faults(
                    fleet,
                    random.Random(rng.random()),
                    counts,
                    faults or _gateway_faults.default_faults(),
                )
            )
            for _ in range(FAULT_SOURCES)
        ]
        await asyncio.sleep(duration_s)
        for task in tasks:
            task.cancel()
        probes.stop()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        problems = [
            f"a source of faults failed: {each!r}"
            for each in ended
            if not isinstance(each, asyncio.CancelledError)
        ]
        await callers.settle()
        try:
            await _recover(fleet, callers)
        except TimeoutError as error:
            problems.append(str(error))
        await asyncio.sleep(SETTLE_S)
        problems += _gateway_invariants.violations(
            folder, callers.outcomes, fleet.key_changes, fleet.disturbances
        )
        if chosen.routes:
            problems += _route_probes.outdated_answers(
                probes.changes,
                probes.probes,
                fleet.disturbances,
                ROUTE_LIMITS,
            )
    statuses = collections.Counter(each.status for each in callers.outcomes)
    print(f"seed {seed}: {dict(counts)}, answers {dict(statuses)}")
    if probes.changes:
        asked = collections.Counter(each.status for each in probes.probes)
        print(f"{len(probes.changes)} changes, probes {dict(asked)}")
    if callers.resumptions:
        print(f"resumptions by status: {dict(callers.resumptions)}")
    return problems


app = cyclopts.App()


@app.default
def main(
    *,
    seed: int = 1,
    duration_s: float = 60.0,
    gateways: int = 2,
    routes: int = 0,
    link_mbps: float = 0.0,
    folder: pathlib.Path | None = None,
    faults: list[str] | None = None,
) -> None:
    """Run one seed; logs and journals are written to the folder.

    Without ``faults`` all kinds of them are injected.
    """
    chosen = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    chosen.mkdir(parents=True, exist_ok=True)
    size = _gateways.FleetSize(
        gateways=gateways, routes=routes, link_mbps=link_mbps
    )
    problems = uvloop.run(soak(seed, duration_s, chosen, size, faults or ()))
    for problem in problems:
        print(f"broken: {problem}")
    print(f"logs in {chosen}")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    app()
