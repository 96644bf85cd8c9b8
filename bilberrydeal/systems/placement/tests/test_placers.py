"""Where prompts are read, for one load a case."""

import collections
import collections.abc

import pytest

from .... import ports
from ... import placement

PREFILL = ports.EngineRole.PREFILL
DECODE = ports.EngineRole.DECODE
DEFERRED = placement.engine_rank(0, deferred=True)
LONG = placement.Prompt(
    (
        placement.PromptPart(b"system", 2_500),
        placement.PromptPart(b"session", 3_800),
        placement.PromptPart(b"own", 2_900),
    ),
    2,
)
SHORT = placement.Prompt(
    (placement.PromptPart(b"a", 50), placement.PromptPart(b"b", 100)), 90
)


def _engine(
    engine_id: str, role: ports.EngineRole = PREFILL, **fields: object
) -> placement.EngineLoad:
    load = placement.EngineLoad(
        engine_id=engine_id,
        failure_domain="d1",
        service="llm",
        role=role,
        slots=64,
        cache=placement.PartCache(1_000_000),
        prefill_tokens_per_s=300_000.0,
    )
    for name, value in fields.items():
        setattr(load, name, value)
    return load


def _busy(
    engine: placement.EngineLoad, urgent: float, deferred: float = 0.0
) -> placement.EngineLoad:
    engine.own.add(urgent, deferred=False)
    engine.own.add(deferred, deferred=True)
    return engine


def _request(
    prompt: placement.Prompt = LONG,
    target_s: float = 0.15,
    left_s: float = 2.0,
    tried: frozenset[str] = frozenset(),
    rank: int = 0,
    begun: bool = False,
) -> placement.Request:
    return placement.Request(
        prompt, target_s, left_s, "d1", tried, rank=rank, begun=begun
    )


def _place(
    engines: collections.abc.Sequence[placement.EngineLoad], **fields: object
) -> placement.Placement | placement.Hopeless:
    placer = placement.PLACERS.get("two_stage")()
    request = _request(**fields)  # type: ignore[arg-type]
    return placer.place(request, engines, 0.0)


def _fleet() -> list[placement.EngineLoad]:
    return [
        *(_engine(f"p{n}") for n in range(3)),
        *(_engine(f"d{n}", DECODE) for n in range(2)),
    ]


def test_a_long_prompt_meets_its_session_again() -> None:
    first = _place(_fleet())
    again = _place(list(reversed(_fleet())))
    assert isinstance(first, placement.Placement)
    assert isinstance(again, placement.Placement)
    assert first.engine_id == again.engine_id


def test_a_busy_home_is_left_for_another_engine() -> None:
    fleet = _fleet()
    home = _place(fleet)
    assert isinstance(home, placement.Placement)
    for engine in fleet:
        if engine.engine_id == home.engine_id:
            _busy(engine, 60_000.0)
    moved = _place(fleet)
    assert isinstance(moved, placement.Placement)
    assert moved.engine_id != home.engine_id
    assert not moved.deferred


def test_a_short_prompt_goes_to_the_decoder_that_reads_nothing() -> None:
    reading = _busy(_engine("d0", DECODE), 0.0, 20_000.0)
    fleet = [_engine("p0"), reading, _engine("d1", DECODE)]
    chosen = _place(fleet, prompt=SHORT)
    assert isinstance(chosen, placement.Placement)
    assert chosen.engine_id == "d1"
    assert not chosen.split


def test_the_main_decoder_reads_no_long_prompt() -> None:
    fleet = _fleet()
    main = placement.main_decoder([e for e in fleet if e.role is DECODE])
    for engine in fleet:
        if engine is not main:
            _busy(engine, 10_000_000.0, 10_000_000.0)
    chosen = _place(fleet)
    assert isinstance(chosen, placement.Hopeless)


def test_the_last_decoder_reads_long_prompts_without_prefill_engines() -> None:
    chosen = _place([_engine("d0", DECODE)])
    assert isinstance(chosen, placement.Placement)
    assert chosen.engine_id == "d0"


@pytest.mark.parametrize(
    ("queued", "outcome"),
    [
        (0.0, "in time"),
        (20_000.0, "in time"),
        (60_000.0, "deferred"),
        (300_000.0, "deferred"),
        (2_000_000.0, "hopeless"),
    ],
)
def test_what_is_late_waits_and_what_is_hopeless_is_refused(
    queued: float, outcome: str
) -> None:
    fleet = _fleet()
    for engine in fleet:
        _busy(engine, queued)
    chosen = _place(fleet)
    if outcome == "hopeless":
        assert isinstance(chosen, placement.Hopeless)
        assert chosen.retry_after_s > 0
    else:
        assert isinstance(chosen, placement.Placement)
        assert chosen.deferred == (outcome == "deferred")


