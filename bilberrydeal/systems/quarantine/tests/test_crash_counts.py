"""Which evidence quarantines a part, and which does not."""

import itertools
import math

import attrs
import pytest

from .. import _base
from .. import _crash_counts
from .. import _crashes
from .. import _quarantine_table
from .. import _reports

START_S = 1000.0
BAD = b"bad0"
SOUND = b"aa"
#: Time by which any decision is made, in seconds.
DECIDED_S = 3.0


@attrs.define(eq=False)
class Gateway:
    """A gateway's system with a clock."""

    system: _crash_counts.CrashCounts = attrs.field(
        factory=_crash_counts.CrashCounts
    )
    now_s: float = START_S
    decisions: list[_base.Decision] = attrs.field(factory=list)

    def wait(self, time_s: float) -> None:
        """Let time pass."""
        steps = max(round(time_s / 0.1), 1)
        for _step in range(steps):
            self.now_s += time_s / steps
            self.decisions += self.system.run(self.now_s)

    def lose(
        self,
        number: int,
        *parts: bytes,
        request: bytes | None = None,
        domain: str | None = None,
        started: bool = True,
        sent_s: float | None = None,
    ) -> None:
        """Lose an engine while it generates a request with some parts."""
        own = b"r%d" % number if request is None else request
        self.system.observe_loss(
            _base.EngineLoss(
                f"e{number}@1",
                domain or f"d{number % 4}",
                _base.SuspectPrompt(own, parts, started),
                self.now_s if sent_s is None else sent_s,
            ),
            self.now_s,
        )

    def crash(self, count: int, *parts: bytes, first: int = 0) -> None:
        """Lose engines one after the other under different requests."""
        for number in range(first, first + count):
            self.lose(number, *parts)
            self.wait(1.5)

    def refuses(self, *parts: bytes) -> bool:
        """Return whether a request with some shared parts is refused."""
        return self.system.find((*parts, b"own"), self.now_s) is not None

    def tell(self, other: "Gateway") -> None:
        """Tell another gateway what is due."""
        other.system.learn(self.system.news(2, self.now_s), other.now_s)


def _report(age_s: float, number: int = 0) -> _base.LossReport:
    prompt = _base.SuspectPrompt(b"r%d" % number, (BAD,), True)
    return _base.LossReport(f"e{number}@1", f"d{number}", age_s, (prompt,))


def test_four_crashes_of_several_requests_quarantine_a_part() -> None:
    gateway = Gateway()
    gateway.crash(3, BAD)
    assert not gateway.refuses(BAD)
    gateway.crash(1, BAD, first=3)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(BAD)
    assert gateway.refuses(SOUND, BAD)
    assert not gateway.refuses(SOUND)
    kinds = [decision.kind for decision in gateway.decisions]
    assert kinds == ["suspected", "quarantined"]
    assert gateway.decisions[-1].engines == ("e0@1", "e1@1", "e2@1", "e3@1")


@pytest.mark.parametrize("interval_s", [0.0, 0.05, 0.4, 60.0])
def test_crashing_part_is_found_at_any_rate(interval_s: float) -> None:
    gateway = Gateway()
    for number in range(5):
        gateway.lose(number, BAD)
        gateway.wait(interval_s or 1e-3)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(BAD)


def test_one_request_that_is_sent_again_and_again_is_found() -> None:
    gateway = Gateway()
    for number in range(5):
        gateway.lose(number, BAD, request=b"same")
        gateway.wait(0.5)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(BAD)


@pytest.mark.parametrize("crashes", [2, 3])
def test_ordinary_crashes_with_a_retried_request_quarantine_nothing(
    crashes: int,
) -> None:
    gateway = Gateway()
    for number in range(crashes):
        # The retry of the request is lost with another engine.
        for retry in range(2):
            if number * 2 + retry < crashes:
                gateway.lose(number * 2 + retry, BAD, request=b"%d" % number)
                gateway.wait(0.3)
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(BAD)


