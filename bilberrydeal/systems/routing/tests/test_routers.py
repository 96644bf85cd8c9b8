from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from bilberrydeal import ports
from bilberrydeal import systems
from bilberrydeal.systems import routing

BLOCKS = tuple(range(100, 140))


def view(
    name: str, role: ports.EngineRole = ports.EngineRole.BOTH
) -> systems.EndpointView:
    return systems.EndpointView(name, "domain0", "model", role)


def world(*views: systems.EndpointView) -> systems.Tables:
    tables = systems.Tables()
    for one in views:
        tables.of(systems.EndpointView).put(one)
    return tables


def router(name: str = "prefix_bounded") -> routing.Router:
    return routing.ROUTERS.get(name)(routing.RouterOptions("domain0", 1))


def route(
    chooser: routing.Router,
    tables: systems.Tables,
    key: str = "r",
    blocks: tuple[int, ...] = (),
    tried: frozenset[str] = frozenset(),
) -> systems.PendingRequest:
    request = systems.PendingRequest(
        key,
        "o",
        "model",
        prompt_tokens=64 * len(blocks) + 10,
        output_tokens=10,
        blocks=blocks,
        tried_endpoint_ids=tried,
    )
    pending = tables.of(systems.PendingRequest)
    pending.put(request)
    chooser.run(tables, 0.0)
    pending.remove(key)
    return request


# Guards against choosing endpoints that are unavailable or were tried before.
@pytest.mark.parametrize("name", routing.ROUTERS.names())
@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.sampled_from(list(systems.CircuitState)),
            st.sampled_from(list(ports.EngineRole)),
            st.booleans(),
            st.integers(0, 3),
        ),
        max_size=12,
    )
)
def test_only_available_endpoints_are_picked(
    name: str,
    states: list[
        tuple[bool, systems.CircuitState, ports.EngineRole, bool, int]
    ],
) -> None:
    chooser = router(name)
    views = []
    tried = set()
    for number, (accepting, circuit, role, was_tried, busy) in enumerate(
        states
    ):
        one = view(f"e{number}", role)
        one.accepting = accepting
        one.circuit = circuit
        one.in_flight = busy
        views.append(one)
        if was_tried:
            tried.add(one.key)
    usable = {one.key for one in views if one.available} - tried
    tables = world(*views, systems.EndpointView("x", "domain0", "other"))
    request = route(chooser, tables, blocks=BLOCKS, tried=frozenset(tried))
    if usable:
        assert request.endpoint_id in usable
        assert request.prefill_endpoint_id in usable | {""}
    else:
        assert request.endpoint_id == ""
        assert request.prefill_endpoint_id == ""


def test_prompt_is_routed_to_its_cached_prefix() -> None:
    """Guards against recomputing a prefix that an endpoint has cached."""
    chooser = router()
    tables = world(*(view(f"e{n}") for n in range(30)))
    first = route(chooser, tables, "a", BLOCKS)
    chooser.record_end(tables, first, 1.0)
    longer = route(chooser, tables, "b", (*BLOCKS, 1, 2))
    assert longer.endpoint_id == first.endpoint_id
    assert longer.cached_tokens == 64 * len(BLOCKS)


def test_locality_creates_no_hot_spot() -> None:
    """Guards against one endpoint receiving all requests with a prefix."""
    chooser = router()
    tables = world(*(view(f"e{n}") for n in range(5)))
    for number in range(100):
        route(chooser, tables, str(number), BLOCKS)
    busiest = max(v.in_flight for v in tables.of(systems.EndpointView))
    prefill_s = 64 * len(BLOCKS) / 8_000.0
    saved_requests = prefill_s / 0.04
    assert busiest <= 100 / 5 + saved_requests


def test_evicted_blocks_and_lost_caches_are_removed() -> None:
    """Guards against routing by a prefix that is no longer cached.

    Events for recently sent blocks are ignored, as they may be outdated.
    """
    chooser = router()
    tables = world(view("e0"))
    chooser.record_end(tables, route(chooser, tables, "a", BLOCKS), 0.0)
    chooser.record_cache_events("e0", (), BLOCKS, 1.0)
    assert route(chooser, tables, "b", BLOCKS).cached_tokens > 0
    chooser.record_cache_events("e0", (), BLOCKS, 10.0)
    assert route(chooser, tables, "c", BLOCKS).cached_tokens == 0
    chooser.record_cache_events("e0", BLOCKS, (), 10.0)
    assert route(chooser, tables, "d", BLOCKS).cached_tokens > 0
    chooser.reset_cache("e0")
    assert route(chooser, tables, "e", BLOCKS).cached_tokens == 0


def test_prefill_and_decode_run_on_separate_endpoints() -> None:
    """Guards against wrong roles and request counts in disaggregation."""
    chooser = router()
    prefill = view("p", ports.EngineRole.PREFILL)
    decode = view("d", ports.EngineRole.DECODE)
    tables = world(prefill, decode)
    request = route(chooser, tables, blocks=BLOCKS)
    assert request.prefill_endpoint_id == "p"
    assert request.endpoint_id == "d"
    assert (prefill.in_flight, decode.in_flight) == (1, 1)
    chooser.record_end(tables, request, 1.0)
    assert (prefill.in_flight, decode.in_flight) == (0, 0)


def test_slow_endpoint_receives_fewer_requests() -> None:
    """Guards against routing that ignores an endpoint's slowness."""
    chooser = router()
    slow = view("slow")
    slow.slowness = 4.0
    tables = world(slow, *(view(f"e{n}") for n in range(4)))
    for number in range(100):
        route(chooser, tables, str(number))
    assert slow.in_flight <= 100 / 5 / 2
