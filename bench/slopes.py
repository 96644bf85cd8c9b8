"""How state, messages and processor time grow: ``python -m bench.slopes``.

Each slope is measured at four sizes or more and continued in a straight
line to the design size. Other modules register their own in
:data:`SLOPES`; processor time is the least of some runs.
"""

import argparse
import collections.abc
import gc
import pathlib
import statistics
import time
import tracemalloc

import attrs
import msgspec

from bilberrydeal import billing
from bilberrydeal import configuration
from bilberrydeal import keys
from bilberrydeal import link
from bilberrydeal import membership
from bilberrydeal import peers
from bilberrydeal import ports
from bilberrydeal import registry
from bilberrydeal import store
from bilberrydeal import systems
from bilberrydeal.systems import fleet
from bilberrydeal.systems import limits
from bilberrydeal.systems import roles
from bilberrydeal.systems import subsets

from . import fleet_subsets

#: Runs of which the fastest counts.
RUNS = 5
ORGANISATIONS = (8, 80, 800, 5400)
#: Where results go.
OUT = pathlib.Path("out")


@attrs.frozen
class Point:
    """One measured size."""

    size: float
    value: float


@attrs.frozen
class Slope:
    """One measured slope."""

    #: What was measured, with its unit.
    name: str
    #: What the size counts.
    per: str
    points: tuple[Point, ...]
    #: The design size.
    design: float

    def fitted(self) -> tuple[float, float]:
        """Return the slope and the value at no size, by least squares."""
        sizes = [point.size for point in self.points]
        values = [point.value for point in self.points]
        fit = statistics.linear_regression(sizes, values)
        return fit.slope, fit.intercept

    def projected(self) -> float:
        """Return the value at the design size."""
        slope, intercept = self.fitted()
        return intercept + slope * self.design


Measure = collections.abc.Callable[[], Slope]
#: Slopes by name.
SLOPES: registry.Registry[Measure] = registry.Registry("slope")


def cpu_s(work: collections.abc.Callable[[], object]) -> float:
    """Return the processor time of the fastest of some runs."""
    times = []
    for _ in range(RUNS):
        gc.collect()
        begin_s = time.process_time()
        work()
        times.append(time.process_time() - begin_s)
    return min(times)


