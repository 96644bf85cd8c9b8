"""Requests that crash the endpoints which run them."""

import pytest

from ... import quarantine
from .. import _sound_parts
from . import test_crash_counts

BAD = quarantine.request_parts(b"f1")
OTHER = quarantine.request_parts(b"f2")


class _Gateway(test_crash_counts.Gateway):
    """A gateway whose endpoints are lost under whole requests."""

    def lose_under(self, number: int, *requests: quarantine.Parts) -> None:
        """Lose an endpoint that ran some requests."""
        for parts in requests:
            self.lose(number, *parts[:-1], request=parts[-1], started=False)

    def keeps(self, parts: quarantine.Parts) -> bool:
        """Return whether a request is kept from endpoints."""
        return self.system.find(parts, self.now_s) is not None


def _tell_all(gateways: list[_Gateway]) -> None:
    """Let each gateway tell all others what is due."""
    for teller in gateways:
        news = teller.system.news(len(gateways), teller.now_s)
        for gateway in gateways:
            if gateway is not teller:
                gateway.system.learn(news, gateway.now_s)


@pytest.mark.parametrize("interval_s", [0.0, 0.05, 0.4, 60.0])
def test_three_crashes_under_one_request_keep_it_from_endpoints(
    interval_s: float,
) -> None:
    gateway = _Gateway()
    for number in range(3):
        assert not gateway.keeps(BAD)
        gateway.lose_under(number, BAD)
        gateway.wait(interval_s or 1e-3)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert gateway.keeps(BAD)
    assert not gateway.keeps(OTHER)
    assert all(decision.of_request for decision in gateway.decisions)


def test_two_crashes_under_one_request_are_not_enough() -> None:
    gateway = _Gateway()
    for number in range(2):
        gateway.lose_under(number, BAD)
        gateway.wait(1.0)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert not gateway.keeps(BAD)


def test_one_endpoint_seen_lost_by_several_gateways_counts_once() -> None:
    gateways = [_Gateway() for _ in range(3)]
    for gateway in gateways:
        gateway.lose_under(0, BAD)
    _tell_all(gateways)
    for gateway in gateways:
        gateway.wait(test_crash_counts.DECIDED_S)
        assert not gateway.keeps(BAD)


def test_crashes_at_several_gateways_add_up() -> None:
    gateways = [_Gateway() for _ in range(3)]
    for number, gateway in enumerate(gateways):
        gateway.lose_under(number, BAD)
    _tell_all(gateways)
    for gateway in gateways:
        gateway.wait(test_crash_counts.DECIDED_S)
        assert gateway.keeps(BAD)


def test_request_that_was_completed_is_not_kept_from_endpoints() -> None:
    gateway = _Gateway()
    gateway.system.observe_sound(OTHER, gateway.now_s)
    for number in range(5):
        gateway.lose_under(number, BAD, OTHER)
        gateway.wait(1.0)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert gateway.keeps(BAD)
    assert not gateway.keeps(OTHER)


def test_request_that_crashes_no_more_is_let_through_again() -> None:
    gateway = _Gateway()
    for number in range(3):
        gateway.lose_under(number, BAD)
    gateway.wait(test_crash_counts.DECIDED_S)
    gateway.system.observe_sound(BAD, gateway.now_s)
    assert not gateway.keeps(BAD)


def test_prompt_beside_a_crashing_request_keeps_its_own_threshold() -> None:
    gateway = _Gateway()
    for number in range(3):
        gateway.lose(number, b"bad0", request=b"own")
        gateway.lose_under(number, BAD)
        gateway.wait(1.0)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert gateway.keeps(BAD)
    assert not gateway.refuses(b"bad0")


def test_caller_cannot_name_another_request_as_a_part_of_its_prompt() -> None:
    """Parts of prompts are separated by the mark of requests."""
    assert all(part.startswith(b",") for part in BAD)


def test_many_requests_displace_no_sound_parts() -> None:
    sound = _sound_parts.SoundParts()
    sound.add(b"aa", 1000.0)
    for number in range(_sound_parts.LIMIT + 1):
        sound.add(quarantine.request_parts(b"%d" % number)[0], 1001.0)
    assert sound.knows(b"aa", 1002.0)
    assert not sound.knows(quarantine.request_parts(b"0")[0], 1002.0)


def test_quarantined_requests_displace_no_quarantined_parts() -> None:
    gateway = _Gateway()
    gateway.crash(5, b"bad0")
    gateway.wait(test_crash_counts.DECIDED_S)
    for request in range(40):
        parts = quarantine.request_parts(b"%d" % request)
        for number in range(3):
            gateway.lose_under(100 + 3 * request + number, parts)
            gateway.wait(0.2)
        gateway.wait(test_crash_counts.DECIDED_S)
    assert gateway.refuses(b"bad0")
    assert gateway.keeps(quarantine.request_parts(b"39"))