def test_deferred_requests_do_not_delay_those_in_time() -> None:
    fleet = _fleet()
    for engine in fleet:
        _busy(engine, 0.0, 400_000.0)
    chosen = _place(fleet)
    assert isinstance(chosen, placement.Placement)
    assert not chosen.deferred


def test_a_burst_is_served_in_time_as_far_as_engines_can() -> None:
    """400 reviews in 2 s at three readers: what fits is in time.

    The engines read 900,000 tokens a second, and a review has at least
    2,900 of its own: the load is about twice what they can do.
    """
    fleet = _fleet()
    outcomes: collections.Counter[str] = collections.Counter()
    step_s = 0.005
    for number in range(400):
        for engine in fleet:
            speed = engine.prefill_tokens_per_s * step_s
            taken = min(engine.own.urgent, speed)
            engine.own.urgent -= taken
            engine.own.deferred -= min(engine.own.deferred, speed - taken)
        prompt = placement.Prompt(
            (
                placement.PromptPart(b"system", 2_500),
                placement.PromptPart(b"s%d" % (number % 150), 3_800),
                placement.PromptPart(b"o%d" % number, 2_900),
            ),
            2,
        )
        chosen = _place(fleet, prompt=prompt)
        if isinstance(chosen, placement.Hopeless):
            outcomes["refused"] += 1
            continue
        engine = next(e for e in fleet if e.engine_id == chosen.engine_id)
        engine.cache.use(prompt)
        engine.own.add(chosen.missing_tokens, chosen.deferred)
        outcomes["deferred" if chosen.deferred else "in time"] += 1
    assert outcomes["in time"] >= 250
    assert outcomes["refused"] <= 40


def test_engines_that_were_tried_are_left_out() -> None:
    fleet = [_engine("d0", DECODE), _engine("d1", DECODE)]
    chosen = _place(fleet, prompt=SHORT, tried=frozenset(["d0"]))
    assert isinstance(chosen, placement.Placement)
    assert chosen.engine_id == "d1"


def test_reading_times_correct_the_speed() -> None:
    engine = _engine("p0")
    for _ in range(100):
        engine.learn(expected_s=0.02, took_s=0.04)
    assert engine.prefill_tokens_per_s < 20_000 * 1.01
    for _ in range(100):
        engine.learn(expected_s=0.02, took_s=0.02)
    assert engine.prefill_tokens_per_s < 20_000 * 1.01


def test_nothing_is_in_time_while_every_slot_is_taken() -> None:
    """Prompts had been read for engines that could not take them."""
    fleet = _fleet()
    for engine in fleet:
        if engine.role is DECODE:
            engine.own_counts.add(0, 100)
    chosen = _place(fleet)
    assert isinstance(chosen, placement.Placement)
    assert chosen.deferred


def test_deferred_requests_at_decode_engines_delay_nobody_in_time() -> None:
    """A burst had been read late only: those in time saw no free slot."""
    fleet = _fleet()
    for engine in fleet:
        if engine.role is DECODE:
            engine.own_counts.add(0, 40)
            engine.own_counts.add(DEFERRED, 60)
    chosen = _place(fleet)
    assert isinstance(chosen, placement.Placement)
    assert not chosen.deferred


@pytest.mark.parametrize(
    ("deferred", "outcome"),
    [(15, placement.Placement), (16, placement.Hopeless)],
)
def test_deferred_requests_take_a_share_of_the_slots(
    deferred: int, outcome: type
) -> None:
    fleet = _fleet()
    for engine in fleet:
        _busy(engine, 60_000.0)
        if engine.role is DECODE:
            engine.own_counts.add(DEFERRED, deferred)
    chosen = _place(fleet)
    assert isinstance(chosen, outcome)
    if isinstance(chosen, placement.Hopeless):
        assert chosen.retry_after_s == pytest.approx(0.24, abs=0.02)


def test_the_wait_for_a_narrow_link_counts_for_each_send() -> None:
    """A prompt that is read apart crosses the link twice."""
    request = placement.Request(LONG, 0.15, 2.0, "d1", uplink_s=0.06)
    placer = placement.PLACERS.get("two_stage")()
    chosen = placer.place(request, _fleet(), 0.0)
    assert isinstance(chosen, placement.Placement)
    assert not chosen.split
    narrower = placement.Request(LONG, 0.15, 2.0, "d1", uplink_s=0.2)
    late = placer.place(narrower, _fleet(), 0.0)
    assert isinstance(late, placement.Placement)
    assert late.deferred


def _full_of_short_answers(requests: int) -> list[placement.EngineLoad]:
    """Return engines whose slots are taken by long streams of rank 1."""
    fleet = _fleet()
    for engine in fleet:
        engine.slot_times = placement.SlotTimes([0.05, 1.4, 0.5, 0.5, 0.5])
        if engine.role is DECODE:
            engine.own_counts.add(1, requests)
    return fleet


