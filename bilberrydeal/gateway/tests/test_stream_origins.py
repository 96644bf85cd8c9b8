"""How long origins of streams are kept, and their rows."""

import attrs
import pytest

from ... import catalogue
from ... import ports
from .. import core
from ..core import _metrics
from ..origins import _memory
from ..origins import _origins
from ..origins import _rows
from . import configurations
from . import harness
from . import loopback
from . import memory

LIFETIME_S = 30.0


def _origin() -> core.StreamOrigin:
    return core.StreamOrigin.of(loopback.engine(ports.EngineRole.DECODE))


def test_origin_is_known_for_the_lifetime_of_streams() -> None:
    origins = _memory.OriginMemory(lambda: LIFETIME_S)
    for second in range(0, 100, 5):
        origins.note(b"%d" % second, _origin(), float(second))
    assert origins.find(b"70", 99.0)
    assert origins.find(b"50", 99.0) is None


def test_slots_of_many_streams_fit_into_rows() -> None:
    origins = _memory.OriginMemory(lambda: LIFETIME_S)
    for number in range(_memory.SLOT_STREAMS_LIMIT * 2 + 1):
        origins.note(b"%d" % number, _origin(), 1.0)
    slots = origins.unwritten(1.0)
    assert len(slots) == 3
    assert origins.find(b"0", 1.0)


@pytest.mark.parametrize(
    ("timeout_s", "lifetime_s"), [(2.0, 30.0), (15.0, 30.0), (150.0, 300.0)]
)
def test_lifetime_follows_the_timeouts_of_streams(
    timeout_s: float, lifetime_s: float
) -> None:
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    routes = (
        configurations.route(
            b"/chat/", catalogue.RouteKind.STREAM, 2, "llm", True, False
        ),
        configurations.route(b"/once/", catalogue.RouteKind.ONCE, 1, "shop"),
    )
    cluster.set_configuration(
        attrs.evolve(
            configurations.configuration(),
            routes=(
                attrs.evolve(routes[0], timeout_s=timeout_s),
                attrs.evolve(routes[1], timeout_s=900.0),
            ),
        )
    )
    assert cluster.stream_lifetime_s == lifetime_s


async def test_rows_of_streams_that_are_over_are_removed() -> None:
    now_s = 1_000.0
    table = memory.MemoryStore()
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    for version in ("v1", "v2"):
        cluster.set_endpoint(
            attrs.evolve(
                loopback.engine(ports.EngineRole.DECODE),
                endpoint_id=version,
                software_version=version,
            )
        )
    origins: _origins.Origins = harness.new_origins(
        table, "g1", cluster, _metrics.GatewayMetrics(), lambda: now_s
    )
    for step in range(60):
        origins.rows._memory.note(b"%d" % step, _origin(), now_s)
        await origins.rows.run_once()
        now_s += 2.0
    stored = [
        row
        for (name, _key), row in table.rows.items()
        if name == _rows.STREAM_ORIGINS
    ]
    assert len(stored) <= _memory.SLOTS + 2


async def test_versions_are_stored_again_after_a_restore() -> None:
    table = memory.MemoryStore(era=1)
    copied = table.copy()
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    origins = harness.new_origins(
        table, "g1", cluster, _metrics.GatewayMetrics(), lambda: 1_000.0
    )
    key = (_rows.ENGINE_VERSIONS, "llm")
    await origins.rows.run_once()
    assert key in table.rows
    table.restore(copied)
    assert key not in table.rows
    await origins.rows.run_once()
    assert key in table.rows
