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

from . import _gateway_load
from . import _gateway_promises
from . import _gateways
from . import _proxy
from . import _waits

#: Longest time that a fault lasts, in seconds.
LONGEST_S = 4.0
#: Longest pause between two faults of one source, in seconds.
PAUSE_S = 2.0
#: Sources of faults, so that faults overlap.
SOURCES = 3
#: Requests a second.
LOAD_PER_S = 25.0
#: Answers in a row that show that a route works again.
RECOVERED = 3
#: Time for what was held back to arrive, in seconds.
SETTLE_S = 3.0

Fault = collections.abc.Callable[
    [_gateways.Fleet, random.Random], collections.abc.Awaitable[None]
]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


async def last(dice: random.Random) -> None:
    """Let a fault last for a while."""
    await asyncio.sleep(dice.uniform(0.2, LONGEST_S))


async def restart(member: _gateways.Member) -> None:
    """Start a process that ended, unless another fault did."""
    if not member.process.alive:
        member.process.start()


@FAULTS.register("kill_gateway")
async def kill_gateway(fleet: _gateways.Fleet, dice: random.Random) -> None:
    """Kill a gateway and start it again."""
    gateway = dice.choice(fleet.gateways)
    gateway.process.kill()
    await last(dice)
    await restart(gateway)


@FAULTS.register("terminate_gateway")
async def terminate_gateway(
    fleet: _gateways.Fleet, dice: random.Random
) -> None:
    """Ask a gateway to leave, and start it again once it has."""
    gateway = dice.choice(fleet.gateways)
    if gateway.process.alive:
        gateway.process.terminate()

    async def ended() -> bool:
        return not gateway.process.alive

    await _waits.eventually(ended, f"{gateway.name} leaves")
    await restart(gateway)


@FAULTS.register("pause_gateway")
async def pause_gateway(fleet: _gateways.Fleet, dice: random.Random) -> None:
    """Pause a gateway."""
    await _pause(dice.choice(fleet.gateways), dice)


@FAULTS.register("kill_worker")
async def kill_worker(fleet: _gateways.Fleet, dice: random.Random) -> None:
    """Crash a worker and start it again under its id."""
    worker = dice.choice(fleet.workers)
    worker.process.kill()
    await last(dice)
    await restart(worker)


@FAULTS.register("pause_worker")
async def pause_worker(fleet: _gateways.Fleet, dice: random.Random) -> None:
    """Pause a worker."""
    await _pause(dice.choice(fleet.workers), dice)


@FAULTS.register("worker_misbehaves")
async def worker_misbehaves(
    fleet: _gateways.Fleet, dice: random.Random
) -> None:
    """Let a worker lose, tear, repeat or refuse answers."""
    worker = dice.choice(fleet.workers)
    name = dice.choice(
        ["lose_share", "full_share", "tear_share", "fail_share", "twice_share"]
    )
    if not worker.process.alive:
        return
    await _quietly(fleet.behave(worker, **{name: dice.uniform(0.2, 0.9)}))
    await last(dice)
    await _quietly(fleet.behave(worker))


@FAULTS.register("worker_leaves")
async def worker_leaves(fleet: _gateways.Fleet, dice: random.Random) -> None:
    """Let a worker announce that it leaves, for a while."""
    worker = dice.choice(fleet.workers)
    await _quietly(fleet.behave(worker, leaving=True))
    await last(dice)
    await _quietly(fleet.behave(worker))


