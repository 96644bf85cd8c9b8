"""How long origins of streams are kept, and their rows."""

import attrs
import pytest

from ... import catalogue
from ... import ports
from .. import core
from ..core import _metrics
from ..origins import _memory
from ..origins import _origins
from ..origins import _stream_rows
from ..origins import _version_rows
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


def test_origin_of_a_stream_never_changes() -> None:
    origins = _memory.OriginMemory(lambda: LIFETIME_S)
    first = _origin()
    other = attrs.evolve(first, software_version="v2")
    learned = _memory.digest(b"learned")
    origins.learn_stream(learned, first, 1.0)
    origins.learn_stream(learned, other, 2.0)
    origins.note(b"learned", other, 3.0)
    origins.note(b"own", first, 1.0)
    origins.note(b"own", other, 2.0)
    origins.learn_stream(_memory.digest(b"own"), other, 3.0)
    assert origins.find(b"learned", 4.0) == first
    assert origins.find(b"own", 4.0) == first


def test_streams_told_by_others_are_bounded_in_number_and_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_memory, "LEARNED_LIMIT", 3)
    origins = _memory.OriginMemory(lambda: LIFETIME_S)
    names = [b"%d" % number for number in range(5)]
    for name in names:
        origins.learn_stream(_memory.digest(name), _origin(), 1.0)
    assert [name for name in names if origins.find(name, 2.0)] == names[2:]
    assert not any(origins.find(name, 1.0 + LIFETIME_S) for name in names)


def test_newest_streams_are_stored_first_and_each_until_it_is_written() -> (
    None
):
    origins = _memory.OriginMemory(lambda: LIFETIME_S)
    for number in range(5):
        origins.note(b"%d" % number, _origin(), float(number))
    streams = [stream for stream, _found in origins.unwritten(5.0, 2)]
    assert streams == [_memory.digest(b"4"), _memory.digest(b"3")]
    origins.mark_written(streams)
    left = [stream for stream, _found in origins.unwritten(5.0, 9)]
    assert left == [_memory.digest(b"%d" % number) for number in (2, 1, 0)]
    origins.forget_writes()
    assert len(origins.unwritten(5.0, 9)) == 5


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
        if name == _stream_rows.STREAM_BEGINS
    ]
    assert len(stored) <= LIFETIME_S / 2.0 + 2


async def test_versions_are_stored_again_after_a_restore() -> None:
    table = memory.MemoryStore(era=1)
    copied = table.copy()
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    origins = harness.new_origins(
        table, "g1", cluster, _metrics.GatewayMetrics(), lambda: 1_000.0
    )
    key = (_version_rows.ENGINE_VERSIONS, "llm")
    await origins.rows.run_once()
    assert key in table.rows
    table.restore(copied)
    assert key not in table.rows
    await origins.rows.run_once()
    assert key in table.rows
