"""The faults that a soak of gateways injects."""

import asyncio
import collections.abc
import contextlib
import random
import sys

from bilberrydeal import registry

from . import _gateway_configuration
from . import _gateway_records
from . import _gateways
from . import _proxy
from . import _waits

#: Maximum duration of a fault, in seconds.
MAX_FAULT_S = 4.0
#: How long all gateways are away when they are killed at once, in seconds.
ALL_KILLED_S = (0.1, 1.0)
#: Greatest age of the copy that the store comes back from, in seconds.
MAX_COPY_AGE_S = 5.0
#: Longest time that the store is away before it comes back, in seconds.
MAX_AWAY_S = 1.5
#: Limits that workers name, in requests a second, and for how long, in
#: seconds.
LIMITS_PER_S = (0.3, 6.0)
LIMITED_S = (6.0, 12.0)
#: How often all workers of a kind want fewer requests at once.
ALL_ALIKE_SHARE = 0.3
#: How often workers that crashed are started again under a crashing request,
#: and after how many seconds.
CRASHED_WORKER_STARTS = 7
CRASHED_WORKER_AWAY_S = (1.0, 2.5)

#: Faults that are injected only by name, so that seeds draw what they drew.
NAMED_ONLY = frozenset(["hang_up_gateway", "kill_all_gateways"])

Fault = collections.abc.Callable[
    [_gateways.Fleet, random.Random], collections.abc.Awaitable[None]
]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


async def sleep_fault_duration(rng: random.Random) -> None:
    """Sleep for the random duration of a fault."""
    await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))


async def restart(member: _gateways.Member) -> None:
    """Restart an exited process, unless another fault already has."""
    if not member.process.alive:
        member.process.start()


