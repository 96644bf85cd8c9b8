"""Requests that fill the memory of engines before their slots."""

import collections.abc
import typing

import attrs
import pytest

from .... import ports
from ... import placement
from . import slot_play

CAPACITY_TOKENS = 305_000
#: Long prompts that are worth little; 30 of them fill the memory.
BRIEF = slot_play.Kind(
    "brief", 2, (2_500, 3_800, 2_890), 1_500, 20, 0.532, gap_s=0.2
)
STREAM = attrs.evolve(slot_play.STREAM, rank=0, gap_s=0.2)
#: More long prompts than the memory holds, beside streams.
FULL = [
    slot_play.Phase(3.0, {BRIEF: 72.0, STREAM: 6.0}),
    slot_play.Phase(4.0, {BRIEF: 120.0, STREAM: 6.0}),
]

Fail = collections.abc.Callable[[slot_play.Play], None]


def _new_play(
    counts_memory: bool, seed: int = 1, **fields: int
) -> slot_play.Play:
    values: dict[str, typing.Any] = {
        "slots": 48,
        "memory_tokens": CAPACITY_TOKENS,
        **fields,
    }
    return slot_play.Play(
        FULL,
        prefill_engines=3,
        decode_engines=3,
        tokens_per_s=200_000.0,
        counts_memory=counts_memory,
        seed=seed,
        **values,
    )


def _stops(play: slot_play.Play) -> int:
    return sum(caller.stops for caller in play.callers)


def _in_time(play: slot_play.Play, kind: slot_play.Kind) -> float:
    return play.share(kind, lambda caller: caller.in_time)


@pytest.mark.parametrize("seed", [1, 2])
def test_full_engines_stop_no_requests(seed: int) -> None:
    """Guards against prompts that are prefilled again and delay all others."""
    played = _new_play(True, seed).play()
    earlier = _new_play(False, seed).play()
    assert _stops(earlier) > 20
    assert _stops(played) <= 2
    assert _in_time(played, STREAM) > 0.96
    assert _in_time(played, STREAM) > _in_time(earlier, STREAM)
    assert _in_time(played, BRIEF) > _in_time(earlier, BRIEF) + 0.1


def _lose_reports(play: slot_play.Play) -> None:
    """Let one gateway hear nothing for three seconds, nor be heard."""
    apart = play.gateways[0]
    play.is_lost = lambda sender, receiver: (
        apart in (sender, receiver) and 3.0 <= play.now_s < 6.0
    )


def _remove_engine(play: slot_play.Play) -> None:
    """Let an engine that decodes leave."""
    name = next(
        name
        for name, engine in play.engines.items()
        if not engine.prefill_only
    )
    play.at(4.0, lambda: play.gone.add(name))


@pytest.mark.parametrize("fail", [_lose_reports, _remove_engine])
def test_memory_is_counted_beside_a_failure(fail: Fail) -> None:
    """Guards against memory that is promised twice, or for an engine gone."""
    played, earlier = _new_play(True), _new_play(False)
    for play in (played, earlier):
        fail(play)
        play.play()
    assert _stops(played) < _stops(earlier) / 2
    assert _in_time(played, STREAM) >= _in_time(earlier, STREAM)
    assert _in_time(played, BRIEF) > _in_time(earlier, BRIEF)


@pytest.mark.parametrize(
    "fields", [{"memory_tokens": 3_000_000}, {"slots": 8}]
)
def test_nothing_changes_where_memory_is_plenty(
    fields: dict[str, int],
) -> None:
    """Guards against other placements where slots bind before memory."""
    callers = [
        [
            (caller.refused, caller.events_s)
            for caller in _new_play(counts, **fields).play().callers
        ]
        for counts in (True, False)
    ]
    assert callers[0] == callers[1]


def _engine(name: str) -> placement.EngineLoad:
    return placement.EngineLoad(
        engine_id=name,
        failure_domain="d1",
        service="llm",
        role=ports.EngineRole.DECODE,
        slots=48,
        cache=placement.PartCache(1),
        kv_capacity_tokens=CAPACITY_TOKENS,
    )


def _request(rank: int, tokens: int = 9_000) -> placement.Request:
    return placement.Request(
        placement.Prompt((placement.PromptPart(b"a", tokens),), 90),
        target_s=5.0,
        time_left_s=5.0,
        failure_domain="d1",
        rank=rank,
    )


def _fill(engine: placement.EngineLoad, rank: int, tokens: int) -> None:
    engine.own_counts.add(rank, 20)
    placement.add_promised(engine.own_promised, rank, tokens)


def test_engine_with_room_is_chosen_and_others_are_not() -> None:
    """Guards against a full engine with free slots that is chosen."""
    full, free = _engine("full"), _engine("free")
    _fill(full, 1, 290_000)
    free.own_counts.add(1, 40)
    placer = placement.TwoStagePlacer()
    placed = placer.place(_request(1), [full, free], 0.0)
    assert isinstance(placed, placement.Placement)
    assert placed.engine_id == "free"
    assert placer.decode_engine(_request(1), "", [full, free]) == "free"


@pytest.mark.parametrize(("rank", "refused"), [(0, False), (1, True)])
def test_refusal_tells_when_there_is_room(rank: int, refused: bool) -> None:
    """Guards against urgent requests that wait for less urgent ones.

    Others are told when to come back, since an engine would start them.
    """
    full = _engine("full")
    _fill(full, 1, 289_000)
    outcome = placement.TwoStagePlacer().place(_request(rank), [full], 0.0)
    assert isinstance(outcome, placement.DeadlineUnreachable) == refused
    if isinstance(outcome, placement.DeadlineUnreachable):
        assert outcome.no_memory
        assert 0.0 < outcome.retry_after_s < 1.0


def test_prompt_larger_than_the_memory_is_placed_at_an_idle_engine() -> None:
    """Guards against refusals without end."""
    request = attrs.evolve(
        _request(1, 400_000), target_s=60.0, time_left_s=60.0
    )
    outcome = placement.TwoStagePlacer().place(request, [_engine("idle")], 0.0)
    assert isinstance(outcome, placement.Placement)


def test_peers_of_another_release_hold_nothing_that_is_known() -> None:
    """Guards against reports with fewer or more ranks than are known."""
    engine = _engine("e1")
    peers = placement.PeerLoads()
    for name, promised in (("old", ()), ("new", (5, 6, 7, 8, 9, 10))):
        load = placement.GatewayEngineLoad("e1", 0, 0, [1], promised=promised)
        peers.update(name, 1, [load], 0.0)
    peers.apply({"e1": engine}.get)
    assert engine.peer_promised == [5, 6, 7, 8, 9]
    peers.drop_stale(5.0)
    peers.apply({"e1": engine}.get)
    assert engine.promised_tokens == 0


def test_expected_output_is_counted_before_the_limit() -> None:
    """Guards against requests that hold far less than is counted."""
    prompt = placement.Prompt((placement.PromptPart(b"a", 100),), 5_000)
    assert prompt.held_tokens == 5_100
    hinted = attrs.evolve(prompt, output_hint_tokens=300)
    assert hinted.held_tokens == 400