def test_retries_of_one_request_beside_four_crashes_quarantine_nothing() -> (
    None
):
    gateway = Gateway()
    for number in range(4):
        gateway.lose(number, BAD, request=b"same")
        gateway.wait(0.5)
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(BAD)


def test_lost_failure_domain_counts_once() -> None:
    gateway = Gateway()
    for number in range(8):
        parts = (BAD,) if number < 5 else (b"cc%d" % number,)
        gateway.lose(number, *parts, domain="d1")
        gateway.wait(0.01)
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(BAD)
    gateway.crash(2, BAD, first=20)
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(BAD)


def test_engines_lost_at_one_moment_count_once() -> None:
    gateway = Gateway()
    for number in range(8):
        gateway.lose(number, *((BAD,) if number < 6 else (b"cc",)))
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(BAD)


def test_cut_connections_to_engines_that_still_respond_do_not_count() -> None:
    gateway = Gateway()
    for number in range(6):
        gateway.lose(number, BAD)
        gateway.wait(0.2)
        gateway.system.observe_response(
            f"e{number}@1", gateway.now_s - 0.05, gateway.now_s
        )
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(BAD)


def test_engine_that_responds_to_another_gateway_was_not_lost() -> None:
    seeing, other = Gateway(), Gateway()
    for number in range(6):
        seeing.lose(number, BAD)
        seeing.tell(other)
        for gateway in (seeing, other):
            gateway.wait(0.2)
        other.system.observe_response(
            f"e{number}@1", other.now_s - 0.05, other.now_s
        )
        other.tell(seeing)
    seeing.wait(DECIDED_S)
    assert not seeing.refuses(BAD)


def test_requests_sent_before_the_crash_do_not_prove_that_it_runs() -> None:
    gateway = Gateway()
    for number in range(5):
        gateway.system.observe_response(
            f"e{number}@1", gateway.now_s - 0.01, gateway.now_s
        )
        gateway.lose(number, BAD)
        gateway.system.observe_response(
            f"e{number}@1", gateway.now_s + 3.0, gateway.now_s + 3.0
        )
        gateway.wait(0.5)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(BAD)


def test_last_part_of_a_prompt_is_never_quarantined() -> None:
    gateway = Gateway()
    for number in range(8):
        gateway.lose(number, request=b"own")
        gateway.wait(1.0)
    gateway.wait(DECIDED_S)
    assert gateway.system.quarantines(gateway.now_s) == ()
    gateway.crash(6, b"own", first=20)
    gateway.wait(DECIDED_S)
    assert gateway.system.find((b"aa", b"own"), gateway.now_s) is None


@pytest.mark.parametrize("when", range(6))
def test_part_of_a_completed_stream_is_not_quarantined(when: int) -> None:
    gateway = Gateway()
    for number in range(6):
        if number == when:
            gateway.system.observe_sound((SOUND, b"x"), gateway.now_s)
        gateway.crash(1, SOUND, first=number)
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(SOUND)


def test_gateways_object_to_a_part_that_they_know_as_sound() -> None:
    objecting, seeing = Gateway(), Gateway()
    objecting.system.observe_sound((SOUND, b"x"), START_S)
    for number in range(5):
        seeing.lose(number, SOUND)
    seeing.tell(objecting)
    for gateway in (objecting, seeing):
        gateway.wait(0.2)
    objecting.tell(seeing)
    seeing.wait(DECIDED_S)
    assert not seeing.refuses(SOUND)


def test_popular_part_is_sound_though_its_streams_break_with_others() -> None:
    gateway = Gateway()
    for number in range(8):
        gateway.lose(number, SOUND, b"cc", BAD)
        if number % 2:
            gateway.lose(number, SOUND, b"dd", request=b"o%d" % number)
        gateway.wait(0.1)
        gateway.system.observe_sound((SOUND, b"cc", b"x"), gateway.now_s)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(SOUND, BAD)
    assert not gateway.refuses(SOUND, b"cc")
    assert not gateway.refuses(SOUND, b"dd")