def test_crash_counts_though_the_next_run_responds_under_the_same_id() -> None:
    """Until its registration is known, the old run seems to respond."""
    gateway = _Gateway()
    for number in range(3):
        gateway.lose_under(number, BAD)
        gateway.wait(1.2)
        gateway.system.observe_response(
            f"e{number}@1", gateway.now_s - 0.05, gateway.now_s
        )
        gateway.wait(0.3)
        gateway.system.observe_end(f"e{number}@1", gateway.now_s)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert gateway.keeps(BAD)


def test_cut_connections_before_a_planned_restart_do_not_count() -> None:
    gateway = _Gateway()
    for number in range(5):
        gateway.lose_under(number, BAD)
        gateway.wait(0.3)
        gateway.system.observe_response(
            f"e{number}@1", gateway.now_s - 0.05, gateway.now_s
        )
        gateway.wait(30.0)
        gateway.system.observe_end(f"e{number}@1", gateway.now_s)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert not gateway.keeps(BAD)


def test_runs_that_crashed_before_they_were_registered_count() -> None:
    gateway = _Gateway()
    for _ in range(3):
        gateway.lose_under(0, BAD)
        gateway.wait(2.0)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert gateway.keeps(BAD)


def test_requests_that_were_sent_before_a_crash_belong_to_it() -> None:
    gateway = _Gateway()
    sent_s = gateway.now_s
    for _ in range(5):
        gateway.lose(0, BAD[0], request=BAD[1], sent_s=sent_s)
        gateway.wait(1.0)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert not gateway.keeps(BAD)


def test_crash_that_gateways_know_as_two_runs_counts_once() -> None:
    """One of them had read the registration of the run."""
    gateways = [_Gateway() for _ in range(2)]
    for number in range(2):
        gateways[0].lose_under(number, BAD)
        gateways[0].wait(1.5)
        gateways[1].wait(1.5)
    _tell_all(gateways)
    for gateway, process in zip(gateways, ("e1@1", "e1@2"), strict=True):
        loss = quarantine.EngineLoss(
            process,
            "d1",
            quarantine.SuspectPrompt(BAD[1], (BAD[0],), False),
            gateway.now_s,
        )
        gateway.system.observe_loss(loss, gateway.now_s)
    _tell_all(gateways)
    for gateway in gateways:
        gateway.wait(1.0)
        gateway.wait(test_crash_counts.DECIDED_S)
        assert gateway.keeps(BAD)
        crashes = gateway.decisions[-1].crashes
        assert crashes == 3


def test_unregistered_runs_do_not_count_against_parts() -> None:
    gateway = _Gateway()
    for _ in range(6):
        gateway.lose(0, b"bad0", request=b"own")
        gateway.wait(2.0)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert not gateway.refuses(b"bad0")


def test_two_crashing_requests_do_not_hide_each_other() -> None:
    """Their endpoints crash in one failure domain within a second."""
    gateway = _Gateway()
    for number in range(0, 6, 2):
        for offset, parts in enumerate((BAD, OTHER)):
            gateway.lose(
                number + offset, parts[0], request=parts[1], domain="d1"
            )
            gateway.wait(0.4)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert gateway.keeps(BAD)
    assert gateway.keeps(OTHER)


def test_endpoints_lost_at_one_moment_count_once_against_a_request() -> None:
    gateway = _Gateway()
    for number in range(4):
        gateway.lose_under(number, BAD)
    gateway.lose_under(4, OTHER)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert not gateway.keeps(BAD)


@pytest.mark.parametrize("pause_s", [0.0, 8.0])
@pytest.mark.parametrize("rounds", [1, 6])
def test_later_run_that_a_young_gateway_saw_lost_counts(
    pause_s: float, rounds: int
) -> None:
    """Guards against a crash that is taken for one of a run before.

    The gateway has started since and knows nothing of the run before; the
    endpoint kept its id, and its registration is not read yet.
    """
    gateway, young = _Gateway(), _Gateway()
    gateway.lose_under(0, BAD)
    gateway.wait(0.1)
    gateway.lose_under(1, BAD)
    for each in (gateway, young):
        each.wait(pause_s or 1e-3)
    young.now_s = gateway.now_s
    young.lose_under(0, BAD)
    for _ in range(rounds):
        young.tell(gateway)
        young.wait(0.2)
        gateway.wait(0.2)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert gateway.keeps(BAD) == bool(pause_s)


@pytest.mark.parametrize("sent_age_s", [-1.0, 0.5, float("nan")])
def test_request_sent_after_its_loss_is_not_believed(
    sent_age_s: float,
) -> None:
    gateway = _Gateway()
    for number in range(2):
        gateway.lose_under(number, BAD)
        gateway.wait(2.0)
    prompt = quarantine.SuspectPrompt(BAD[-1], tuple(BAD[:-1]), False)
    report = quarantine.LossReport("e0@1", "d0", 1.0, (prompt,), sent_age_s)
    gateway.system.learn(quarantine.News((report,)), gateway.now_s)
    gateway.wait(test_crash_counts.DECIDED_S)
    assert not gateway.keeps(BAD)
