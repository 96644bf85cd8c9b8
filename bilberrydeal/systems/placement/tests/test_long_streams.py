"""Long streams beside requests with long prompts that compete for engines."""

import itertools
import random

import pytest

from ... import placement
from . import slot_play

BRIEF = slot_play.BRIEF
STREAM = slot_play.STREAM
#: Streams that come in bursts beside more prompts than are prefilled in time.
BURSTS = [
    slot_play.Phase(4.0, {BRIEF: 100.0, STREAM: 3.0}),
    slot_play.Phase(2.0, {BRIEF: 150.0, STREAM: 8.0}),
    slot_play.Phase(4.0, {BRIEF: 100.0, STREAM: 3.0}),
    slot_play.Phase(2.0, {BRIEF: 150.0, STREAM: 8.0}),
]
#: Requests by rank: two brief ones and six long streams.
COUNTS = [2, 6] + [0] * 8


def _late_by_gaps(play: slot_play.Play) -> float:
    return 1.0 - play.share(STREAM, lambda caller: caller.gaps_in_time)


@pytest.mark.parametrize("seed", [1, 2])
def test_prefills_do_not_delay_the_events_of_streams(seed: int) -> None:
    """Guards against prefills between the events of long streams.

    One engine prefilled no long prompts, and half of the streams were
    elsewhere in bursts.
    """
    played = slot_play.Play(BURSTS, seed=seed).play()
    earlier = slot_play.Play(BURSTS, learns=False, seed=seed).play()
    assert _late_by_gaps(earlier) > 0.1
    assert _late_by_gaps(played) < _late_by_gaps(earlier) / 2
    assert played.share(STREAM, lambda caller: caller.in_time) > 0.92
    brief = [
        play.share(BRIEF, lambda caller: caller.in_time)
        for play in (played, earlier)
    ]
    assert brief[0] > brief[1] - 0.06


@pytest.mark.parametrize(
    ("phases", "slots"),
    [
        ([slot_play.Phase(6.0, {STREAM: 8.0})], 8),
        ([slot_play.Phase(6.0, {BRIEF: 150.0})], 8),
        ([slot_play.Phase(6.0, {BRIEF: 100.0, STREAM: 6.0})], 64),
    ],
)
def test_nothing_changes_where_slots_are_not_contended(
    phases: list[slot_play.Phase], slots: int
) -> None:
    """Guards against other placements with one rank or slots in plenty."""
    callers = [
        [
            (caller.refused, caller.events_s)
            for caller in slot_play.Play(phases, slots=slots, learns=learns)
            .play()
            .callers
        ]
        for learns in (True, False)
    ]
    assert callers[0] == callers[1]


def test_lost_reports_of_a_gateway_change_little() -> None:
    """Guards against gateways that name other engines once reports are lost.

    One gateway hears nothing and is not heard for three seconds.
    """
    play = slot_play.Play(BURSTS)
    apart = play.gateways[0]
    play.is_lost = lambda sender, receiver: (
        apart in (sender, receiver) and 4.5 <= play.now_s < 7.5
    )
    play.play()
    assert play.share(STREAM, lambda caller: caller.in_time) > 0.9
    needed = [gateway.streams.slots_needed for gateway in play.gateways]
    assert max(needed) < 1.35 * min(needed)
    assert {gateway.streams.ranks for gateway in play.gateways} == {
        frozenset({STREAM.rank})
    }


def test_another_engine_takes_the_place_of_one_that_leaves() -> None:
    """Guards against streams without a protected engine once one leaves."""
    play = slot_play.Play(BURSTS)
    decode = [
        load
        for load in play.gateways[0].loads.values()
        if not load.prefill_only
    ]
    main = placement.main_decode_engine(decode)
    play.at(5.0, lambda: play.gone.add(main.engine_id))
    play.play()
    after = play.share(STREAM, lambda caller: caller.gaps_in_time, from_s=5.0)
    assert after > 0.9


def _decode_engines(count: int, slots: int = 8) -> list[placement.EngineLoad]:
    play = slot_play.Play([], decode_engines=count, slots=slots, gateways=1)
    return [
        load
        for load in play.gateways[0].loads.values()
        if not load.prefill_only
    ]


