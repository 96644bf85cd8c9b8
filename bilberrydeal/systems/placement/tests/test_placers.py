"""Tests of the placers, each with one load situation."""

import collections
import collections.abc

import pytest

from .... import ports
from ... import placement

#: Prefill speed of the engines.
TOKENS_PER_S = 300_000.0
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
        speed=placement.EngineSpeed(
            placement.ServiceSpeed(
                prefill=placement.Line(0.0, 1 / TOKENS_PER_S),
                transfer=placement.Line(0.012, 0.0),
            )
        ),
    )
    for name, value in fields.items():
        setattr(load, name, value)
    return load


def _busy(
    engine: placement.EngineLoad, urgent: float, deferred: float = 0.0
) -> placement.EngineLoad:
    engine.own_tokens.add(urgent, deferred=False)
    engine.own_tokens.add(deferred, deferred=True)
    return engine


def _request(**fields: object) -> placement.Request:
    values: dict[str, object] = {
        "prompt": LONG,
        "target_s": 0.15,
        "time_left_s": 2.0,
        "failure_domain": "d1",
        **fields,
    }
    return placement.Request(**values)  # type: ignore[arg-type]


def _place(
    engines: collections.abc.Sequence[placement.EngineLoad], **fields: object
) -> placement.Outcome:
    placer = placement.PLACERS.get("two_stage")()
    request = _request(**fields)
    return placer.place(request, engines, 0.0)


def _fleet() -> list[placement.EngineLoad]:
    return [
        *(_engine(f"p{n}") for n in range(3)),
        *(_engine(f"d{n}", DECODE) for n in range(2)),
    ]


def test_long_prompts_of_a_session_go_to_the_same_engine() -> None:
    first = _place(_fleet())
    again = _place(list(reversed(_fleet())))
    assert isinstance(first, placement.Placement)
    assert isinstance(again, placement.Placement)
    assert first.engine_id == again.engine_id


def test_busy_affinity_engine_is_avoided() -> None:
    fleet = _fleet()
    preferred = _place(fleet)
    assert isinstance(preferred, placement.Placement)
    for engine in fleet:
        if engine.engine_id == preferred.engine_id:
            _busy(engine, 60_000.0)
    moved = _place(fleet)
    assert isinstance(moved, placement.Placement)
    assert moved.engine_id != preferred.engine_id
    assert not moved.deferred


def test_short_prompt_goes_to_a_decode_engine_without_prefill_queue() -> None:
    prefilling = _busy(_engine("d0", DECODE), 0.0, 20_000.0)
    fleet = [_engine("p0"), prefilling, _engine("d1", DECODE)]
    chosen = _place(fleet, prompt=SHORT)
    assert isinstance(chosen, placement.Placement)
    assert chosen.engine_id == "d1"
    assert not chosen.separate_decode


def test_main_decode_engine_prefills_no_long_prompt() -> None:
    fleet = _fleet()
    main = placement.main_decode_engine([e for e in fleet if e.role is DECODE])
    for engine in fleet:
        if engine is not main:
            _busy(engine, 10_000_000.0, 10_000_000.0)
    chosen = _place(fleet)
    assert isinstance(chosen, placement.DeadlineUnreachable)


def test_only_decode_engine_prefills_long_prompts() -> None:
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
        (2_000_000.0, "refused"),
    ],
)
def test_late_requests_are_deferred_or_refused(
    queued: float, outcome: str
) -> None:
    fleet = _fleet()
    for engine in fleet:
        _busy(engine, queued)
    chosen = _place(fleet)
    if outcome == "refused":
        assert isinstance(chosen, placement.DeadlineUnreachable)
        assert chosen.retry_after_s > 0
    else:
        assert isinstance(chosen, placement.Placement)
        assert chosen.deferred == (outcome == "deferred")