def test_the_most_urgent_need_one_slot_to_become_free() -> None:
    """They had been taken to wait for all streams that wait for a slot."""
    chosen = _place(_full_of_short_answers(110))
    assert isinstance(chosen, placement.Placement)
    assert not chosen.deferred


@pytest.mark.parametrize(
    ("requests", "deferred"),
    [(0, False), (63, False), (66, False), (80, True)],
)
def test_short_prompts_wait_for_a_slot(requests: int, deferred: bool) -> None:
    fleet = _full_of_short_answers(requests)
    chosen = _place(fleet, prompt=SHORT, left_s=15.0, rank=1)
    assert isinstance(chosen, placement.Placement)
    assert chosen.deferred == deferred


def test_the_wait_for_a_slot_grows_with_those_ahead() -> None:
    for requests, expected_s in ((63, 0.0), (64, 0.02), (128, 1.42)):
        engine = _full_of_short_answers(requests)[-1]
        wait_s = engine.slot_wait_s(1, deferred=False)
        assert wait_s == pytest.approx(expected_s, abs=0.01)
        assert engine.slot_wait_s(0, deferred=False) < 0.03


def test_what_was_begun_is_not_refused_for_lack_of_room() -> None:
    fleet = _fleet()
    for engine in fleet:
        _busy(engine, 60_000.0)
        if engine.role is DECODE:
            engine.own_counts.add(DEFERRED, 30)
    assert isinstance(_place(fleet), placement.Hopeless)
    chosen = _place(fleet, begun=True)
    assert isinstance(chosen, placement.Placement)
    assert chosen.deferred


def test_times_that_slots_are_held_are_learnt() -> None:
    times = placement.SlotTimes()
    for _ in range(100):
        times.learn(1, 1.4)
    assert times.held_s[1] == pytest.approx(1.4, abs=0.02)
    assert times.held_s[0] == 0.5


def test_deferred_streams_of_short_prompts_refuse_no_long_ones() -> None:
    """They had been counted against what long prompts may take."""
    fleet = _full_of_short_answers(40)
    for engine in fleet:
        _busy(engine, 60_000.0)
        if engine.role is DECODE:
            engine.own_counts.add(placement.engine_rank(1, True), 30)
    chosen = _place(fleet)
    assert isinstance(chosen, placement.Placement)
    assert chosen.deferred


def test_the_cost_of_a_request_grows_with_the_fleet_no_faster() -> None:
    """Each reader had asked all engines that make tokens for their slots."""
    asked = 0

    class Counted(placement.EngineLoad):
        def slot_wait_s(self, rank: int, deferred: bool) -> float:
            nonlocal asked
            asked += 1
            return super().slot_wait_s(rank, deferred)

    for size in (30, 300):
        fleet = [
            Counted(
                engine_id=f"e{number}",
                failure_domain="d1",
                service="llm",
                role=DECODE if number % 3 else PREFILL,
                slots=64,
                cache=placement.PartCache(100_000),
            )
            for number in range(size)
        ]
        asked = 0
        assert isinstance(_place(fleet), placement.Placement)
        assert asked <= 4 * size


def _placed_by(
    name: str, fleet: list[placement.EngineLoad], **fields: object
) -> placement.Placement | placement.Hopeless:
    request = _request(**fields)  # type: ignore[arg-type]
    return placement.PLACERS.get(name)().place(request, fleet, 0.0)


@pytest.mark.parametrize(
    ("name", "queued", "outcome"),
    [
        ("first_come", 60_000.0, "in line"),
        ("first_come", 2_000_000.0, "refused"),
        ("no_early_refusal", 60_000.0, "deferred"),
        ("no_early_refusal", 2_000_000.0, "deferred"),
        ("no_locality", 60_000.0, "deferred"),
        ("no_locality", 2_000_000.0, "refused"),
    ],
)
def test_baselines_differ_in_what_they_do_with_late_requests(
    name: str, queued: float, outcome: str
) -> None:
    fleet = [_busy(engine, queued) for engine in _fleet()]
    chosen = _placed_by(name, fleet)
    if outcome == "refused":
        assert isinstance(chosen, placement.Hopeless)
    else:
        assert isinstance(chosen, placement.Placement)
        assert chosen.deferred == (outcome == "deferred")


def test_without_locality_a_kept_prompt_counts_in_full() -> None:
    fleet = _fleet()
    for engine in fleet:
        engine.cache.use(LONG)
    chosen = _placed_by("no_locality", fleet)
    assert isinstance(chosen, placement.Placement)
    assert chosen.missing_tokens == LONG.tokens
