"""Software versions that other gateways may not know of yet."""

import asyncio
import collections.abc

import attrs
import pytest

from ... import catalogue
from ... import ports
from ... import store
from ... import systems
from ...systems import health
from ..cluster_state import _cluster_state
from ..cluster_state import _new_versions
from ..cluster_state import _poll_times
from ..core import _metrics
from ..origins import _version_rows
from . import harness
from . import loopback
from . import memory
from . import scripted

#: A prompt that its decode engine prefills itself.
SHORT = {"token_usage": "120,10", "prefix_hash": "aa:50,bb:70"}
#: When an engine of another version joins those of v1, monotonic seconds.
JOINED_S = 100.0
FRESH_S = _poll_times.endpoints_times(
    _cluster_state.APPLY_LIMIT_S
).confirmed_within_s
HOLD_S = FRESH_S + _new_versions.HOLD_EXTRA_S


async def _decode(call: scripted.Call) -> bytes:
    first = int(call.field("last-event-id") or 0) + 1
    return scripted.complete_stream(call, first, 5)


@pytest.mark.parametrize(
    ("age_s", "status"),
    [
        (None, 503),
        (FRESH_S + 0.1, 503),
        (FRESH_S - 0.5, 200),
    ],
)
async def test_cut_off_gateway_takes_no_version_for_the_only_one(
    age_s: float | None, status: int
) -> None:
    """Only the configuration was answered lately, the endpoints were not."""
    table = memory.MemoryStore()
    engine = scripted.engine("d1", "decode", _decode)
    engine.software_version = "v1"
    async with harness.running(engine, table=table) as running:
        await running.origins.rows.run_once()
        table.unreachable = True
        if age_s is not None:
            now_s = asyncio.get_running_loop().time()
            running.cluster.endpoints_freshness.note_confirmed(now_s - age_s)
        reply = await running.stream(
            last_event_id="2", resumes="r-before", **SHORT
        )
    assert reply.status == status
    assert len(engine.calls) == (status == 200)


@pytest.mark.parametrize("apply_limit_s", [0.5, 2.0, 3.0, 30.0])
def test_new_version_is_held_for_longer_than_knowledge_is_fresh(
    apply_limit_s: float,
) -> None:
    cluster = _cluster_state.ClusterState(
        health.HEALTH.get("outlier")(1), endpoints_limit_s=apply_limit_s
    )
    times = _poll_times.endpoints_times(apply_limit_s)
    between_answers_s = 2 * times.wait_s + times.pause_s
    fresh_s = cluster.endpoints_freshness.apply_limit_s
    assert between_answers_s < fresh_s < cluster.new_versions.hold_s


def _engine(endpoint_id: str, version: str) -> catalogue.Endpoint:
    return attrs.evolve(
        loopback.engine(ports.EngineRole.DECODE),
        endpoint_id=endpoint_id,
        software_version=version,
    )


def _cluster() -> _cluster_state.ClusterState:
    """Return a gateway at which v2 has joined v1."""
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    cluster.set_endpoint(_engine("e1", "v1"))
    cluster.sweep(JOINED_S - 50.0)
    cluster.set_endpoint(_engine("e2", "v2"))
    cluster.sweep(JOINED_S)
    return cluster


def _usable(
    cluster: _cluster_state.ClusterState,
    now_s: float,
    software_version: str | None = None,
) -> set[str]:
    found = cluster.engines("llm", b"a", now_s, software_version)
    return {load.engine_id for load in found}


def _nothing(_cluster: _cluster_state.ClusterState) -> None:
    """Leave the engines as they are."""


def _old_leaves(cluster: _cluster_state.ClusterState) -> None:
    cluster.note_leaving(cluster.endpoints["e1"])


def _old_lapses(cluster: _cluster_state.ClusterState) -> None:
    cluster.remove_endpoint("e1", "no longer listed")


def _old_is_ejected(cluster: _cluster_state.ClusterState) -> None:
    cluster.endpoints["e1"].view.circuit = systems.CircuitState.OPEN


def _old_is_on_trial(cluster: _cluster_state.ClusterState) -> None:
    cluster.endpoints["e1"].view.circuit = systems.CircuitState.HALF_OPEN


def _old_is_another(cluster: _cluster_state.ClusterState) -> None:
    cluster.endpoints["e1"].misdirected = True


def _old_prefills(cluster: _cluster_state.ClusterState) -> None:
    cluster.set_endpoint(
        attrs.evolve(_engine("e1", "v1"), role=ports.EngineRole.PREFILL)
    )


def _old_pauses(cluster: _cluster_state.ClusterState) -> None:
    cluster.endpoints["e1"].paused_until_s = JOINED_S + 60.0