def test_only_prompts_with_all_inseparable_parts_are_refused() -> None:
    gateway = Gateway()
    gateway.crash(4, SOUND, BAD)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(SOUND, BAD)
    assert not gateway.refuses(SOUND)
    assert not gateway.refuses(BAD)
    gateway.system.observe_sound((SOUND, b"x"), gateway.now_s)
    assert gateway.refuses(BAD)
    assert not gateway.refuses(SOUND)


def test_further_crashes_tell_inseparable_parts_apart() -> None:
    gateway = Gateway()
    gateway.crash(4, SOUND, BAD)
    gateway.crash(2, BAD, first=10)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(BAD)
    assert not gateway.refuses(SOUND)


def test_part_that_only_broke_beside_the_crashing_one_is_released() -> None:
    gateway = Gateway()
    for number in range(4):
        gateway.lose(number, SOUND)
        # Seen later, for lack of this gateway's knowledge of the other one.
        gateway.wait(1.5)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(SOUND)
    for number in range(4):
        gateway.lose(number, BAD, request=b"late%d" % number)
    gateway.crash(3, BAD, first=10)
    gateway.wait(DECIDED_S)
    assert gateway.refuses(BAD)
    assert not gateway.refuses(SOUND)


@pytest.mark.parametrize("ages_s", [[0.0, 0.1, 0.2], [0.0, 5.0, 30.0]])
def test_crash_that_is_told_repeatedly_counts_once(
    ages_s: list[float],
) -> None:
    gateway = Gateway()
    for age_s in ages_s * 5:
        report = _report(age_s)
        gateway.system.learn(_base.News(losses=(report,)), gateway.now_s)
        gateway.wait(1.0)
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(BAD)


def test_crash_that_several_gateways_saw_counts_once() -> None:
    gateway = Gateway()
    for number in range(3):
        gateway.lose(number, BAD)
        for other in range(6):
            prompt = _base.SuspectPrompt(b"o%d" % other, (BAD,), True)
            report = attrs.evolve(_report(0.0, number), prompts=(prompt,))
            gateway.system.learn(_base.News(losses=(report,)), gateway.now_s)
        gateway.wait(1.0)
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(BAD)


@pytest.mark.parametrize("lost", range(5))
def test_crash_is_known_to_others_when_datagrams_are_lost(lost: int) -> None:
    seeing, other = Gateway(), Gateway()
    seeing.crash(2, BAD)
    for _telling in range(lost):
        seeing.system.news(2, seeing.now_s)
        seeing.wait(2.0)
    seeing.tell(other)
    other.crash(2, BAD, first=10)
    other.wait(DECIDED_S)
    assert other.refuses(BAD)


def test_gateway_that_starts_anew_learns_quarantines_and_crashes() -> None:
    known, started = Gateway(), Gateway()
    known.crash(4, BAD)
    known.wait(DECIDED_S)
    known.crash(3, b"cc", first=20)
    started.now_s = known.now_s
    started.system.learn(known.system.summary(known.now_s), started.now_s)
    assert started.refuses(BAD)
    started.crash(1, b"cc", first=30)
    started.wait(DECIDED_S)
    assert started.refuses(b"cc")


def test_quarantine_is_told_for_as_long_as_it_lasts() -> None:
    known, other = Gateway(), Gateway()
    known.crash(4, BAD)
    known.wait(60.0)
    other.now_s = known.now_s
    known.tell(other)
    assert other.refuses(BAD)
    assert [d.learned for d in other.system.run(other.now_s)] == [True]


