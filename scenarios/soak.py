"""Injects random faults into a fleet under load and checks invariants.

Run as ``python -m scenarios.soak --seed 1 --duration-s 600``; exits 1 when an
invariant was violated or the fleet did not recover.
"""

import asyncio
import collections
import collections.abc
import pathlib
import random
import sys
import tempfile
import time

import cyclopts
import uvloop

from bilberrydeal import ports
from bilberrydeal import registry
from standins import platform

from . import _addresses
from . import _authority
from . import _composition
from . import _evidence
from . import _fleet
from . import _load
from . import _promises
from . import _proxy
from . import _waits

COMPOSITION = _composition.Composition(
    entries=2, engines=4, plain_services=1, planning_enabled=True
)
#: Maximum duration of a fault, in seconds.
MAX_FAULT_S = 6.0
#: Maximum pause between two faults of one source, in seconds.
MAX_PAUSE_S = 4.0
#: Concurrent sources of faults, so that faults overlap.
FAULT_SOURCES = 2
#: Time for late retries once reports have caught up, in seconds.
RECOVERY_S = 5.0

Fault = collections.abc.Callable[
    [_fleet.Fleet, random.Random], collections.abc.Awaitable[None]
]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


async def sleep_fault_duration(rng: random.Random) -> None:
    """Sleep for the random duration of a fault."""
    await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))


