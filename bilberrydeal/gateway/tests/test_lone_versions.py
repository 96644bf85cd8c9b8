"""Software versions with one decode engine beside others with several."""

import attrs
import pytest

from ... import ports
from ..cluster_state import _cluster_state
from . import configurations
from . import harness
from . import loopback
from . import scripted

#: A prompt that its decode engine prefills itself.
SHORT = {"token_usage": "120,10", "prefix_hash": "aa:50,bb:70"}
#: Slots of an engine.
SLOTS = 64


async def _decode(call: scripted.Call) -> bytes:
    first = int(call.field("last-event-id") or 0) + 1
    return scripted.complete_stream(call, first, 5)


def _cluster(engines: str) -> _cluster_state.ClusterState:
    """Return a gateway's view of engines as role and version.

    They are named by their positions.
    """
    cluster = loopback.cluster(ports.EngineRole.DECODE)
    cluster.remove_endpoint("e1", "no longer listed")
    for number, name in enumerate(engines.split()):
        cluster.set_endpoint(
            attrs.evolve(
                loopback.engine(
                    ports.EngineRole.DECODE
                    if name[0] == "d"
                    else ports.EngineRole.PREFILL
                ),
                endpoint_id=str(number),
                software_version=name[1],
                slots=SLOTS,
            )
        )
    return cluster


def _decoding(
    cluster: _cluster_state.ClusterState, version: str | None = None
) -> str:
    found = cluster.engines("llm", b"a", 1.0, version)
    return "".join(
        sorted(load.engine_id for load in found if not load.prefill_only)
    )


@pytest.mark.parametrize(
    ("engines", "requests", "begin"),
    [
        ("d1 d1 d2 p2", 0, "01"),
        # The others have little more than twice the share of slots free.
        ("d1 d1 d2 p2", 14, "01"),
        ("d1 d1 d2 p2", 15, "012"),
        ("d1 " * 9 + "d2 p2", 46, "012345678"),
        ("d1 " * 9 + "d2 p2", 47, "0123456789"),
        # No other engine of the version would take its streams.
        ("d1 d1 d2 p1", 0, "012"),
        # No version has two.
        ("d1 d2 p1 p2", 0, "01"),
        ("d1 d1 d2 d2", 0, "0123"),
        # Too large a part of the engines.
        ("d1 d1 d2 d3 p2 p3", 0, "0123"),
        ("d1 d1 d1 d1 d2 d3 p2 p3", 0, "0123"),
    ],
)
def test_streams_begin_where_another_engine_could_take_them(
    engines: str, requests: int, begin: str
) -> None:
    cluster = _cluster(engines)
    for load in cluster.loads():
        load.peer_counts.add(1, requests)
    assert _decoding(cluster) == begin


def test_streams_go_on_at_a_version_with_one_decode_engine() -> None:
    assert _decoding(_cluster("d1 d1 d2 p2"), "2") == "2"


def test_streams_begin_at_the_only_engine_that_takes_them() -> None:
    cluster = _cluster("d1 d1 d2 p2")
    for engine_id in ("0", "1"):
        cluster.endpoints[engine_id].paused_until_s = 60.0
    assert _decoding(cluster) == "2"


def test_engine_that_changes_its_role_makes_no_pair() -> None:
    cluster = _cluster("d1 d1 d2 d2")
    cluster.endpoints["3"].changing_until_s = 60.0
    assert _decoding(cluster) == "01"


async def test_streams_can_be_resumed_after_the_loss_of_any_engine() -> None:
    """Of those of the only decode engine of a version none went on."""
    engines = [
        scripted.engine(name, "decode", _decode) for name in ("d1", "d2", "d3")
    ]
    engines.append(scripted.engine("p3", "prefill", _decode))
    for engine, version in zip(engines, "1122", strict=True):
        engine.software_version = version
    async with harness.running(*engines) as running:
        for name in ("d1", "d2"):
            running.set_peer_tokens(name, 1_000)
        for _ in range(4):
            await running.stream(**SHORT)
        running.cluster.remove_endpoint("d3", "no longer listed")
        replies = [
            await running.stream(
                last_event_id="2", resumes=f"r{number}", **SHORT
            )
            for number in range(1, 5)
        ]
    assert [reply.status for reply in replies] == [200] * 4


async def test_streams_begin_at_once_where_the_pair_has_died() -> None:
    """Only engines that refuse connections were asked, and no other one."""
    engines = [
        scripted.engine(name, "decode", _decode) for name in ("d1", "d2", "d3")
    ]
    engines.append(scripted.engine("p3", "prefill", _decode))
    for engine, version in zip(engines, "1122", strict=True):
        engine.software_version = version
    async with harness.running(*engines) as running:
        for engine in engines[:2]:
            listed = configurations.registration(engine)
            running.cluster.set_endpoint(attrs.evolve(listed, port=1))
        replies = [await running.stream(**SHORT) for _ in range(6)]
    assert [reply.status for reply in replies] == [200] * 6