def _observe(
    streams: placement.LongStreams,
    streams_in_use: int,
    from_s: float,
    to_s: float,
    rng: random.Random,
) -> None:
    """Play reports in which streams change slowly and others at once."""
    for step in range(int(from_s * 10), int(to_s * 10)):
        brief = rng.randint(0, 6)
        arrived = streams_in_use + (step % 3 == 0)
        streams.record("g", {"e": [brief, arrived]}, step / 10)
        streams.observe(step / 10)


def test_engines_are_given_up_only_once_the_surplus_lasts() -> None:
    """Guards against sizes that follow each burst."""
    engines = _decode_engines(9)
    streams = placement.LongStreams()
    rng = random.Random(1)
    _observe(streams, 18, 0.0, 30.0, rng)
    assert streams.ranks == {1}
    assert len(streams.protected(engines)) == 3
    _observe(streams, 2, 30.0, 45.0, rng)
    assert len(streams.protected(engines)) == 3
    _observe(streams, 2, 45.0, 120.0, rng)
    assert len(streams.protected(engines)) == 1


def test_gateways_name_the_same_engines_in_the_same_order() -> None:
    """Guards against sets that share no engines when sizes differ."""
    engines = _decode_engines(9)
    ordered = placement.by_rendezvous_score(engines)
    streams = placement.LongStreams()
    for needed in (0.0, 9.0, 17.0, 500.0):
        streams.slots_needed = needed
        named = streams.protected(list(reversed(engines)))
        assert named == ordered[: len(named)]
    assert len(named) == len(engines) - 1
    assert streams.protected(engines[:1]) == engines[:1]


@pytest.mark.parametrize(
    "counts", [[], [1], [-5, 3], [10**30, 1], [1] * 40, [0] * 10]
)
def test_counts_of_another_release_are_read(counts: list[int]) -> None:
    """Guards against reports that end a process or need endless slots."""
    streams = placement.LongStreams()
    for step in range(100):
        streams.record("other", {"e1": counts}, step / 10)
        streams.record("other", {}, step / 10)
        streams.record("g", {"e1": COUNTS}, step / 10)
        streams.observe(step / 10)
    assert 0.0 <= streams.slots_needed < 1e7


def test_silent_gateway_is_forgotten() -> None:
    """Guards against slots in use that are counted for a dead gateway."""
    streams = placement.LongStreams()
    for step, name in itertools.product(range(100), ("g1", "g2")):
        streams.record(name, {"e1": [step % 2, 5]}, step / 10)
        streams.observe(step / 10)
    streams.expire(20.0)
    streams.observe(20.0)
    for step in range(1_000):
        streams.observe(20.0 + step / 10)
    assert streams.slots_needed < 1.0


@pytest.mark.parametrize(
    ("counts", "isolated"), [({"e1": [1]}, True), ({}, False)]
)
def test_gateway_without_requests_is_not_missed(
    counts: dict[str, list[int]], isolated: bool
) -> None:
    """Guards against slots that are not lent while other gateways are idle."""
    streams = placement.LongStreams()
    streams.record("other", counts, 0.0)
    streams.expire(0.5)
    streams.expire(0.6)
    assert streams.isolated == isolated
    streams.record("other", {"e1": [1]}, 0.7)
    assert not streams.isolated


def test_requests_from_before_a_silence_are_no_new_ones() -> None:
    """Guards against hold times that are too short after lost reports."""
    counts = {"e1": [4, 4]}
    heard, silent = placement.LongStreams(), placement.LongStreams()
    for streams in (heard, silent):
        for step in range(80):
            requests = [step % 2 * 4, (step // 20) % 2 * 4]
            streams.record("other", {"e1": requests}, step / 10)
            streams.observe(step / 10)
    assert heard.long_held_s > 0.0
    silent.expire(8.5)
    for streams in (heard, silent):
        streams.record("other", counts, 9.0)
    assert silent.long_held_s == pytest.approx(heard.long_held_s)
    assert silent.report_s <= heard.report_s
