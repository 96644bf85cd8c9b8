"""Random faults on gateways under load, and the promises over it all.

Run as ``python -m scenarios.gateway_soak --seed 1 --duration-s 60``; exits 1
when a promise was broken or the gateways did not recover. The processes are
real ones; faults come from outside: signals, proxies and stand-ins.
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

from bilberrydeal import registry

from . import _gateway_invariants
from . import _gateway_load
from . import _gateways
from . import _proxy
from . import _waits

#: Longest time that a fault lasts, in seconds.
MAX_FAULT_S = 4.0
#: Longest pause between two faults of one source, in seconds.
MAX_PAUSE_S = 2.0
#: Sources of faults, so that faults overlap.
FAULT_SOURCES = 3
#: Requests a second.
LOAD_PER_S = 25.0
#: Answers in a successes that show that a route works again.
RECOVERED_ANSWERS = 3
#: Time for what was held back to arrive, in seconds.
SETTLE_S = 3.0

Fault = collections.abc.Callable[
    [_gateways.Fleet, random.Random], collections.abc.Awaitable[None]
]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


async def sleep_fault_duration(rng: random.Random) -> None:
    """Let a fault last for a while."""
    await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))


async def restart(member: _gateways.Member) -> None:
    """Start a process that ended, unless another fault did."""
    if not member.process.alive:
        member.process.start()


@FAULTS.register("kill_gateway")
async def kill_gateway(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Kill a gateway and start it again."""
    gateway = rng.choice(fleet.gateways)
    gateway.process.kill()
    await sleep_fault_duration(rng)
    await restart(gateway)