def memory_bytes(build: collections.abc.Callable[[], object]) -> float:
    """Return the bytes that a built object keeps."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def over(
    name: str,
    per: str,
    sizes: collections.abc.Sequence[int],
    measure: collections.abc.Callable[[int], float],
    design: float | None = None,
) -> Slope:
    return Slope(
        name=name,
        per=per,
        points=tuple(Point(size, measure(size)) for size in sizes),
        design=sizes[-1] if design is None else design,
    )


# Organisations, keys and revisions.


def _configuration(organisations: int) -> configuration.Configuration:
    """Return a configuration with two keys for each organisation."""
    named = [f"organisation-{i:05d}" for i in range(organisations)]
    records = [
        configuration.KeyRecord(f"key{i}-{name}", name, f"{i:032x}{name}")
        for name in named
        for i in range(2)
    ]
    return configuration.Configuration(
        revision=organisations * 3,
        organisations={
            name: configuration.Organisation(
                name, 1.0 + i, 10.0, 2000.0, 20, revision=i
            )
            for i, name in enumerate(named)
        },
        keys={record.key_hash: record for record in records},
    )


@SLOPES.register("configuration memory")
def configuration_memory() -> Slope:
    """Measure what an entry keeps of organisations and keys."""
    return over(
        "configuration in memory, bytes",
        "organisations",
        ORGANISATIONS,
        lambda size: memory_bytes(lambda: _configuration(size)),
    )


@SLOPES.register("configuration snapshot")
def configuration_snapshot() -> Slope:
    """Measure the object that a starting entry reads."""
    return over(
        "configuration snapshot, bytes",
        "organisations",
        ORGANISATIONS,
        lambda size: len(store.encode(_configuration(size))),
    )


@SLOPES.register("configuration load")
def configuration_load() -> Slope:
    """Measure the processor time of reading a snapshot."""

    def measure(size: int) -> float:
        data = store.encode(_configuration(size))
        kind = configuration.Configuration
        return cpu_s(lambda: store.decode(data, kind))

    return over("snapshot decoded, s", "organisations", ORGANISATIONS, measure)


@SLOPES.register("revision applied")
def revision_applied() -> Slope:
    """Measure the processor time of one change."""

    def measure(size: int) -> float:
        current = _configuration(size)
        organisation = configuration.Organisation("new")
        change = configuration.SetOrganisation(organisation, 0)
        return cpu_s(lambda: current.apply(change))

    return over(
        "one change applied, s", "organisations", ORGANISATIONS, measure
    )


@SLOPES.register("revision rows")
def revision_rows() -> Slope:
    """Measure the rows that a follower reads for some changes."""

    def measure(size: int) -> float:
        change = configuration.SetOrganisation(
            configuration.Organisation("organisation-00001", 2.0, 10.0), 17
        )
        return float(size * len(configuration.encode_change(change)))

    return over(
        "changes as rows, bytes", "changes", (1, 10, 100, 1000), measure, 2700
    )


# Usage.


def _figures(organisations: int) -> dict[str, ports.OrganisationFigures]:
    return {
        f"organisation-{i:05d}": ports.OrganisationFigures(
            123_456, 45_678, 98_765, 432
        )
        for i in range(organisations)
    }


@SLOPES.register("seal row")
def seal_row() -> Slope:
    """Measure the row that seals one window."""

    def measure(size: int) -> float:
        row = billing.SealRow(29_000_000, _figures(size), (), 1e9, 7, "n" * 32)
        return len(store.encode(row))

    return over("seal row, bytes", "organisations", ORGANISATIONS, measure)


@SLOPES.register("usage row")
def usage_row() -> Slope:
    """Measure the row that an entry writes at a settlement."""

    def measure(size: int) -> float:
        row = billing.UsageRow(_figures(size), (), "n" * 32)
        return len(store.encode(row))

    return over(
        "usage row of one entry, bytes",
        "busy organisations",
        (8, 40, 200, 1000),
        measure,
        1000,
    )


@SLOPES.register("window sum")
def window_sum() -> Slope:
    """Measure the sealer's time to sum the rows of all entries."""
    row = store.encode(billing.UsageRow(_figures(200), (), "n" * 32))

    def measure(size: int) -> float:
        def add() -> None:
            total: dict[str, int] = {}
            for _ in range(size):
                figures = store.decode(row, billing.UsageRow).figures
                for name, one in figures.items():
                    total[name] = total.get(name, 0) + one.output_tokens

        return cpu_s(add)

    return over(
        "rows of 200 organisations decoded and summed, s",
        "entries",
        (3, 30, 137, 410),
        measure,
    )


# Members and the exchange.


def _agent(number: int) -> membership.AgentMember:
    return membership.AgentMember(
        endpoint_id=f"endpoint-{number:05d}",
        incarnation="h00001.66a1b2c3.1f",
        host_id=f"host-{number:05d}",
        address="10.11.12.13",
        control_port=7300,
        failure_domain="domain3",
        service="model-17",
        role="both",
        region="region2",
        nonce="n" * 32,
    )


@SLOPES.register("members memory")
def members_memory() -> Slope:
    """Measure what an entry keeps of all agents."""
    return over(
        "agents' rows in memory, bytes",
        "endpoints",
        (5, 50, 500, 4000),
        lambda size: memory_bytes(lambda: [_agent(i) for i in range(size)]),
    )


@SLOPES.register("members decode")
def members_decode() -> Slope:
    """Measure the time to decode rows of agents."""

    def measure(size: int) -> float:
        rows = [store.encode(_agent(i)) for i in range(size)]
        kind = membership.AgentMember
        return cpu_s(lambda: [store.decode(row, kind) for row in rows])

    return over(
        "agents' rows decoded, s", "endpoints", (5, 50, 500, 4000), measure
    )