def test_one_request_in_a_quarter_of_an_hour_is_let_through() -> None:
    gateway = Gateway()
    gateway.crash(4, BAD)
    gateway.wait(DECIDED_S)
    let_through_s = []
    for _minute in range(50):
        gateway.wait(60.0)
        found = gateway.system.find((BAD, b"own"), gateway.now_s)
        assert found is not None
        if gateway.system.probe(found, gateway.now_s):
            let_through_s.append(gateway.now_s)
    assert len(let_through_s) == 3
    for one_s, other_s in itertools.pairwise(let_through_s):
        assert other_s - one_s >= _quarantine_table.PROBE_INTERVAL_S


def test_quarantine_ends_everywhere_when_its_part_completes_a_stream() -> None:
    gateway, other = Gateway(), Gateway()
    gateway.crash(4, BAD)
    gateway.wait(DECIDED_S)
    gateway.tell(other)
    assert other.refuses(BAD)
    gateway.system.observe_sound((BAD, b"x"), gateway.now_s)
    assert not gateway.refuses(BAD)
    # The other one tells of the quarantine once more before it hears.
    other.now_s = gateway.now_s
    other.tell(gateway)
    assert not gateway.refuses(BAD)
    gateway.tell(other)
    assert not other.refuses(BAD)
    gateway.wait(0.1)
    assert gateway.decisions[-1].kind is _base.DecisionKind.ENDED


def test_quarantine_that_is_not_renewed_ends() -> None:
    gateway = Gateway()
    gateway.crash(4, BAD)
    gateway.wait(DECIDED_S)
    gateway.now_s += _quarantine_table.LASTS_S
    gateway.wait(1.0)
    assert not gateway.refuses(BAD)
    assert gateway.system.quarantines(gateway.now_s) == ()


def test_old_crashes_do_not_count() -> None:
    gateway = Gateway()
    gateway.crash(3, BAD)
    gateway.now_s += _crashes.KEPT_S
    gateway.crash(2, BAD, first=10)
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(BAD)


@pytest.mark.parametrize("crashes", range(5))
def test_suspected_request_is_not_sent_to_a_second_engine(
    crashes: int,
) -> None:
    gateway = Gateway()
    gateway.crash(crashes, BAD)
    assert gateway.system.suspects((BAD, b"x"), gateway.now_s) == (
        crashes >= 3
    )
    assert not gateway.system.suspects((SOUND, b"x"), gateway.now_s)


@pytest.mark.parametrize("age_s", [-1.0, math.nan, math.inf, 1e9])
def test_news_with_unlikely_times_are_ignored(age_s: float) -> None:
    gateway = Gateway()
    report = _base.QuarantineReport((BAD,), age_s, age_s, 4, ())
    losses = tuple(_report(age_s, number) for number in range(6))
    gateway.system.learn(_base.News(losses, (), (), (report,)), gateway.now_s)
    gateway.wait(DECIDED_S)
    assert not gateway.refuses(BAD)


@pytest.mark.parametrize(
    ("crashes", "requests", "parts"), [(400, 5, 20), (30, 60, 300)]
)
def test_memory_for_crashes_and_news_is_bounded(
    crashes: int, requests: int, parts: int
) -> None:
    gateway = Gateway()
    for number in range(crashes):
        for request in range(requests):
            found = [b"p%d.%d.%d" % (number, request, n) for n in range(parts)]
            gateway.lose(number, *found, request=b"r%d" % request)
    gateway.wait(0.1)
    remembered = list(gateway.system._crashes)
    assert 0 < len(remembered) <= _crashes.LIMIT
    entries = [
        sum(len(each.parts) for each in c.prompts()) for c in remembered
    ]
    assert max(entries) <= _crashes.CRASH_ENTRIES_LIMIT
    assert sum(entries) <= _crashes.ENTRIES_LIMIT
    told = gateway.system.summary(gateway.now_s)
    assert len(told.losses) <= _crashes.LIMIT
    told_bytes = sum(
        len(part)
        for loss in told.losses
        for prompt in loss.prompts
        for part in prompt.parts
    )
    assert 0 < told_bytes <= _reports.NEWS_PARTS_BYTES_LIMIT
