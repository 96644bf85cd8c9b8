import collections

import hypothesis
import hypothesis.strategies as st
import pytest

from bilberrydeal.systems import subsets

#: Maximum share of all links that replacing one member may change.
MOVED_SHARE_MAX = 0.1


def entries(count: int) -> list[subsets.EntryMember]:
    return [
        subsets.EntryMember(f"entry{i}", f"d{i % 4}") for i in range(count)
    ]


def endpoints(
    count: int, services: int, prefix: str = "e"
) -> list[subsets.EndpointMember]:
    return [
        subsets.EndpointMember(
            f"{prefix}{i}", f"d{i % 4}", f"model{i % services}"
        )
        for i in range(count)
    ]


@pytest.mark.parametrize("name", subsets.SUBSETS.names())
def test_each_service_has_its_share(name: str) -> None:
    """Guards against subsets in which one service displaces another."""
    chooser = subsets.SUBSETS.get(name)()
    entry, *_ = group = entries(8)
    chosen = chooser.choose(entry, group, endpoints(100, 5), 40, 0.0)
    held = collections.Counter(e.service for e in chosen)
    assert set(held.values()) == {8}


@pytest.mark.parametrize("name", subsets.SUBSETS.names())
def test_small_fleet_is_chosen_entirely(name: str) -> None:
    """Guards against leaving out endpoints that fit into the subset."""
    chooser = subsets.SUBSETS.get(name)()
    entry, *_ = group = entries(3)
    found = endpoints(9, 2)
    assert set(chooser.choose(entry, group, found, 40, 0.0)) == set(found)


SHAPES = st.tuples(st.integers(3, 40), st.integers(41, 200), st.integers(1, 6))


# Guards against endpoints that too few entries link to, and against subsets
# with only one failure domain of a service.
@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(SHAPES, st.integers(10, 40), st.text(max_size=3))
def test_each_endpoint_is_covered(
    shape: tuple[int, int, int], size: int, prefix: str
) -> None:
    group, found = entries(shape[0]), endpoints(*shape[1:], prefix)
    chosen = subsets.assign(group, found, size)
    covered = collections.Counter(e.key for s in chosen.values() for e in s)
    fewest = len(group) * size // len(found)
    assert min(covered[e.key] for e in found) >= fewest
    for subset in chosen.values():
        domains = collections.defaultdict(set)
        for endpoint in subset:
            domains[endpoint.service].add(endpoint.failure_domain)
        whole = collections.defaultdict(set)
        for endpoint in found:
            whole[endpoint.service].add(endpoint.failure_domain)
        for service, some in whole.items():
            assert len(domains[service]) >= min(2, len(some))


# Guards against reconnecting a large part of the fleet for one member.
@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
@hypothesis.given(st.integers(0, 99), st.booleans(), st.text(max_size=3))
def test_one_replaced_member_moves_few_links(
    which: int, entry_goes: bool, prefix: str
) -> None:
    group, found = entries(20), endpoints(100, 3, prefix)
    before = subsets.assign(group, found, 20)
    if entry_goes:
        group[which % 20] = subsets.EntryMember("new", "d0")
    else:
        found[which] = subsets.EndpointMember("new", "d0", "model0")
    after = subsets.assign(group, found, 20)
    links = sum(map(len, before.values()))
    moved = sum(
        len(set(subset) - set(before.get(name, subset)))
        for name, subset in after.items()
    )
    assert moved <= MOVED_SHARE_MAX * links


def test_all_entries_compute_the_same_subsets() -> None:
    """Guards against subsets that depend on the order of the members."""
    group, found = entries(10), endpoints(200, 3)
    whole = subsets.assign(group, found, 40)
    for entry in group:
        chooser = subsets.CoveredRendezvous()
        own = chooser.choose(entry, group[::-1], found[::-1], 40, 0.0)
        assert own == whole[entry.key]