@FAULTS.register("store_fails")
async def store_fails(fleet: _gateways.Fleet, dice: random.Random) -> None:
    """Let the store refuse, stay silent, lose answers, lag or forget."""
    faults: dict[str, object] = dice.choice(
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
    await fleet.store_fault(**faults)
    await last(dice)
    await fleet.store_fault()


@FAULTS.register("gateway_loses_store")
async def gateway_loses_store(
    fleet: _gateways.Fleet, dice: random.Random
) -> None:
    """Cut one gateway off from the store."""
    proxy = dice.choice(fleet.gateways).to_store
    assert proxy is not None
    await _weather(proxy, dice)


@FAULTS.register("worker_cut_off")
async def worker_cut_off(fleet: _gateways.Fleet, dice: random.Random) -> None:
    """Stall, delay or refuse what goes to a worker."""
    await _weather(dice.choice(fleet.workers).proxy, dice)


@FAULTS.register("connections_go")
async def connections_go(fleet: _gateways.Fleet, dice: random.Random) -> None:
    """Reset the open connections of a process, or lose one way of them."""
    member = dice.choice([*fleet.gateways, *fleet.workers])
    proxy = dice.choice([member.proxy, member.to_store or member.proxy])
    if dice.random() < 0.5:
        proxy.cut()
    else:
        proxy.hush(dice.choice(list(_proxy.Way)))


@FAULTS.register("configuration_changes")
async def configuration_changes(
    fleet: _gateways.Fleet, dice: random.Random
) -> None:
    """Write some versions, one of them without a key."""
    names = list(_gateways.KEYS)
    without = dice.choice(names)
    await fleet.configure(
        {n: k for n, k in _gateways.KEYS.items() if n != without}
    )
    await last(dice)
    await fleet.configure()


async def _pause(member: _gateways.Member, dice: random.Random) -> None:
    if not member.process.alive:
        return
    member.process.pause()
    await last(dice)
    if member.process.alive:
        member.process.resume()


async def _weather(proxy: _proxy.Proxy, dice: random.Random) -> None:
    weather = dice.choice(
        [
            _proxy.Weather(stall=True),
            _proxy.Weather(refuse=True),
            _proxy.Weather(delay_s=0.1),
        ]
    )
    proxy.set_weather(weather)
    await last(dice)
    proxy.set_weather(_proxy.Weather())


async def _quietly(
    call: collections.abc.Coroutine[object, object, None],
) -> None:
    """Tell a worker something, if it lives."""
    try:
        async with asyncio.timeout(1.0):
            await call
    except Exception as error:  # noqa: BLE001
        print(f"not told: {type(error).__name__}", file=sys.stderr)


async def _faults(
    fleet: _gateways.Fleet,
    dice: random.Random,
    counts: "collections.Counter[str]",
) -> None:
    while True:
        await asyncio.sleep(dice.uniform(0.0, PAUSE_S))
        name = dice.choice(FAULTS.names())
        counts[name] += 1
        await FAULTS.get(name)(fleet, dice)


async def _recover(
    fleet: _gateways.Fleet, callers: _gateway_load.Callers
) -> None:
    """Mend everything and wait until every route is served again."""
    await fleet.store_fault()
    for member in fleet.members:
        for proxy in (member.proxy, member.to_store):
            if proxy is not None:
                proxy.set_weather(_proxy.Weather())
                proxy.cut()
        if member.process.alive:
            member.process.resume()
        await restart(member)
    for worker in fleet.workers:
        await _quietly(fleet.behave(worker))
    await fleet.configure()
    for gateway in fleet.gateways:
        # One that was leaving ends only now.
        await fleet.wait_ready(gateway, restart_ended=True)
    for route in ("once", "read", "chat", "tell"):
        await _served_again(callers, route)


async def _served_again(callers: _gateway_load.Callers, route: str) -> None:
    row = 0

    async def served() -> bool:
        nonlocal row
        row = row + 1 if (await callers.ask(route)).status == 200 else 0
        return row >= RECOVERED

    await _waits.eventually(served, f"{route} is served again")


async def soak(
    seed: int,
    duration_s: float,
    folder: pathlib.Path,
    shape: _gateways.Shape | None = None,
) -> list[str]:
    """Run a fleet under faults; return what was broken."""
    dice = random.Random(seed)
    counts: collections.Counter[str] = collections.Counter()
    async with _gateways.Fleet(shape or _gateways.Shape(), folder) as fleet:
        callers = _gateway_load.Callers(fleet, random.Random(seed + 1))
        tasks = [asyncio.create_task(callers.load(LOAD_PER_S))]
        tasks += [
            asyncio.create_task(
                _faults(fleet, random.Random(dice.random()), counts)
            )
            for _ in range(SOURCES)
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
        problems += _gateway_promises.broken(folder, callers.told)
    statuses = collections.Counter(each.status for each in callers.told)
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
    kept = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    kept.mkdir(parents=True, exist_ok=True)
    shape = _gateways.Shape(gateways=gateways)
    problems = uvloop.run(soak(seed, duration_s, kept, shape))
    for problem in problems:
        print(f"broken: {problem}")
    print(f"logs in {kept}")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    app()