@SLOPES.register("ask")
def ask_bytes() -> Slope:
    """Measure one question of the exchange by what it reports."""

    def measure(size: int) -> float:
        needs = tuple(
            limits.OrganisationNeed(f"organisation-{i:05d}", 9.5, 900.0, 8, 4)
            for i in range(size)
        )
        ask = peers.Ask(
            sender=peers.Introduction(
                "h00001.66a1b2c3.1f", "10.11.12.13", 7400, "domain3"
            ),
            nonce="n" * 32,
            revision=123_456,
            ages=tuple(
                membership.ShardAge(f"agent/{n:x}/", 3.217) for n in range(17)
            ),
            need=limits.NeedReport("h00001.66a1b2c3.1f", 1234, needs),
        )
        return len(msgspec.msgpack.encode(ask))

    return over(
        "one question of the exchange, bytes",
        "organisations near their limit",
        (0, 5, 20, 40),
        measure,
    )


@SLOPES.register("reply")
def reply_bytes() -> Slope:
    """Measure one answer of the exchange by the changes in it."""
    change = configuration.SetOrganisation(
        configuration.Organisation("organisation-00001", 2.0, 10.0), 17
    )

    def measure(size: int) -> float:
        reply = peers.Reply(
            nonce="n" * 32,
            knowledge=keys.PeerKnowledge(
                "h00001.66a1b2c3.1f", 123_456, 0.31, blind=False
            ),
        )
        one = len(configuration.encode_change(change))
        return len(msgspec.msgpack.encode(reply)) + size * one

    return over(
        "one answer of the exchange, bytes",
        "changes not known",
        (0, 1, 5, 20),
        measure,
        1,
    )


# The link.


@SLOPES.register("heartbeats of an entry")
def heartbeats() -> Slope:
    """Measure the heartbeats both ways over a subset, for one beat each."""
    status = link.EndpointStatus(
        order_version=7,
        role="both",
        service="model-17",
        accepting=True,
        running=12,
        waiting=3,
        queued_prompt_tokens=4567,
        queued_output_tokens=2345,
        kv_used_share=0.51,
    )
    beat = link.encode_frame([link.Heartbeat(123_456, 123_455, status)])
    echo = link.encode_frame([link.Heartbeat(123_456, 123_455)])
    return over(
        "one heartbeat each way on all links, bytes",
        "endpoints in the subset",
        (5, 20, 40, 80),
        lambda size: float(size * (len(beat) + len(echo))),
    )


# Decisions.


def _role_tables(models: int, engines: int) -> systems.Tables:
    tables = systems.Tables()
    windows = tuple(
        roles.DemandWindow(
            5.0 * i, 5.0, 60_000.0 * (2 + i % 3), 120_000.0 * (2 + i % 2)
        )
        for i in range(1, 121)
    )
    for model in range(models):
        name = f"model-{model}"
        tables.of(roles.ModelRates).put(roles.ModelRates(name))
        tables.of(roles.ModelDemand).put(roles.ModelDemand(name, windows))
        for i in range(engines):
            tables.of(roles.RoleEndpoint).put(
                roles.RoleEndpoint(
                    f"{name}-{i}", name, f"domain{i % 7}", roles.Role.BOTH
                )
            )
    return tables


@SLOPES.register("role planner, models")
def role_models() -> Slope:
    """Measure a run of the role planner by models of 174 engines."""

    def measure(size: int) -> float:
        tables = _role_tables(size, 174)
        planner = roles.HorizonRoles(roles.RoleRules())
        return cpu_s(lambda: planner.run(tables, 600.0))

    return over(
        "one run of the role planner, s", "models", (1, 6, 12, 23), measure
    )


@SLOPES.register("role planner, engines")
def role_engines() -> Slope:
    """Measure a run of the role planner by the engines of one model."""

    def measure(size: int) -> float:
        tables = _role_tables(1, size)
        planner = roles.HorizonRoles(roles.RoleRules())
        return cpu_s(lambda: planner.run(tables, 600.0))

    return over(
        "one run for one model, s", "engines", (5, 20, 80, 320), measure, 1071
    )


