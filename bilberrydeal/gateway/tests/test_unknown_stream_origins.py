"""What callers and operators are told of origins that are unknown."""

import attrs
import pytest

from ... import errors
from ... import ports
from .. import core
from ..cluster_state import _cluster_state
from ..core import _metrics
from ..origins import _announcer
from . import harness
from . import loopback
from . import memory
from . import resumptions


def _restarted(endpoint_id: str) -> core.StreamOrigin:
    """Return an origin whose engine has begun anew since."""
    return core.StreamOrigin("llm", endpoint_id, 77, "v0")


def _two_versions() -> _cluster_state.ClusterState:
    """Return the state of a gateway with engines of two versions."""
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    for version in ("v1", "v2"):
        cluster.set_endpoint(
            attrs.evolve(
                loopback.engine(ports.EngineRole.DECODE),
                endpoint_id=version,
                software_version=version,
            )
        )
    return cluster


@pytest.mark.parametrize(
    ("reachable", "origin", "cause"),
    [
        (False, None, "unread"),
        (True, None, "unstored"),
        (True, _restarted("v1"), "doubtful"),
    ],
)
async def test_each_cause_of_an_unknown_origin_is_counted_by_itself(
    reachable: bool, origin: core.StreamOrigin | None, cause: str
) -> None:
    table = memory.MemoryStore(unreachable=not reachable)
    cluster = _two_versions()
    metrics = _metrics.GatewayMetrics()
    now_s = 1_000.0
    origins = harness.new_origins(table, "g1", cluster, metrics, lambda: now_s)
    if origin is not None:
        origins.resolver.note(resumptions.admitted(b"r1", now_s), origin)
    with pytest.raises(errors.Refusal) as refused:
        await origins.resolver.resolve(
            resumptions.admitted(b"r2", now_s, resumed_id=b"r1")
        )
    assert cause in refused.value.message
    counted = metrics.metrics.render().decode()
    lines = [
        line
        for line in counted.splitlines()
        if line.startswith("bilberrydeal_resumptions_total{")
    ]
    assert len(lines) == 1
    assert f'outcome="{cause}"' in lines[0]


@pytest.mark.parametrize(
    ("cause", "gateways", "left_s", "retry_s"),
    [
        ("unstored", 3, 3.0, 0.2),
        ("unstored", 25, 3.0, 0.625),
        ("unstored", 25, 1.5, 0.5),
        ("unstored", 300, 3.0, 1.0),
        ("unread", 3, 3.0, 0.2),
        ("unread", 300, 3.0, 0.2),
        ("unread", 300, 0.3, 0.1),
        ("doubtful", 3, 3.0, 1.0),
    ],
)
async def test_caller_is_told_to_come_again_while_a_try_can_come_true(
    cause: str, gateways: int, left_s: float, retry_s: float
) -> None:
    table = memory.MemoryStore(unreachable=cause == "unread")
    cluster = _two_versions()
    cluster.set_gateways("g1", (f"o{n}" for n in range(1, gateways)))
    origins = harness.new_origins(
        table, "g1", cluster, _metrics.GatewayMetrics(), lambda: 1_000.0
    )
    if cause == "doubtful":
        before = resumptions.admitted(b"r1", 1_000.0)
        origins.resolver.note(before, _restarted("v1"))
    resumed = resumptions.admitted(b"r2", 1_000.0, b"r1", left_s)
    with pytest.raises(errors.Refusal) as refused:
        await origins.resolver.resolve(resumed)
    assert cause in refused.value.message
    assert refused.value.retry_after_s == pytest.approx(retry_s)


@pytest.mark.parametrize(
    ("objective_s", "left_s", "waits_s"),
    [(0.15, 2.0, 0.15), (1.5, 20.0, 1.5), (1.5, 0.5, 0.5)],
)
async def test_answer_of_others_is_waited_for_as_the_route_allows(
    monkeypatch: pytest.MonkeyPatch,
    objective_s: float,
    left_s: float,
    waits_s: float,
) -> None:
    waited_s: list[float] = []

    async def ask(
        _self: object, _stream: str, limit_s: float
    ) -> core.StreamOrigin | None:
        waited_s.append(limit_s)
        return None

    monkeypatch.setattr(_announcer.OriginAnnouncer, "ask", ask)
    now_s = 1_000.0
    origins = harness.new_origins(
        memory.MemoryStore(),
        "g1",
        _two_versions(),
        _metrics.GatewayMetrics(),
        lambda: now_s,
    )
    admitted = resumptions.admitted(b"r2", now_s, b"r1", left_s)
    route = attrs.evolve(admitted.route, target_latency_s=objective_s)
    with pytest.raises(errors.Refusal):
        await origins.resolver.resolve(attrs.evolve(admitted, route=route))
    assert waited_s == pytest.approx([waits_s])