@pytest.mark.parametrize(
    ("tokens", "requests", "deferred"),
    [
        # Prompts of 3,000 and 40,000 tokens; the target allows some 30,000.
        (400_000.0, 133, False),
        (200_000.0, 5, True),
        (0.0, 0, False),
    ],
)
def test_urgent_requests_wait_for_one_deferred_prefill(
    tokens: float, requests: int, deferred: bool
) -> None:
    """A prefill that has begun is finished before a more urgent one.

    At most 3,000 tokens were once expected, the size of one fleet's prompts.
    """
    fleet = _fleet()
    for engine in fleet:
        if engine.prefill_only:
            engine.slots = 100
            engine.own_counts.add(DEFERRED, requests)
            _busy(engine, 0.0, tokens)
        else:
            engine.own_counts.add(0, engine.slots // 2)
    chosen = _place(fleet)
    assert isinstance(chosen, placement.Placement)
    assert chosen.deferred == deferred


def _cached_at(
    fleet: list[placement.EngineLoad], engine_id: str
) -> placement.EngineLoad:
    engine = next(each for each in fleet if each.engine_id == engine_id)
    engine.cache.record(LONG)
    return engine


@pytest.mark.parametrize(
    ("fetch_token_s", "fetched"), [(1e-7, True), (1e-5, False)]
)
def test_cached_parts_are_fetched_where_that_saves_time(
    fetch_token_s: float, fetched: bool
) -> None:
    """The engine that has a prompt cached is busy, so another one serves."""
    service = placement.ServiceSpeed(
        prefill=placement.Line(0.0, 1 / TOKENS_PER_S),
        transfer=placement.Line(0.012, 0.0),
    )
    service.fetch_token_s = fetch_token_s
    fleet = _fleet()
    for engine in fleet:
        engine.speed = placement.EngineSpeed(service)
    _busy(_cached_at(fleet, "p0"), 60_000.0)
    chosen = _place(fleet)
    assert isinstance(chosen, placement.Placement)
    assert chosen.engine_id != "p0"
    assert chosen.fetch_from == ("p0" if fetched else None)
    if fetched:
        assert chosen.uncached_tokens < 10
    else:
        assert chosen.uncached_tokens > 5_000


def test_nothing_is_fetched_by_the_engine_that_has_it() -> None:
    fleet = _fleet()
    _cached_at(fleet, "p0")
    chosen = _place(fleet)
    assert isinstance(chosen, placement.Placement)
    assert chosen.engine_id == "p0"
    assert chosen.fetch_from is None


def test_single_attempt_left_is_not_spent_on_a_prefill() -> None:
    chosen = _place(_fleet(), may_separate=False)
    assert isinstance(chosen, placement.Placement)
    assert not chosen.separate_decode


def test_burst_is_served_in_time_up_to_capacity() -> None:
    """An overload must not make requests late that fit the capacity.

    400 requests arrive within 2 s at three prefill engines that process
    900,000 tokens per second. Each request has at least 2,900 tokens that are
    not shared, so the load is about twice the capacity.
    """
    fleet = _fleet()
    outcomes: collections.Counter[str] = collections.Counter()
    step_s = 0.005
    for number in range(400):
        for engine in fleet:
            speed = TOKENS_PER_S * step_s
            prefilled = min(engine.own_tokens.urgent, speed)
            engine.own_tokens.urgent -= prefilled
            engine.own_tokens.deferred -= min(
                engine.own_tokens.deferred, speed - prefilled
            )
        prompt = placement.Prompt(
            (
                placement.PromptPart(b"system", 2_500),
                placement.PromptPart(b"s%d" % (number % 150), 3_800),
                placement.PromptPart(b"o%d" % number, 2_900),
            ),
            2,
        )
        chosen = _place(fleet, prompt=prompt)
        if isinstance(chosen, placement.DeadlineUnreachable):
            outcomes["refused"] += 1
            continue
        assert isinstance(chosen, placement.Placement)
        engine = next(e for e in fleet if e.engine_id == chosen.engine_id)
        engine.cache.record(prompt)
        engine.own_tokens.add(chosen.uncached_tokens, chosen.deferred)
        outcomes["deferred" if chosen.deferred else "in time"] += 1
    assert outcomes["in time"] >= 250
    assert outcomes["refused"] <= 40


def test_tried_engines_are_excluded() -> None:
    fleet = [_engine("d0", DECODE), _engine("d1", DECODE)]
    chosen = _place(fleet, prompt=SHORT, tried=frozenset(["d0"]))
    assert isinstance(chosen, placement.Placement)
    assert chosen.engine_id == "d1"


def test_request_is_deferred_while_all_slots_are_busy() -> None:
    """Prompts were once prefilled although no decode slot was free."""
    fleet = _fleet()
    for engine in fleet:
        if engine.role is DECODE:
            engine.own_counts.add(0, 100)
    chosen = _place(fleet)
    assert isinstance(chosen, placement.Placement)
    assert chosen.deferred


def test_deferred_requests_in_slots_do_not_delay_urgent_ones() -> None:
    """Deferred requests were once counted as occupying all slots.

    Every request of a burst was then deferred.
    """
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
    [(15, placement.Placement), (16, placement.DeadlineUnreachable)],
)
def test_deferred_requests_are_limited_to_a_share_of_slots(
    deferred: int, outcome: type
) -> None:
    fleet = _fleet()
    for engine in fleet:
        _busy(engine, 60_000.0)
        if engine.role is DECODE:
            engine.own_counts.add(DEFERRED, deferred)
    chosen = _place(fleet)
    assert isinstance(chosen, outcome)
    if isinstance(chosen, placement.DeadlineUnreachable):
        assert chosen.retry_after_s == pytest.approx(0.24, abs=0.02)


