"""Slots of protected engines while one rank or the other has a burst."""

import collections.abc

import attrs
import pytest

from ... import placement
from . import slot_play

BRIEF = slot_play.BRIEF
STREAM = slot_play.STREAM
#: Speed at which engines prefill what comes without a burst.
TOKENS_PER_S = 250_000.0
#: When the bursts begin and end, in seconds.
BURST = (5.0, 8.0)
BRIEF_BURST = [
    slot_play.Phase(5.0, {BRIEF: 234.0, STREAM: 8.0}),
    slot_play.Phase(3.0, {BRIEF: 700.0, STREAM: 8.0}),
    slot_play.Phase(2.0, {BRIEF: 234.0, STREAM: 8.0}),
]
STREAM_BURST = [
    slot_play.Phase(5.0, {BRIEF: 234.0, STREAM: 5.0}),
    slot_play.Phase(3.0, {BRIEF: 234.0, STREAM: 29.0}),
    slot_play.Phase(2.0, {BRIEF: 234.0, STREAM: 5.0}),
]


def _in_time(play: slot_play.Play, kind: slot_play.Kind) -> float:
    return play.share(kind, lambda caller: caller.in_time, *BURST)


def _plays(
    phases: list[slot_play.Phase], seed: int
) -> tuple[slot_play.Play, slot_play.Play]:
    """Return a play and one that places as before."""
    played, earlier = (
        slot_play.Play(
            phases, tokens_per_s=TOKENS_PER_S, seed=seed, learns=learns
        ).play()
        for learns in (True, False)
    )
    return played, earlier


@pytest.mark.parametrize("seed", [1, 2])
def test_streams_get_slots_in_a_burst_of_brief_requests(seed: int) -> None:
    """Guards against streams that wait behind more urgent brief requests.

    Brief requests filled the slots of all engines, and queued there.
    """
    played, earlier = _plays(BRIEF_BURST, seed)
    assert _in_time(earlier, STREAM) < 0.96
    assert _in_time(played, STREAM) > 0.96
    assert _in_time(played, BRIEF) > _in_time(earlier, BRIEF) - 0.03


@pytest.mark.parametrize("seed", [1, 2])
def test_brief_requests_keep_slots_in_a_burst_of_streams(seed: int) -> None:
    """Guards against protected engines that leave the others no slots."""
    played, earlier = _plays(STREAM_BURST, seed)
    assert _in_time(played, BRIEF) > _in_time(earlier, BRIEF) - 0.03
    assert _in_time(played, STREAM) > _in_time(earlier, STREAM) - 0.03
    gaps = played.share(STREAM, lambda caller: caller.gaps_in_time, *BURST)
    assert gaps > 0.97


def _lose_reports(play: slot_play.Play) -> None:
    """Let one gateway hear nothing for the burst, nor be heard."""
    apart = play.gateways[0]
    play.is_lost = lambda sender, receiver: (
        apart in (sender, receiver) and BURST[0] <= play.now_s < BURST[1]
    )


def _remove_main(play: slot_play.Play) -> None:
    """Let the first protected engine leave as the burst begins."""
    main = placement.main_decode_engine(
        [
            load
            for load in play.gateways[0].loads.values()
            if not load.prefill_only
        ]
    )
    play.at(BURST[0], lambda: play.gone.add(main.engine_id))


@pytest.mark.parametrize("fail", [_lose_reports, _remove_main])
def test_streams_get_slots_beside_a_failure(
    fail: collections.abc.Callable[[slot_play.Play], None],
) -> None:
    """Guards against kept slots that are lent twice or lost.

    A gateway that hears of no other does not know what these have lent.
    """
    shares = {}
    for learns in (True, False):
        plays = [
            slot_play.Play(
                BRIEF_BURST,
                tokens_per_s=TOKENS_PER_S,
                seed=seed,
                learns=learns,
            )
            for seed in (1, 2)
        ]
        for play in plays:
            fail(play)
            play.play()
        shares[learns] = [
            sum(_in_time(play, kind) for play in plays) / len(plays)
            for kind in (STREAM, BRIEF)
        ]
    assert shares[True][0] > max(shares[False][0] + 0.1, 0.75)
    assert shares[True][1] > shares[False][1] - 0.05


def _learned() -> list[placement.EngineLoad]:
    """Return engines after 20 s with eight streams and brief requests."""
    play = slot_play.Play([], gateways=1, prefill_engines=0, decode_engines=4)
    gateway = play.gateways[0]
    for step in range(400):
        now_s = step / 20
        counts = {
            "e0": [step % 2, 4 + (step // 2) % 2],
            "e1": [1 - step % 2, 4],
        }
        gateway.streams.record("g", counts, now_s)
        gateway.streams.observe(now_s)
    assert gateway.streams.ranks == {1}
    return placement.by_rendezvous_score(gateway.loads.values())


def test_brief_requests_borrow_while_slots_are_idle() -> None:
    """Guards against kept slots that stand idle."""
    engines = _learned()
    main = engines[0]
    assert main in placement.preferred(0, engines, engines)
    main.own_counts.add(STREAM.rank, main.slots - 1)
    assert main not in placement.preferred(0, engines, engines)
    assert placement.preferred(STREAM.rank, engines, engines)


@pytest.mark.parametrize(("target_s", "lent"), [(0.01, False), (60.0, True)])
def test_slots_are_lent_that_the_owner_may_wait_for(
    target_s: float, lent: bool
) -> None:
    """Guards against slots kept for streams that have time."""
    engines = _learned()
    main = engines[0]
    main.own_counts.add(BRIEF.rank, main.slots - 2)
    main.long_streams.record_target(STREAM.rank, target_s)
    assert (main in placement.preferred(0, engines, engines)) == lent


def test_requests_that_have_run_are_placed_anyhow() -> None:
    """Guards against a refusal that loses what an engine has done."""
    engines = _learned()
    for engine in engines:
        count = engine.slots
        if engine not in engines[0].long_streams.protected(engines):
            count *= 2
        engine.own_counts.add(BRIEF.rank, count)
    request = placement.Request(
        placement.Prompt((placement.PromptPart(b"a", 100),), 90),
        target_s=5.0,
        time_left_s=5.0,
        failure_domain="d1",
    )
    placer = placement.TwoStagePlacer()
    refused = placer.place(request, engines, 20.0)
    assert isinstance(refused, placement.DeadlineUnreachable)
    resumed = attrs.evolve(request, may_have_run=True)
    placed = placer.place(resumed, engines, 20.0)
    assert isinstance(placed, placement.Placement)