@FAULTS.register("terminate_gateway")
async def terminate_gateway(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Ask a gateway to leave, and start it again once it has."""
    gateway = rng.choice(fleet.gateways)
    if gateway.process.alive:
        gateway.process.terminate()

    async def ended() -> bool:
        return not gateway.process.alive

    await _waits.eventually(ended, f"{gateway.name} leaves")
    await restart(gateway)


@FAULTS.register("pause_gateway")
async def pause_gateway(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Pause a gateway."""
    await _pause(rng.choice(fleet.gateways), rng)


@FAULTS.register("kill_worker")
async def kill_worker(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Crash a worker and start it again under its id."""
    worker = rng.choice(fleet.workers)
    worker.process.kill()
    await sleep_fault_duration(rng)
    await restart(worker)


@FAULTS.register("pause_worker")
async def pause_worker(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Pause a worker."""
    await _pause(rng.choice(fleet.workers), rng)


@FAULTS.register("worker_misbehaves")
async def worker_misbehaves(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Let a worker lose, tear, repeat or refuse answers."""
    worker = rng.choice(fleet.workers)
    name = rng.choice(
        ["lose_share", "full_share", "tear_share", "fail_share", "twice_share"]
    )
    if not worker.process.alive:
        return
    await _ignore_errors(
        fleet.set_worker_faults(worker, **{name: rng.uniform(0.2, 0.9)})
    )
    await sleep_fault_duration(rng)
    await _ignore_errors(fleet.set_worker_faults(worker))


@FAULTS.register("worker_leaves")
async def worker_leaves(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Let a worker announce that it leaves, for a while."""
    worker = rng.choice(fleet.workers)
    await _ignore_errors(fleet.set_worker_faults(worker, leaving=True))
    await sleep_fault_duration(rng)
    await _ignore_errors(fleet.set_worker_faults(worker))


@FAULTS.register("store_fails")
async def store_fails(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Let the store refuse, stay silent, lose answers, lag or forget."""
    faults: dict[str, object] = rng.choice(
        [
            {"mode": "busy"},
            {"mode": "reset"},
            {"mode": "silent"},
            {"lose_share": 0.5},
            {"late_share": 0.5},
            {"delay_s": 0.3},
            {"forget": True},
        ]
    )
    await fleet.set_store_faults(**faults)
    await sleep_fault_duration(rng)
    await fleet.set_store_faults()


@FAULTS.register("gateway_loses_store")
async def gateway_loses_store(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Cut one gateway off from the store."""
    proxy = rng.choice(fleet.gateways).store_proxy
    assert proxy is not None
    await _impair_proxy(proxy, rng)


@FAULTS.register("worker_cut_off")
async def worker_cut_off(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Stall, delay or refuse what goes to a worker."""
    await _impair_proxy(rng.choice(fleet.workers).proxy, rng)


@FAULTS.register("connections_go")
async def reset_or_blackhole(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Reset the open connections of a process, or lose one way of them."""
    member = rng.choice([*fleet.gateways, *fleet.workers])
    proxy = rng.choice([member.proxy, member.store_proxy or member.proxy])
    if rng.random() < 0.5:
        proxy.reset_connections()
    else:
        proxy.blackhole(rng.choice(list(_proxy.Direction)))


@FAULTS.register("configuration_changes")
async def configuration_changes(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Write some versions, one of them without a key."""
    names = list(_gateways.KEYS)
    without = rng.choice(names)
    await fleet.configure(
        {n: k for n, k in _gateways.KEYS.items() if n != without}
    )
    await sleep_fault_duration(rng)
    await fleet.configure()


async def _pause(member: _gateways.Member, rng: random.Random) -> None:
    if not member.process.alive:
        return
    member.process.pause()
    await sleep_fault_duration(rng)
    if member.process.alive:
        member.process.resume()


async def _impair_proxy(proxy: _proxy.Proxy, rng: random.Random) -> None:
    conditions = rng.choice(
        [
            _proxy.Conditions(stall=True),
            _proxy.Conditions(refuse=True),
            _proxy.Conditions(delay_s=0.1),
        ]
    )
    proxy.set_conditions(conditions)
    await sleep_fault_duration(rng)
    proxy.set_conditions(_proxy.Conditions())


async def _ignore_errors(
    call: collections.abc.Coroutine[object, object, None],
) -> None:
    """Tell a worker something, if it lives."""
    try:
        async with asyncio.timeout(1.0):
            await call
    except Exception as error:  # noqa: BLE001
        print(f"not told: {type(error).__name__}", file=sys.stderr)


async def _apply_faults(
    fleet: _gateways.Fleet,
    rng: random.Random,
    counts: "collections.Counter[str]",
) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_S))
        name = rng.choice(FAULTS.names())
        counts[name] += 1
        await FAULTS.get(name)(fleet, rng)


async def _recover(
    fleet: _gateways.Fleet, callers: _gateway_load.Callers
) -> None:
    """Mend everything and wait until every route is served again."""
    await fleet.set_store_faults()
    for member in fleet.members:
        for proxy in (member.proxy, member.store_proxy):
            if proxy is not None:
                proxy.set_conditions(_proxy.Conditions())
                proxy.reset_connections()
        if member.process.alive:
            member.process.resume()
        await restart(member)
    for worker in fleet.workers:
        await _ignore_errors(fleet.set_worker_faults(worker))
    await fleet.configure()
    for gateway in fleet.gateways:
        # One that was leaving ends only now.
        await fleet.wait_ready(gateway, restart_ended=True)
    for route in ("once", "read", "chat", "tell"):
        await _served_again(callers, route)


async def _served_again(callers: _gateway_load.Callers, route: str) -> None:
    successes = 0

    async def served() -> bool:
        nonlocal successes
        successes = (
            successes + 1 if (await callers.ask(route)).status == 200 else 0
        )
        return successes >= RECOVERED_ANSWERS

    await _waits.eventually(served, f"{route} is served again")


async def soak(
    seed: int,
    duration_s: float,
    folder: pathlib.Path,
    size: _gateways.FleetSize | None = None,
) -> list[str]:
    """Run a fleet under faults; return what was broken."""
    rng = random.Random(seed)
    counts: collections.Counter[str] = collections.Counter()
    async with _gateways.Fleet(size or _gateways.FleetSize(), folder) as fleet:
        callers = _gateway_load.Callers(fleet, random.Random(seed + 1))
        tasks = [asyncio.create_task(callers.load(LOAD_PER_S))]
        tasks += [
            asyncio.create_task(
                _apply_faults(fleet, random.Random(rng.random()), counts)
            )
            for _ in range(FAULT_SOURCES)
        ]
        await asyncio.sleep(duration_s)
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        problems = [
            f"a source of faults ended: {each!r}"
            for each in ended
            if not isinstance(each, asyncio.CancelledError)
        ]
        await callers.settle()
        try:
            await _recover(fleet, callers)
        except TimeoutError as error:
            problems.append(str(error))
        await asyncio.sleep(SETTLE_S)
        problems += _gateway_invariants.violations(folder, callers.outcomes)
    statuses = collections.Counter(each.status for each in callers.outcomes)
    print(f"seed {seed}: {dict(counts)}, answers {dict(statuses)}")
    return problems


app = cyclopts.App()


@app.default
def main(
    *,
    seed: int = 1,
    duration_s: float = 60.0,
    gateways: int = 2,
    folder: pathlib.Path | None = None,
) -> None:
    """Run one seed; the folder keeps logs and journals."""
    chosen = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    chosen.mkdir(parents=True, exist_ok=True)
    size = _gateways.FleetSize(gateways=gateways)
    problems = uvloop.run(soak(seed, duration_s, chosen, size))
    for problem in problems:
        print(f"broken: {problem}")
    print(f"logs in {chosen}")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    app()