@FAULTS.register("kill_process")
async def kill_process(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Kill an entry or an agent and restart it."""
    process = rng.choice(fleet.hosts).process
    process.kill()
    await sleep_fault_duration(rng)
    if not process.alive:
        process.start()


@FAULTS.register("kill_endpoint")
async def kill_endpoint(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Kill an engine or a plain service and restart it."""
    process = rng.choice([*fleet.engines, *fleet.plain_services]).endpoint
    assert process is not None
    process.kill()
    await sleep_fault_duration(rng)
    if not process.alive:
        process.start()


@FAULTS.register("pause_process")
async def pause_process(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Pause an entry or an agent."""
    process = rng.choice(fleet.hosts).process
    if process.alive:
        process.pause()
        await sleep_fault_duration(rng)
        process.resume()


@FAULTS.register("terminate_process")
async def terminate_process(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Terminate an entry or an agent gracefully and restart it."""
    process = rng.choice(fleet.hosts).process
    if not process.alive:
        return
    process.terminate()

    async def ended() -> bool:
        return not process.alive

    await _waits.eventually(ended, f"{process.name} to exit")
    process.start()


@FAULTS.register("hush_host")
async def blackhole_host(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Drop one direction of all open connections to a host."""
    rng.choice(fleet.hosts).front_proxy.blackhole(
        rng.choice(list(_proxy.Direction))
    )


@FAULTS.register("cut_host")
async def reset_host_connections(
    fleet: _fleet.Fleet, rng: random.Random
) -> None:
    """Reset all open connections to a host."""
    rng.choice(fleet.hosts).front_proxy.reset_connections()


@FAULTS.register("delay_host")
async def delay_host(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Delay all traffic to a host."""
    front = rng.choice(fleet.hosts).front_proxy
    front.set_conditions(_proxy.Conditions(delay_s=rng.uniform(0.001, 0.1)))
    await sleep_fault_duration(rng)
    front.set_conditions(_proxy.Conditions())


@FAULTS.register("stall_host")
async def stall_host(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Stall all traffic to a host."""
    front = rng.choice(fleet.hosts).front_proxy
    front.set_conditions(_proxy.Conditions(stall=True))
    await sleep_fault_duration(rng)
    front.set_conditions(_proxy.Conditions())


@FAULTS.register("hold_calls")
async def hold_calls(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Hold purchases or usage reports of an entry, then release them."""
    store = rng.choice(fleet.entries).store_proxy
    store.hold_requests(
        rng.choice((_fleet.PURCHASE_CALLS, _fleet.USAGE_REPORT_CALLS))
    )
    await sleep_fault_duration(rng)
    await sleep_fault_duration(rng)
    store.release()


@FAULTS.register("cut_from_store")
async def partition_from_store(
    fleet: _fleet.Fleet, rng: random.Random
) -> None:
    """Partition one host from the platform."""
    store = rng.choice(fleet.hosts).store_proxy
    store.set_conditions(_proxy.Conditions(refuse=True))
    store.reset_connections()
    await sleep_fault_duration(rng)
    store.set_conditions(_proxy.Conditions())


@FAULTS.register("break_store")
async def fail_platform(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Make the platform fail for all hosts."""
    fault = rng.choice(
        (
            platform.Fault(down=True),
            platform.Fault(silent=True),
            platform.Fault(slow_s=0.6),
            platform.Fault(lose_answers=platform.ALL),
        )
    )
    await fleet.set_platform_fault(fault)
    await sleep_fault_duration(rng)
    await fleet.set_platform_fault(platform.Fault())


@FAULTS.register("lose_caller_answer")
async def lose_caller_answer(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Lose the next answers of an entry to its callers."""
    front = rng.choice(fleet.entries).front_proxy
    front.lose_answers(_addresses.HTTP_PORT, rng.randint(1, 5))


@FAULTS.register("change_role")
async def change_role(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Commit an order for an engine, as a planner would."""
    host = rng.choice(fleet.engines)
    await fleet.commit_order(host, rng.choice(list(ports.EngineRole)))


@FAULTS.register("change_key")
async def change_key(fleet: _fleet.Fleet, rng: random.Random) -> None:
    """Withdraw a key and issue another."""
    organisation = rng.choice(_composition.ORGANISATIONS)
    old = fleet.keys[organisation].key_id
    await fleet.issue_key(organisation)
    await fleet.operator(0).withdraw_key(old)


async def _apply_faults(
    fleet: _fleet.Fleet,
    rng: random.Random,
    end_s: float,
    counts: collections.Counter[str],
) -> None:
    """Apply one fault after another until ``end_s``."""
    while time.monotonic() < end_s:
        name = rng.choice(FAULTS.names())
        counts[name] += 1
        print(f"{end_s - time.monotonic():7.1f} s left: {name}", flush=True)
        try:
            await FAULTS.get(name)(fleet, rng)
        except _fleet.EXPECTED_ERRORS as error:
            counts[f"{name} not applied"] += 1
            print(f"    not applied: {error!r}")
        await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_S))


async def _end_faults(fleet: _fleet.Fleet) -> None:
    """End all faults and wait until every entry serves requests."""
    await fleet.set_platform_fault(platform.Fault())
    for host in fleet.hosts:
        host.front_proxy.set_conditions(_proxy.Conditions())
        host.store_proxy.set_conditions(_proxy.Conditions())
        host.store_proxy.release()
        for process in host.processes:
            if process.alive:
                process.resume()
            else:
                process.start()
    for entry in range(len(fleet.entries)):
        await fleet.wait_until_served(entry)


async def _reports_caught_up(fleet: _fleet.Fleet) -> float:
    """Wait for usage reports of the last windows with answers.

    Windows are reported in order, so those delayed by outages come first.
    Returns the time it took, in seconds.
    """
    began_s = time.time()
    outcomes = fleet.evidence().outcomes
    last_s = max(one.ended_s for one in outcomes if one.answered)

    async def caught_up() -> bool:
        reports = fleet.evidence().reports()
        newest_s = max(one.report.window_start_s for one in reports)
        return newest_s > last_s - 2 * _composition.WINDOW_S

    await _waits.eventually(caught_up, "reports of the last answers")
    return time.time() - began_s


async def _soak(seed: int, duration_s: float, folder: pathlib.Path) -> int:
    counts: collections.Counter[str] = collections.Counter()
    async with _fleet.Fleet(COMPOSITION, folder) as fleet:
        load = _load.Load(fleet, seed)
        end_s = time.monotonic() + duration_s
        await asyncio.gather(
            *(
                _apply_faults(
                    fleet, random.Random(f"{seed} {n}"), end_s, counts
                )
                for n in range(FAULT_SOURCES)
            )
        )
        await _end_faults(fleet)
        await load.end()
        catch_up_s = await _reports_caught_up(fleet)
        print(f"reports caught up in {catch_up_s:.1f} s")
        await asyncio.sleep(RECOVERY_S)
        evidence = fleet.evidence()
    _print_summary(evidence, counts, duration_s)
    found = _promises.broken(evidence)
    for sentence in found:
        print(f"BROKEN {sentence}")
    print(f"seed {seed}: {len(found)} breaks")
    return 1 if found else 0


def _print_summary(
    evidence: _evidence.Evidence,
    counts: collections.Counter[str],
    duration_s: float,
) -> None:
    """Print the faults applied and the outcomes of requests."""
    for name, count in sorted(counts.items()):
        print(f"fault {name}: {count}")
    kinds = collections.Counter(
        "answered"
        if outcome.answered
        else outcome.code or f"lost, status {outcome.status}"
        for outcome in evidence.outcomes
    )
    for kind, count in kinds.most_common():
        print(f"outcome {kind}: {count}")
    print(f"goodput: {kinds['answered'] / duration_s:.1f} answers a second")
    reports = collections.Counter(
        report.outcome for report in evidence.reports()
    )
    for kind, count in reports.items():
        print(f"usage reports {kind}: {count}")
    print(f"calls that came too late: {_authority.count_late_calls(evidence)}")
    billed = _promises.billed_calls(evidence).total()
    ran = len(evidence.generations()) + len(evidence.calls())
    print(f"calls billed: {billed} of {ran} that ran")


APP = cyclopts.App(result_action="return_value")


@APP.default
def soak(
    *,
    seed: int = 1,
    duration_s: float = 600.0,
    folder: pathlib.Path | None = None,
) -> int:
    """Run a soak test; logs and journals are written to ``folder``."""
    with tempfile.TemporaryDirectory() as temporary:
        chosen = folder or pathlib.Path(temporary)
        chosen.mkdir(parents=True, exist_ok=True)
        return uvloop.run(_soak(seed, duration_s, chosen))


def main() -> int:
    """Run the command line."""
    result = APP()
    return result if isinstance(result, int) else 1


if __name__ == "__main__":
    sys.exit(main())