@SLOPES.register("fleet planner")
def fleet_planner() -> Slope:
    """Measure a run of the fleet planner over 23 services."""

    def measure(size: int) -> float:
        names = tuple(f"model-{i}" for i in range(23))
        domains = tuple(f"domain{i}" for i in range(7))
        rules = fleet.FleetRules(domains, names, most_per_domain=200)
        tables = systems.Tables()
        for i in range(size):
            tables.of(fleet.FleetEndpoint).put(
                fleet.FleetEndpoint(
                    f"e{i}", names[i % 23], domains[i // 23 % 7]
                )
            )
        windows = tuple(
            fleet.LoadWindow(5.0 * i, size / 23 * 0.6) for i in range(1, 121)
        )
        for name in names:
            tables.of(fleet.ServiceLoad).put(fleet.ServiceLoad(name, windows))
        planner = fleet.DomainLossFleet(rules)
        return cpu_s(lambda: planner.run(tables, 600.0))

    return over(
        "one run of the fleet planner, s",
        "endpoints",
        (46, 460, 1840, 4000),
        measure,
    )


@SLOPES.register("subset, whole fleet")
def subset_whole() -> Slope:
    """Measure one choice after a change, over all entries and endpoints."""

    def measure(size: int) -> float:
        entries, endpoints = fleet_subsets.members(
            size, max(3, size * 410 // 4000), 23, 1
        )

        def choose() -> None:
            chooser = subsets.CoveredRendezvous()
            chooser.choose(entries[0], entries, endpoints, 40, 0.0)

        return cpu_s(choose)

    return over(
        "one choice of a subset after a change, s",
        "endpoints, a tenth as many entries",
        (250, 500, 1333, 2666, 4000),
        measure,
    )


@SLOPES.register("subset memory")
def subset_memory() -> Slope:
    """Measure what the chooser keeps of the last choice."""

    def measure(size: int) -> float:
        entries, endpoints = fleet_subsets.members(
            size, max(3, size * 410 // 4000), 23, 1
        )

        def build() -> subsets.CoveredRendezvous:
            chooser = subsets.CoveredRendezvous()
            chooser.choose(entries[0], entries, endpoints, 40, 0.0)
            return chooser

        return memory_bytes(build)

    return over(
        "kept after a choice, bytes",
        "endpoints, a tenth as many entries",
        (250, 500, 1333, 4000),
        measure,
    )


@SLOPES.register("subset, unchanged")
def subset_unchanged() -> Slope:
    """Measure one choice with the members of the last one."""

    def measure(size: int) -> float:
        entries, endpoints = fleet_subsets.members(
            size, max(3, size * 410 // 4000), 23, 1
        )
        chooser = subsets.CoveredRendezvous()
        chooser.choose(entries[0], entries, endpoints, 40, 0.0)
        return cpu_s(
            lambda: chooser.choose(entries[0], entries, endpoints, 40, 0.0)
        )

    return over(
        "one choice of a subset without a change, s",
        "endpoints, a tenth as many entries",
        (250, 500, 1333, 4000),
        measure,
    )


def main() -> None:
    """Print a table of all slopes and write them as JSON."""
    parser = argparse.ArgumentParser(prog="python -m bench.slopes")
    parser.add_argument("names", nargs="*", help="slopes, all if none")
    options = parser.parse_args()
    print("| slope | per | measured | slope | at design size | value |")
    print("| --- | --- | --- | --- | --- | --- |")
    slopes = []
    for name in options.names or SLOPES.names():
        slope = SLOPES.get(name)()
        slopes.append(slope)
        print(_row(slope), flush=True)
    OUT.mkdir(exist_ok=True)
    (OUT / "slopes.json").write_bytes(msgspec.json.encode(slopes))


def _row(slope: Slope) -> str:
    points = ", ".join(f"{p.size:g}: {p.value:.3g}" for p in slope.points)
    gradient, _ = slope.fitted()
    return (
        f"| {slope.name} | {slope.per} | {points} | {gradient:.3g}"
        f" | {slope.design:g} | {slope.projected():.3g} |"
    )


if __name__ == "__main__":
    main()