def _new_prefills(cluster: _cluster_state.ClusterState) -> None:
    cluster.set_endpoint(
        attrs.evolve(_engine("e2", "v2"), role=ports.EngineRole.PREFILL)
    )


def _third_joins(cluster: _cluster_state.ClusterState) -> None:
    cluster.set_endpoint(_engine("e3", "v3"))


Change = collections.abc.Callable[[_cluster_state.ClusterState], None]


@pytest.mark.parametrize(
    ("change", "after_s", "usable"),
    [
        (_nothing, 0.0, {"e1"}),
        (_nothing, HOLD_S - 0.2, {"e1"}),
        (_nothing, HOLD_S + 0.2, {"e1", "e2"}),
        (_old_leaves, 1.0, {"e2"}),
        (_old_lapses, 1.0, {"e2"}),
        (_old_is_ejected, 1.0, {"e2"}),
        (_old_is_on_trial, 1.0, {"e1", "e2"}),
        (_old_is_another, 1.0, {"e2"}),
        (_old_prefills, 1.0, {"e1", "e2"}),
        (_old_pauses, 1.0, set()),
        (_new_prefills, 1.0, {"e1", "e2"}),
        (_third_joins, 1.0, {"e1"}),
        (_third_joins, HOLD_S + 0.2, {"e1", "e2", "e3"}),
    ],
)
def test_version_that_others_may_not_know_begins_no_stream(
    change: Change, after_s: float, usable: set[str]
) -> None:
    cluster = _cluster()
    change(cluster)
    assert _usable(cluster, JOINED_S + 0.1) <= {"e1", *usable}
    assert _usable(cluster, JOINED_S + after_s) == usable


def test_streams_of_a_new_version_go_on_at_it() -> None:
    assert _usable(_cluster(), JOINED_S + 0.1, "v2") == {"e2"}


def test_further_engines_of_a_known_version_begin_streams_at_once() -> None:
    cluster = _cluster()
    later_s = JOINED_S + HOLD_S + 1.0
    cluster.sweep(later_s)
    cluster.set_endpoint(_engine("e3", "v2"))
    assert _usable(cluster, later_s) == {"e1", "e2", "e3"}


def test_version_that_comes_back_is_new_again() -> None:
    cluster = _cluster()
    later_s = JOINED_S + HOLD_S + 1.0
    cluster.remove_endpoint("e2", "no longer listed")
    cluster.sweep(later_s)
    cluster.set_endpoint(_engine("e3", "v2"))
    assert _usable(cluster, later_s + 0.1) == {"e1"}


def test_engines_of_one_version_are_usable_at_once() -> None:
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    assert _usable(cluster, JOINED_S) == {"e1"}


@pytest.mark.parametrize(
    ("since_s", "usable"),
    [
        ({"v1": 10.0, "v2": JOINED_S - 1.0}, {"e1"}),
        ({"v1": 10.0, "v2": JOINED_S - 10.0}, {"e1", "e2"}),
        ({"v2": JOINED_S - 1.0}, {"e1"}),
        ({}, {"e1", "e2"}),
    ],
)
async def test_gateway_that_has_just_started_knows_which_version_is_new(
    since_s: dict[str, float], usable: set[str]
) -> None:
    table = memory.MemoryStore()
    row = store.encode({"present": ["v1", "v2"], "since_s": since_s})
    write = ports.Write(_version_rows.ENGINE_VERSIONS, "llm", row)
    await table.commit(ports.Transaction((), (write,)), 1.0)
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    cluster.set_endpoint(_engine("e1", "v1"))
    cluster.set_endpoint(_engine("e2", "v2"))
    origins = harness.new_origins(
        table, "g1", cluster, _metrics.GatewayMetrics(), lambda: JOINED_S
    )
    await origins.rows.run_once()
    assert _usable(cluster, JOINED_S) == usable


async def test_row_of_versions_tells_since_when_each_has_served() -> None:
    now_s = JOINED_S
    table = memory.MemoryStore()
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    origins = harness.new_origins(
        table, "g1", cluster, _metrics.GatewayMetrics(), lambda: now_s
    )
    since: list[dict[str, float]] = []
    for version in ("v1", "v2", "v3"):
        cluster.set_endpoint(_engine(version, version))
        if version == "v3":
            cluster.remove_endpoint("v2", "no longer listed")
        cluster.remove_endpoint("e1", "no longer listed")
        await origins.rows.run_once()
        row = table.rows[_version_rows.ENGINE_VERSIONS, "llm"]
        found = store.decode_rows([row], _version_rows.VersionsRow)["llm"]
        since.append(found.since_s)
        now_s += 10.0
    assert since == [
        {"v1": 100.0},
        {"v1": 100.0, "v2": 110.0},
        {"v1": 100.0, "v3": 120.0},
    ]