def test_link_wait_counts_for_each_send() -> None:
    """A request decoded by another engine is sent over the link twice."""
    request = placement.Request(LONG, 0.15, 2.0, "d1", uplink_s=0.06)
    placer = placement.PLACERS.get("two_stage")()
    chosen = placer.place(request, _fleet(), 0.0)
    assert isinstance(chosen, placement.Placement)
    assert not chosen.separate_decode
    narrower = placement.Request(LONG, 0.15, 2.0, "d1", uplink_s=0.2)
    late = placer.place(narrower, _fleet(), 0.0)
    assert isinstance(late, placement.Placement)
    assert late.deferred


def _full_of_streams(requests: int) -> list[placement.EngineLoad]:
    """Return engines whose slots are busy with long streams of rank 1."""
    fleet = _fleet()
    for engine in fleet:
        engine.slot_times = placement.SlotTimes([0.05, 1.4, 0.5, 0.5, 0.5])
        if engine.role is DECODE:
            engine.own_counts.add(1, requests)
    return fleet


def test_most_urgent_request_waits_for_one_slot_only() -> None:
    """Its wait once included all streams that were waiting for a slot."""
    chosen = _place(_full_of_streams(110))
    assert isinstance(chosen, placement.Placement)
    assert not chosen.deferred


@pytest.mark.parametrize(
    ("requests", "deferred"),
    [(0, False), (63, False), (66, False), (80, True)],
)
def test_slot_wait_defers_short_prompts(requests: int, deferred: bool) -> None:
    fleet = _full_of_streams(requests)
    chosen = _place(fleet, prompt=SHORT, time_left_s=15.0, rank=1)
    assert isinstance(chosen, placement.Placement)
    assert chosen.deferred == deferred


def test_slot_wait_grows_with_the_requests_ahead() -> None:
    for requests, expected_s in ((63, 0.0), (64, 0.02), (128, 1.42)):
        engine = _full_of_streams(requests)[-1]
        wait_s = engine.slot_wait_s(1, deferred=False)
        assert wait_s == pytest.approx(expected_s, abs=0.01)
        assert engine.slot_wait_s(0, deferred=False) < 0.03


def test_started_request_is_not_refused_for_lack_of_slots() -> None:
    fleet = _fleet()
    for engine in fleet:
        _busy(engine, 60_000.0)
        if engine.role is DECODE:
            engine.own_counts.add(DEFERRED, 30)
    assert isinstance(_place(fleet), placement.DeadlineUnreachable)
    chosen = _place(fleet, may_have_run=True)
    assert isinstance(chosen, placement.Placement)
    assert chosen.deferred


def test_slot_times_follow_measurements() -> None:
    times = placement.SlotTimes()
    for _ in range(100):
        times.update(1, 1.4)
    assert times.held_s[1] == pytest.approx(1.4, abs=0.02)
    assert times.held_s[0] == 0.5


def test_deferred_short_prompts_cause_no_refusal_of_long_ones() -> None:
    """They once counted towards the slot limit of deferred long prompts."""
    fleet = _full_of_streams(40)
    for engine in fleet:
        _busy(engine, 60_000.0)
        if engine.role is DECODE:
            engine.own_counts.add(placement.engine_rank(1, True), 30)
    chosen = _place(fleet)
    assert isinstance(chosen, placement.Placement)
    assert chosen.deferred


def test_cost_of_a_request_is_linear_in_fleet_size() -> None:
    """The slot wait of all decode engines was once computed per candidate."""
    calls = 0

    class CountingLoad(placement.EngineLoad):
        def slot_wait_s(self, rank: int, deferred: bool) -> float:
            nonlocal calls
            calls += 1
            return super().slot_wait_s(rank, deferred)

    for size in (30, 300):
        fleet = [
            CountingLoad(
                engine_id=f"e{number}",
                failure_domain="d1",
                service="llm",
                role=DECODE if number % 3 else PREFILL,
                slots=64,
                cache=placement.PartCache(100_000),
            )
            for number in range(size)
        ]
        calls = 0
        assert isinstance(_place(fleet), placement.Placement)
        assert calls <= 4 * size


def _placed_by(
    name: str, fleet: list[placement.EngineLoad], **fields: object
) -> placement.Outcome:
    request = _request(**fields)
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
def test_baselines_handle_late_requests_differently(
    name: str, queued: float, outcome: str
) -> None:
    fleet = [_busy(engine, queued) for engine in _fleet()]
    chosen = _placed_by(name, fleet)
    if outcome == "refused":
        assert isinstance(chosen, placement.DeadlineUnreachable)
    else:
        assert isinstance(chosen, placement.Placement)
        assert chosen.deferred == (outcome == "deferred")


def test_no_locality_ignores_cached_parts() -> None:
    fleet = _fleet()
    for engine in fleet:
        engine.cache.record(LONG)
    chosen = _placed_by("no_locality", fleet)
    assert isinstance(chosen, placement.Placement)
    assert chosen.uncached_tokens == LONG.tokens