@FAULTS.register("kill_gateway")
async def kill_gateway(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Kill a gateway and restart it."""
    await _kill(fleet, rng.choice(fleet.gateways), rng)


@FAULTS.register("kill_all_gateways")
async def kill_all_gateways(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Kill all gateways at the same moment and start them again."""
    with contextlib.ExitStack() as stack:
        for gateway in fleet.gateways:
            stack.enter_context(fleet.disturbed(gateway))
        for gateway in fleet.gateways:
            gateway.process.kill()
        await asyncio.sleep(rng.uniform(*ALL_KILLED_S))
        for gateway in fleet.gateways:
            await restart(gateway)


@FAULTS.register("terminate_gateway")
async def terminate_gateway(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Terminate a gateway gracefully and restart it."""
    gateway = rng.choice(fleet.gateways)

    async def ended() -> bool:
        return not gateway.process.alive

    with fleet.disturbed(gateway):
        if gateway.process.alive:
            gateway.process.terminate()
        await _waits.eventually(ended, f"{gateway.name} to exit")
        await restart(gateway)


@FAULTS.register("pause_gateway")
async def pause_gateway(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Pause a gateway."""
    await _pause(fleet, rng.choice(fleet.gateways), rng)


@FAULTS.register("hang_up_gateway")
async def hang_up_gateway(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Tell a gateway that its settings have changed."""
    gateway = rng.choice(fleet.gateways)
    if gateway.process.alive:
        gateway.process.hang_up()


@FAULTS.register("kill_worker")
async def kill_worker(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Kill a worker and restart it under the same id."""
    await _kill(fleet, rng.choice(fleet.workers), rng)


@FAULTS.register("pause_worker")
async def pause_worker(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Pause a worker."""
    await _pause(fleet, rng.choice(fleet.workers), rng)


@FAULTS.register("worker_misbehaves")
async def worker_misbehaves(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Make a worker lose, truncate, repeat or refuse answers."""
    worker = rng.choice(fleet.workers)
    name = rng.choice(
        ["lose_share", "full_share", "tear_share", "fail_share", "twice_share"]
    )
    if not worker.process.alive:
        return
    await ignore_errors(
        fleet.set_worker_faults(worker, **{name: rng.uniform(0.2, 0.9)})
    )
    await sleep_fault_duration(rng)
    await ignore_errors(fleet.set_worker_faults(worker))


@FAULTS.register("worker_leaves")
async def worker_leaves(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Make a worker announce for a while that it is leaving."""
    worker = rng.choice(fleet.workers)
    await ignore_errors(fleet.set_worker_faults(worker, leaving=True))
    await sleep_fault_duration(rng)
    await ignore_errors(fleet.set_worker_faults(worker))


@FAULTS.register("worker_limits")
async def worker_limits(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Make one worker, or all of a kind, name a limit of requests."""
    worker = rng.choice(fleet.workers)
    limited = _alike(fleet, worker, rng)
    limit_per_s = rng.uniform(*LIMITS_PER_S)
    for each in limited:
        await ignore_errors(fleet.set_worker_limit(each, limit_per_s))
    await asyncio.sleep(rng.uniform(*LIMITED_S))
    for each in limited:
        await ignore_errors(fleet.set_worker_limit(each, None))


@FAULTS.register("worker_says_it_leaves")
async def worker_says_it_leaves(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Let a worker say that it leaves, then start it anew."""
    worker = rng.choice(fleet.workers)
    await ignore_errors(fleet.let_worker_leave(worker))
    await sleep_fault_duration(rng)
    worker.process.kill()
    await restart(worker)


@FAULTS.register("worker_wants_no_requests")
async def worker_wants_no_requests(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Let a worker, or all of a kind, turn requests away for some time."""
    worker = rng.choice(fleet.workers)
    pause_s = rng.uniform(1.0, MAX_FAULT_S)
    for each in _alike(fleet, worker, rng):
        await ignore_errors(fleet.pause_requests(each, pause_s))
    await asyncio.sleep(pause_s)


@FAULTS.register("crashing_request")
async def crashing_request(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Send a request again and again that crashes the workers running it."""
    request = _gateway_records.CrashingRequest(
        rng.choice(["once", "read", "chat", "tell"]),
        rng.choice(list(_gateway_configuration.KEYS)),
        f"bad{rng.getrandbits(32):08x}",
    )
    fleet.crashing.append(request)
    try:
        for _ in range(CRASHED_WORKER_STARTS):
            await asyncio.sleep(rng.uniform(*CRASHED_WORKER_AWAY_S))
            for worker in fleet.workers:
                await restart(worker)
    finally:
        fleet.crashing.remove(request)


@FAULTS.register("store_fails")
async def store_fails(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Make the store refuse, hang, lose answers, lag or lose data."""
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


@FAULTS.register("store_restored")
async def store_restored(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Make the store come back from an older copy, at times twice."""
    for _ in range(rng.choice([1, 1, 2])):
        await fleet.restore_store(
            age_s=rng.uniform(0.5, MAX_COPY_AGE_S),
            away_s=rng.uniform(0.0, MAX_AWAY_S),
        )


@FAULTS.register("store_restored_at_takeover")
async def store_restored_at_takeover(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Restore the store while a gateway, perhaps the holder, is paused."""
    gateway = rng.choice(fleet.gateways)
    with fleet.disturbed(gateway):
        if gateway.process.alive:
            gateway.process.pause()
        await sleep_fault_duration(rng)
        await store_restored(fleet, rng)
        await sleep_fault_duration(rng)
        if gateway.process.alive:
            gateway.process.resume()


@FAULTS.register("gateway_loses_store")
async def gateway_loses_store(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Impair the connection of one gateway to the store."""
    proxy = rng.choice(fleet.gateways).store_proxy
    assert proxy is not None
    await _impair_proxy(proxy, rng)


@FAULTS.register("worker_cut_off")
async def worker_cut_off(fleet: _gateways.Fleet, rng: random.Random) -> None:
    """Stall, delay or refuse connections to a worker."""
    worker = rng.choice(fleet.workers)
    with fleet.disturbed(worker):
        await _impair_proxy(worker.proxy, rng)


@FAULTS.register("connections_go")
async def reset_or_blackhole(
    fleet: _gateways.Fleet, rng: random.Random
) -> None:
    """Reset a process's connections or drop one direction of them."""
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
    """Write a configuration without one of the keys, then restore it."""
    names = list(_gateway_configuration.KEYS)
    without = rng.choice(names)
    await fleet.configure(
        {n: k for n, k in _gateway_configuration.KEYS.items() if n != without}
    )
    await sleep_fault_duration(rng)
    await fleet.configure()


def _alike(
    fleet: _gateways.Fleet, worker: _gateways.Member, rng: random.Random
) -> list[_gateways.Member]:
    """Return a worker, or at times all of its kind."""
    if rng.random() >= ALL_ALIKE_SHARE:
        return [worker]
    return [each for each in fleet.workers if each.kind == worker.kind]


async def _kill(
    fleet: _gateways.Fleet, member: _gateways.Member, rng: random.Random
) -> None:
    with fleet.disturbed(member):
        member.process.kill()
        await sleep_fault_duration(rng)
        await restart(member)


async def _pause(
    fleet: _gateways.Fleet, member: _gateways.Member, rng: random.Random
) -> None:
    if not member.process.alive:
        return
    with fleet.disturbed(member):
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


async def ignore_errors(
    call: collections.abc.Coroutine[object, object, None],
) -> None:
    """Await a call to a worker; print an error instead of raising it."""
    try:
        async with asyncio.timeout(1.0):
            await call
    except Exception as error:  # noqa: BLE001
        print(f"worker call failed: {type(error).__name__}", file=sys.stderr)


def default_faults() -> list[str]:
    """Return the faults of a soak that names none."""
    return [name for name in FAULTS.names() if name not in NAMED_ONLY]
