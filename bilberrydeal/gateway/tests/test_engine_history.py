"""Streams of engines that started again as another software version."""

import attrs
import pytest

from ... import catalogue
from ... import errors
from ... import ports
from .. import core
from ..core import _metrics
from ..origins import _engine_history
from ..origins import _origins
from . import harness
from . import loopback
from . import memory
from . import resumptions

LIFETIME_S = 30.0
#: Interval between two looks at the endpoints, in seconds.
LOOK_S = 0.2


def _engine(
    endpoint_id: str, started_ms: int, version: str
) -> catalogue.Endpoint:
    return attrs.evolve(
        loopback.engine(ports.EngineRole.DECODE),
        endpoint_id=endpoint_id,
        started_ms=started_ms,
        software_version=version,
    )


class _Gateway:
    """What a gateway knows of streams, with an engine of each version."""

    def __init__(self) -> None:
        self.now_s = 1_000.0
        self.cluster = loopback.cluster(ports.EngineRole.DECODE)
        self.origins: _origins.Origins = harness.new_origins(
            memory.MemoryStore(),
            "g1",
            self.cluster,
            _metrics.GatewayMetrics(),
            lambda: self.now_s,
        )
        for endpoint in (_engine("o1", 1, "v1"), _engine("o2", 1, "v2")):
            self.cluster.set_endpoint(endpoint)

    def look(self, *runs: tuple[str, int, str]) -> None:
        """Let engines start, each look at the endpoints sees one more."""
        for run in runs:
            self.cluster.set_endpoint(_engine(*run))
            self.now_s += LOOK_S
            self.origins.rows.observe()

    async def resolve(self, origin: core.StreamOrigin) -> core.StreamOrigin:
        """Return what a stream is bound to that an origin began."""
        begun = resumptions.admitted(b"r1", self.now_s)
        self.origins.resolver.note(begun, origin)
        resumed = resumptions.admitted(b"r2", self.now_s, resumed_id=b"r1")
        return await self.origins.resolver.resolve(resumed)


@pytest.mark.parametrize(
    ("later", "lapses", "idle_s", "resumes"),
    [
        pytest.param([], False, 0.0, True, id="never"),
        pytest.param([], True, 0.0, True, id="never, lapsed"),
        pytest.param([("d1", 2, "v2")], False, 0.0, False, id="present"),
        pytest.param([("d1", 2, "v2")], True, 0.0, False, id="lapsed"),
        pytest.param(
            [("d1", 2, "v2")], True, LIFETIME_S - 1.0, False, id="late"
        ),
        pytest.param(
            [("d1", 2, "v2")], True, LIFETIME_S + 1.0, True, id="lifetime"
        ),
        pytest.param(
            [("d1", 2, "v2")], False, LIFETIME_S + 1.0, False, id="remains"
        ),
        pytest.param(
            [("d1", 2, "v2"), ("d1", 3, "v1")], False, 0.0, False, id="third"
        ),
        pytest.param(
            [("d1", 2, "v2"), ("d1", 3, "v1")],
            True,
            0.0,
            False,
            id="third, lapsed",
        ),
        pytest.param(
            [("d1", 2, "v2"), ("d1", 3, "v1")],
            False,
            LIFETIME_S + 1.0,
            True,
            id="third, lifetime",
        ),
        pytest.param([("d1", 2, "v1")], True, 0.0, True, id="same version"),
        pytest.param([("d2", 2, "v2")], True, 0.0, True, id="other id"),
    ],
)
async def test_streams_of_an_engine_that_became_another_are_refused(
    later: list[tuple[str, int, str]],
    lapses: bool,
    idle_s: float,
    resumes: bool,
) -> None:
    gateway = _Gateway()
    gateway.look(("d1", 1, "v1"), *later)
    if lapses:
        gateway.cluster.remove_endpoint("d1", "lapsed")
        gateway.cluster.remove_endpoint("d2", "lapsed")
    gateway.now_s += idle_s
    began = core.StreamOrigin.of(_engine("d1", 1, "v1"))
    if resumes:
        assert await gateway.resolve(began) == began
        return
    with pytest.raises(errors.Refusal, match="doubtful"):
        await gateway.resolve(began)


@pytest.mark.parametrize(
    ("runs", "lapses"),
    [
        ([("d1", 1, "v1"), ("d1", 2, "v2")], False),
        ([("d1", 1, "v1"), ("d1", 2, "v2")], True),
        ([("d1", 1, "v1"), ("d1", 2, "v2"), ("d1", 3, "v1")], False),
        ([("d1", 1, "v1"), ("d1", 2, "v2"), ("d1", 3, "v1")], True),
    ],
)
async def test_streams_of_the_last_start_are_taken_up(
    runs: list[tuple[str, int, str]], lapses: bool
) -> None:
    gateway = _Gateway()
    gateway.look(*runs)
    if lapses:
        gateway.cluster.remove_endpoint("d1", "lapsed")
    began = core.StreamOrigin.of(_engine(*runs[-1]))
    assert await gateway.resolve(began) == began


def test_engines_of_one_lifetime_are_remembered() -> None:
    history = _engine_history.EngineHistory(lambda: LIFETIME_S)
    for number in range(20_000):
        history.observe(_engine(f"d{number}", 2, "v2"), 1.0)
    history.observe(_engine("d7", 2, "v2"), 2.0 + LIFETIME_S / 2)
    first = core.StreamOrigin("llm", "d0", 1, "v1")
    seen_again = core.StreamOrigin("llm", "d7", 1, "v1")
    assert history.began_anew(first, LIFETIME_S)
    assert not history.began_anew(first, 1.0 + LIFETIME_S)
    assert history.began_anew(seen_again, 1.0 + LIFETIME_S)
    assert list(history._seen) == [("d7", "v2")]
