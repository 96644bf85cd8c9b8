"""Compares ways to choose subsets: balance, coverage and movement.

The load on an endpoint is the sum over the entries that hold it
of one entry's traffic for its service divided by the endpoints of that
service in the entry's subset.
"""

import collections
import collections.abc
import random
import statistics
import time
import typing

import attrs

from bilberrydeal.systems import subsets

Entries = collections.abc.Sequence[subsets.EntryMember]
Endpoints = collections.abc.Sequence[subsets.EndpointMember]
Assignment = collections.abc.Mapping[
    str, collections.abc.Sequence[subsets.EndpointMember]
]
Assigner: typing.TypeAlias = collections.abc.Callable[
    [Entries, Endpoints, int], Assignment
]


@attrs.frozen
class SubsetFigures:
    """What one way gave at one size."""

    #: Largest load of an endpoint over the mean of its service.
    max_over_mean: float
    #: Standard deviation of the load over its mean.
    load_deviation: float
    #: Fewest and most entries that hold an endpoint.
    coverage_min: int
    coverage_max: int
    #: Mean and largest subset.
    size_mean: float
    size_max: int
    #: Fewest endpoints of a service in a subset.
    service_min: int
    #: Subsets and services whose endpoints lie in one failure domain.
    one_domain: int
    #: Links that change for each that must, when an endpoint is replaced.
    endpoint_movement: float
    #: The same when an entry is replaced.
    entry_movement: float
    #: Time of one assignment of all subsets.
    assign_s: float


def by_entry(name: str) -> Assigner:
    """Return an assigner that asks a chooser for each entry."""
    chooser = subsets.SUBSETS.get(name)()

    def assign(
        entries: Entries, endpoints: Endpoints, size: int
    ) -> Assignment:
        return {
            entry.key: chooser.choose(entry, entries, endpoints, size, 0.0)
            for entry in entries
        }

    return assign


def round_shuffle(
    entries: Entries, endpoints: Endpoints, size: int
) -> Assignment:
    """Deterministic subsetting: rounds of entries split one shuffle."""
    ordered = sorted(endpoints, key=lambda member: member.key)
    per_round = max(1, len(ordered) // size)
    chosen = {}
    for rank, entry in enumerate(sorted(e.key for e in entries)):
        shuffled = list(ordered)
        random.Random(rank // per_round).shuffle(shuffled)
        start = rank % per_round * size
        chosen[entry] = shuffled[start : start + size]
    return chosen


def ring_arcs(entries: Entries, endpoints: Endpoints, size: int) -> Assignment:
    """Endpoints in hashed order; entries take arcs at even distances."""
    names = sorted(entry.key for entry in entries)
    groups = collections.defaultdict(list)
    for endpoint in sorted(endpoints, key=lambda m: _hashed(m.key)):
        groups[endpoint.service].append(endpoint)
    chosen: dict[str, list[subsets.EndpointMember]]
    chosen = {name: [] for name in names}
    for group in groups.values():
        share = max(3, round(size * len(group) / len(endpoints)))
        share = min(share, len(group))
        for rank, name in enumerate(sorted(names, key=_hashed)):
            start = rank * len(group) // len(names)
            chosen[name].extend(
                group[(start + i) % len(group)] for i in range(share)
            )
    return chosen


def _hashed(name: str) -> int:
    return random.Random(name).getrandbits(64)


ASSIGNERS: dict[str, Assigner] = {
    "weighted_rendezvous": by_entry("weighted_rendezvous"),
    "covered_rendezvous": subsets.assign,
    "round_shuffle": round_shuffle,
    "ring_arcs": ring_arcs,
}


def members(
    endpoints: int, entries: int, services: int, seed: int
) -> tuple[list[subsets.EntryMember], list[subsets.EndpointMember]]:
    """Return members whose services shrink as one over their rank."""
    drawn = random.Random(seed)
    ranks = range(1, services + 1)
    names = list(range(services))
    extra = drawn.choices(
        names, [1 / rank for rank in ranks], k=endpoints - services
    )
    found = [
        subsets.EndpointMember(
            f"endpoint{seed}-{i}", f"domain{i % 7}", f"model{service}"
        )
        for i, service in enumerate([*names, *extra])
    ]
    return [
        subsets.EntryMember(f"entry{seed}-{i}", f"domain{i % 7}")
        for i in range(entries)
    ], found


def loads(assignment: Assignment, endpoints: Endpoints) -> list[float]:
    """Return the load of each endpoint over the mean of its service."""
    totals = collections.Counter(e.service for e in endpoints)
    load: dict[str, float] = {e.key: 0.0 for e in endpoints}
    for chosen in assignment.values():
        held = collections.Counter(e.service for e in chosen)
        for endpoint in chosen:
            load[endpoint.key] += (
                totals[endpoint.service]
                / held[endpoint.service]
                / len(assignment)
            )
    return list(load.values())


def moved(before: Assignment, after: Assignment) -> int:
    """Return links that are new in entries that were there before."""
    return sum(
        len({e.key for e in chosen} - {e.key for e in before[name]})
        for name, chosen in after.items()
        if name in before
    )


def links(assignment: Assignment, endpoint: str) -> int:
    """Return entries that hold an endpoint."""
    return sum(
        any(e.key == endpoint for e in chosen)
        for chosen in assignment.values()
    )


def measure(
    way: str, endpoints: int, entries: int, services: int, seed: int
) -> SubsetFigures:
    """Measure one way at one size."""
    assigner = ASSIGNERS[way]
    size = 40
    some_entries, found = members(endpoints, entries, services, seed)
    begin = time.process_time()
    before = assigner(some_entries, found, size)
    assign_s = time.process_time() - begin
    covered = collections.Counter(
        e.key for chosen in before.values() for e in chosen
    )
    load = loads(before, found)
    per_service = [
        (name, service, [e for e in chosen if e.service == service])
        for name, chosen in before.items()
        for service in {e.service for e in found}
    ]
    new_endpoint = attrs.evolve(found[-1], key="new")
    after = assigner(some_entries, [*found[:-1], new_endpoint], size)
    forced = max(1, links(after, "new"))
    new_entry = attrs.evolve(some_entries[-1], key="new")
    joined = assigner([*some_entries[:-1], new_entry], found, size)
    return SubsetFigures(
        max_over_mean=round(max(load), 2),
        load_deviation=round(statistics.pstdev(load), 3),
        coverage_min=min(covered[e.key] for e in found),
        coverage_max=max(covered.values()),
        size_mean=statistics.mean(map(len, before.values())),
        size_max=max(map(len, before.values())),
        service_min=min(len(held) for _, _, held in per_service),
        one_domain=sum(
            len({e.failure_domain for e in held}) < 2
            for _, _, held in per_service
        ),
        endpoint_movement=round(moved(before, after) / forced, 2),
        entry_movement=round(moved(before, joined) / size, 2),
        assign_s=round(assign_s, 3),
    )


#: Endpoints x entries x services.
SIZES = ("5x3x1", "40x8x4", "400x41x8", "1300x137x23", "4000x410x23")
