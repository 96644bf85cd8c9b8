"""Compares subset algorithms by balance, coverage and movement.

Each entry divides its traffic for a service evenly among the endpoints of
that service in its subset. The load of an endpoint is the sum over the
entries whose subset contains it.
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
    """Figures of one algorithm at one size."""

    #: Maximum load of an endpoint over the mean of its service.
    max_over_mean: float
    #: Standard deviation of the load over its mean.
    load_deviation: float
    #: Minimum and maximum number of entries whose subset contains an endpoint.
    coverage_min: int
    coverage_max: int
    #: Mean and maximum size of a subset.
    size_mean: float
    size_max: int
    #: Minimum number of endpoints of a service in a subset.
    service_min: int
    #: Number of pairs of subset and service with fewer than two failure
    #: domains.
    one_domain: int
    #: New links over those required, when an endpoint is replaced.
    endpoint_movement: float
    #: New links of the other entries over the subset size, when an entry is
    #: replaced.
    entry_movement: float
    #: Processor time to assign all subsets, in seconds.
    assign_s: float


def by_entry(name: str) -> Assigner:
    """Return an assigner that chooses the subset of each entry separately."""
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
    """Deterministic subsetting: the entries of a round split one shuffle."""
    ordered = sorted(endpoints, key=lambda member: member.key)
    per_round = max(1, len(ordered) // size)
    chosen = {}
    for rank, entry in enumerate(sorted(member.key for member in entries)):
        shuffled = list(ordered)
        random.Random(rank // per_round).shuffle(shuffled)
        start = rank % per_round * size
        chosen[entry] = shuffled[start : start + size]
    return chosen


def ring_arcs(entries: Entries, endpoints: Endpoints, size: int) -> Assignment:
    """Assign evenly spaced arcs of a hash ring of endpoints to the entries."""
    names = sorted(entry.key for entry in entries)
    groups = collections.defaultdict(list)
    for endpoint in sorted(
        endpoints, key=lambda member: _name_hash(member.key)
    ):
        groups[endpoint.service].append(endpoint)
    chosen: dict[str, list[subsets.EndpointMember]]
    chosen = {name: [] for name in names}
    for group in groups.values():
        share = max(3, round(size * len(group) / len(endpoints)))
        share = min(share, len(group))
        for rank, name in enumerate(sorted(names, key=_name_hash)):
            start = rank * len(group) // len(names)
            chosen[name].extend(
                group[(start + i) % len(group)] for i in range(share)
            )
    return chosen


def _name_hash(name: str) -> int:
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
    """Return members; the size of a service is proportional to 1 / rank."""
    rng = random.Random(seed)
    ranks = range(1, services + 1)
    names = list(range(services))
    extra_services = rng.choices(
        names, [1 / rank for rank in ranks], k=endpoints - services
    )
    endpoint_members = [
        subsets.EndpointMember(
            f"endpoint{seed}-{i}", f"domain{i % 7}", f"model{service}"
        )
        for i, service in enumerate([*names, *extra_services])
    ]
    return [
        subsets.EntryMember(f"entry{seed}-{i}", f"domain{i % 7}")
        for i in range(entries)
    ], endpoint_members


def loads(assignment: Assignment, endpoints: Endpoints) -> list[float]:
    """Return the load of each endpoint over the mean of its service."""
    totals = collections.Counter(member.service for member in endpoints)
    load: dict[str, float] = {member.key: 0.0 for member in endpoints}
    for chosen in assignment.values():
        service_endpoints = collections.Counter(
            member.service for member in chosen
        )
        for endpoint in chosen:
            load[endpoint.key] += (
                totals[endpoint.service]
                / service_endpoints[endpoint.service]
                / len(assignment)
            )
    return list(load.values())


def count_new_links(before: Assignment, after: Assignment) -> int:
    """Count the new links of entries that exist in both assignments."""
    return sum(
        len(
            {member.key for member in chosen}
            - {member.key for member in before[name]}
        )
        for name, chosen in after.items()
        if name in before
    )


def count_links(assignment: Assignment, endpoint: str) -> int:
    """Count the entries whose subset contains an endpoint."""
    return sum(
        any(member.key == endpoint for member in chosen)
        for chosen in assignment.values()
    )


def measure(
    algorithm: str, endpoints: int, entries: int, services: int, seed: int
) -> SubsetFigures:
    """Measure one algorithm at one size."""
    assigner = ASSIGNERS[algorithm]
    size = 40
    entry_members, endpoint_members = members(
        endpoints, entries, services, seed
    )
    begin_s = time.process_time()
    before = assigner(entry_members, endpoint_members, size)
    assign_s = time.process_time() - begin_s
    coverage = collections.Counter(
        member.key for chosen in before.values() for member in chosen
    )
    load = loads(before, endpoint_members)
    per_service = [
        (
            name,
            service,
            [member for member in chosen if member.service == service],
        )
        for name, chosen in before.items()
        for service in {member.service for member in endpoint_members}
    ]
    new_endpoint = attrs.evolve(endpoint_members[-1], key="new")
    after_endpoint = assigner(
        entry_members, [*endpoint_members[:-1], new_endpoint], size
    )
    required_links = max(1, count_links(after_endpoint, "new"))
    new_entry = attrs.evolve(entry_members[-1], key="new")
    after_entry = assigner(
        [*entry_members[:-1], new_entry], endpoint_members, size
    )
    return SubsetFigures(
        max_over_mean=round(max(load), 2),
        load_deviation=round(statistics.pstdev(load), 3),
        coverage_min=min(coverage[member.key] for member in endpoint_members),
        coverage_max=max(coverage.values()),
        size_mean=statistics.mean(map(len, before.values())),
        size_max=max(map(len, before.values())),
        service_min=min(
            len(service_endpoints) for _, _, service_endpoints in per_service
        ),
        one_domain=sum(
            len({member.failure_domain for member in service_endpoints}) < 2
            for _, _, service_endpoints in per_service
        ),
        endpoint_movement=round(
            count_new_links(before, after_endpoint) / required_links, 2
        ),
        entry_movement=round(count_new_links(before, after_entry) / size, 2),
        assign_s=round(assign_s, 3),
    )


#: Endpoints x entries x services.
SIZES = ("5x3x1", "40x8x4", "400x41x8", "1300x137x23", "4000x410x23")
