"""Decisions of single gateways, and messages between two of them."""

import math

import pytest

from .... import catalogue
from .. import _fallback
from .. import _home
from .. import _messages
from .. import _node
from . import fleet

ORGANISATION = fleet.ORGANISATION
QUOTA = fleet.quota(1_000.0)
#: A cost that a full bucket grants and the share of a gateway does not.
OVER_SHARE = 1e9


def _alone(quota: catalogue.Quota = QUOTA) -> _node.QuotaNode:
    """Return the only gateway of a fleet with a full bucket."""
    node = _node.QuotaNode("g1", "a1", fleet.BOUNDS)
    node.set_quotas({ORGANISATION: quota})
    node.set_listed({}, True, math.inf, 0.0)
    _pass(node, 0.0, 5.0)
    return node


def _pass(node: _node.QuotaNode, from_s: float, to_s: float) -> None:
    for step in range(round((to_s - from_s) / 0.05) + 1):
        node.tick(from_s + step * 0.05)


def _ask(node: _node.QuotaNode, cost: float, now_s: float) -> _node.Decision:
    decided = node.ask(ORGANISATION, cost, now_s, lambda _decision: None)
    assert isinstance(decided, _node.Decision)
    return decided


def _pair() -> tuple[_node.QuotaNode, _node.QuotaNode]:
    """Return another gateway and the home, which hear each other."""
    nodes = {
        name: _node.QuotaNode(name, f"a-{name}", fleet.BOUNDS)
        for name in ("g1", "g2")
    }
    for name, node in nodes.items():
        other = "g2" if name == "g1" else "g1"
        node.set_quotas({ORGANISATION: QUOTA})
        node.set_listed({other: f"a-{other}"}, True, math.inf, 0.0)
    for step in range(60):
        _beat(nodes["g1"], nodes["g2"], step * 0.05)
        _beat(nodes["g2"], nodes["g1"], step * 0.05)
    home = nodes[nodes["g1"].view.home(ORGANISATION)]
    other_node = next(each for each in nodes.values() if each is not home)
    return other_node, home


def _beat(one: _node.QuotaNode, two: _node.QuotaNode, now_s: float) -> None:
    one.tick(now_s)
    found = one.take_heartbeat(now_s)
    if found is not None:
        two.receive(one.view.own, found.message, now_s)


def _exchange(
    one: _node.QuotaNode, two: _node.QuotaNode, now_s: float
) -> list[_messages.Message]:
    """Deliver what one gateway sends to another; return it."""
    sent = [outgoing.message for outgoing in one.take_outgoing()]
    for message in sent:
        two.receive(one.view.own, message, now_s)
    return sent


def _level(home: _node.QuotaNode, now_s: float) -> float:
    """Return how much the home can grant at once."""
    low, high = 0.0, QUOTA.burst
    while high - low > 0.5:
        cost = (low + high) / 2
        if _ask(home, cost, now_s).granted:
            home.refund(ORGANISATION, cost, home.view.own, now_s)
            low = cost
        else:
            high = cost
    return low


def test_only_gateway_grants_its_burst_and_then_its_rate() -> None:
    node = _alone()
    assert _ask(node, 1_000.0, 5.0).granted
    refused = _ask(node, 100.0, 5.0)
    assert not refused.granted
    assert refused.wait_s == pytest.approx(0.1)
    _pass(node, 5.0, 5.1)
    assert _ask(node, 100.0, 5.1).granted


def test_gateway_that_has_just_started_does_not_grant_a_whole_limit() -> None:
    """Guards against a fleet in which each takes itself for the only one."""
    node = _node.QuotaNode("g1", "a1", fleet.BOUNDS)
    node.set_quotas({ORGANISATION: QUOTA})
    _pass(node, 0.0, 0.5)
    # Nothing is known of the others until the list has been read.
    assert not _ask(node, 1.0, 0.5).granted
    node.set_listed({}, False, math.inf, 0.5)
    _pass(node, 0.5, 1.0)
    _ask(node, 0.0, 1.0)
    _pass(node, 1.0, 2.0)
    assert _ask(node, 50.0, 2.0).granted
    assert not _ask(node, 1_000.0, 2.0).granted


def test_request_over_the_burst_is_granted_by_a_full_bucket_only() -> None:
    node = _alone()
    assert _ask(node, 3_000.0, 5.0).granted
    refused = _ask(node, 500.0, 5.0)
    assert refused.wait_s == pytest.approx(_home.MAX_WAIT_S)
    _pass(node, 5.0, 7.4)
    assert not _ask(node, 500.0, 7.4).granted
    _pass(node, 7.4, 7.6)
    assert _ask(node, 500.0, 7.6).granted
    _pass(node, 7.6, 8.4)
    assert not _ask(node, 3_000.0, 8.4).granted


def test_rejected_callers_are_told_different_times() -> None:
    """Guards against all rejected callers that come back at once."""
    node = _alone()
    assert _ask(node, 1_000.0, 5.0).granted
    waits = [_ask(node, 300.0, 5.0).wait_s for _ in range(9)]
    assert waits[:3] == pytest.approx([0.3, 0.6, 0.9])
    assert waits[-1] == pytest.approx(_home.MAX_WAIT_S)


def test_lowered_limit_caps_what_can_be_granted_at_once() -> None:
    node = _alone()
    node.set_quotas({ORGANISATION: fleet.quota(100.0)})
    assert _ask(node, 100.0, 5.0).granted
    assert not _ask(node, 10.0, 5.0).granted


def test_raised_limit_does_not_fill_the_bucket() -> None:
    node = _alone()
    _ask(node, 1.0, 5.0)
    node.set_quotas({ORGANISATION: fleet.quota(9_000.0)})
    assert not _ask(node, 2_000.0, 5.0).granted


def test_organisation_without_a_limit_sends_nothing() -> None:
    node = _alone()
    node.set_quotas({})
    node.set_listed({"g2": "a2"}, True, math.inf, 5.0)
    assert _ask(node, 1e9, 5.0).granted
    _pass(node, 5.0, 9.0)
    assert node.take_outgoing() == []
    assert node.take_heartbeat(9.0) is None


def test_query_is_answered_by_the_home() -> None:
    asker, home = _pair()
    decided: list[_node.Decision] = []
    asker.ask(ORGANISATION, 600.0, 3.0, decided.append)
    asker.ask(ORGANISATION, 600.0, 3.0, decided.append)
    assert len(_exchange(asker, home, 3.001)) == 1
    assert len(_exchange(home, asker, 3.002)) == 1
    assert [each.granted for each in decided] == [True, False]
    assert not any(each.fallback for each in decided)


def test_repeated_and_duplicated_queries_are_charged_once() -> None:
    """Guards against a charge for each copy of a query."""
    asker, home = _pair()
    decided: list[_node.Decision] = []
    asker.ask(ORGANISATION, 300.0, 3.0, decided.append)
    sent = _exchange(asker, home, 3.001)
    home.take_outgoing()  # The answer is lost.
    asker.poll(3.035)
    assert _exchange(asker, home, 3.036) == sent
    home.receive(asker.view.own, sent[0], 3.037)
    for _ in range(2):
        _exchange(home, asker, 3.04)
    home.receive(asker.view.own, sent[0], 3.05)
    _exchange(home, asker, 3.06)
    assert [each.granted for each in decided] == [True]
    # It has gained 60 since.
    assert _level(home, 3.06) == pytest.approx(760.0, abs=2.0)


def test_query_later_than_its_answer_is_kept_is_not_charged_again() -> None:
    """Guards against a datagram that the network delivers much later."""
    asker, home = _pair()
    asker.ask(ORGANISATION, 300.0, 3.0, lambda _decision: None)
    late = _exchange(asker, home, 3.0)[0]
    _exchange(home, asker, 3.0)
    for step in range(60):
        _beat(asker, home, 3.0 + step * 0.05)
        _beat(home, asker, 3.0 + step * 0.05)
    asker.ask(ORGANISATION, 1.0, 6.0, lambda _decision: None)
    _exchange(asker, home, 6.0)
    before = _level(home, 6.0)
    home.receive(asker.view.own, late, 6.0)
    assert _level(home, 6.0) == pytest.approx(before, abs=1.0)


def test_cancelled_wait_returns_what_the_home_granted() -> None:
    """Guards against credit lost with a request that its caller gave up."""
    asker, home = _pair()
    sequence = asker.ask(ORGANISATION, 300.0, 3.0, lambda _decision: None)
    assert isinstance(sequence, int)
    asker.cancel(sequence)
    _exchange(asker, home, 3.001)
    assert _level(home, 3.001) == pytest.approx(700.0, abs=2.0)
    _exchange(home, asker, 3.002)
    _exchange(asker, home, 3.003)
    assert _level(home, 3.003) == pytest.approx(1_000.0, abs=2.0)


def test_answer_after_the_timeout_is_given_back() -> None:
    """Guards against a charge at the home and in fallback."""
    asker, home = _pair()
    decided: list[_node.Decision] = []
    asker.ask(ORGANISATION, 300.0, 3.0, decided.append)
    asker.poll(3.11)
    assert decided[0].fallback
    _exchange(asker, home, 3.12)
    _exchange(home, asker, 3.13)
    for step in range(8):
        _beat(asker, home, 3.15 + step * 0.05)
        _beat(home, asker, 3.15 + step * 0.05)
    assert asker.waiting is False
    asker.ask(ORGANISATION, 1.0, 3.6, decided.append)
    _exchange(asker, home, 3.6)
    _exchange(home, asker, 3.6)
    assert not decided[-1].fallback


def test_refund_is_credited_once() -> None:
    asker, home = _pair()
    asker.ask(ORGANISATION, 600.0, 3.0, lambda _decision: None)
    _exchange(asker, home, 3.0)
    _exchange(home, asker, 3.0)
    asker.refund(ORGANISATION, 600.0, home.view.own, 3.0)
    refund = _exchange(asker, home, 3.0)[0]
    assert _ask(home, 900.0, 3.0).granted
    home.receive(asker.view.own, refund, 3.0)
    assert not _ask(home, 200.0, 3.0).granted


def test_refunds_never_exceed_the_burst() -> None:
    node = _alone()
    node.refund(ORGANISATION, 5_000.0, "g1", 5.0)
    assert _ask(node, 1_000.0, 5.0).granted
    assert not _ask(node, 100.0, 5.0).granted


def test_home_that_does_not_answer_is_replaced_by_a_share() -> None:
    asker, _home_node = _pair()
    decided: list[_node.Decision] = []
    asker.ask(ORGANISATION, 100.0, 3.0, decided.append)
    asker.poll(3.05)
    assert decided == []
    asker.poll(3.1)
    assert decided[0].fallback
    found = asker.take_transitions()
    assert [each.entered for each in found] == [True]
    assert found[0].share_per_s == pytest.approx(250.0)
    # The next request does not wait for the home.
    again = asker.ask(ORGANISATION, 100.0, 3.11, decided.append)
    assert isinstance(again, _node.Decision)


def test_fallback_does_not_begin_with_new_credit_each_time() -> None:
    """Guards against a flapping link that adds up to more than the limit."""
    bounds = fleet.BOUNDS
    excess = bounds.excess(QUOTA)
    division = _fallback.Division(2, 0, False)
    found = _fallback.Fallback()
    granted = 0.0
    for step in range(80):
        now_s = step * 0.1
        found.enter(QUOTA, division, excess, now_s, now_s)
        while not found.take(QUOTA, division, excess, 10.0, now_s):
            granted += 10.0
        found.leave(now_s)
    assert granted <= 0.8 * excess


def test_gateways_with_another_view_are_not_counted_as_heard() -> None:
    """Guards against two homes that both grant the whole rate."""
    asker, home = _pair()
    assert not home.view.unheard
    beat = _messages.Heartbeat(asker.view.digest + 1, "a-x")
    home.receive(asker.view.own, _messages.Message(heartbeat=beat), 3.0)
    assert home.view.unheard == {asker.view.own}


def test_gateway_that_does_not_hear_the_home_is_not_counted_as_heard() -> None:
    """Guards against a link that only works one way."""
    asker, home = _pair()
    position = asker.view.names.index(home.view.own)
    beat = _messages.Heartbeat(asker.view.digest, "a-x", (position,))
    home.receive(asker.view.own, _messages.Message(heartbeat=beat), 3.0)
    assert home.view.unheard == {asker.view.own}


def test_gateway_that_left_is_forgotten_at_once() -> None:
    asker, home = _pair()
    found = asker.take_heartbeat(3.0, leaving=True)
    assert found is not None
    home.receive(asker.view.own, found.message, 3.0)
    assert home.view.names == (home.view.own,)


@pytest.mark.parametrize(
    "cost", [math.nan, math.inf, -math.inf, 1e300, -1e300]
)
def test_unlikely_costs_change_no_bucket(cost: float) -> None:
    asker, home = _pair()
    before = _level(home, 3.0)
    query = _messages.Query(77, ORGANISATION, cost)
    home.receive(asker.view.own, _messages.Message((query,)), 3.0)
    assert _level(home, 3.0) == before


@pytest.mark.parametrize("wait_s", [math.nan, math.inf, -7.0, 1e300])
@pytest.mark.parametrize("share_per_s", [math.nan, math.inf, -7.0, 1e300])
def test_unlikely_answers_give_a_decision(
    wait_s: float, share_per_s: float
) -> None:
    asker, home = _pair()
    decided: list[_node.Decision] = []
    sequence = asker.ask(ORGANISATION, 100.0, 3.0, decided.append)
    assert isinstance(sequence, int)
    answer = _messages.Answer(sequence, wait_s, share_per_s)
    message = _messages.Message((), (answer,))
    asker.receive(home.view.own, message, 3.0)
    assert 0.0 <= decided[0].wait_s <= _node.WAIT_LIMIT_S
    for _ in range(2):
        # A full bucket grants the first one, but then it is in debt.
        asker.ask(ORGANISATION, 1e9, 3.01, decided.append)
        asker.poll(3.2)
    asker.ask(ORGANISATION, 1.0, 3.21, decided.append)
    asker.poll(3.21 + _node.SLOW_HOME_TIMEOUT_S)
    assert not decided[-1].granted


def test_messages_of_unknown_gateways_are_not_answered() -> None:
    _asker, home = _pair()
    query = _messages.Query(1, ORGANISATION, 100.0)
    home.receive("nobody", _messages.Message((query,)), 3.0)
    assert home.take_outgoing() == []


def _until(
    asker: _node.QuotaNode, home: _node.QuotaNode, from_s: float, to_s: float
) -> float:
    """Let time pass while the home sends heartbeats but no answers."""
    now_s = from_s
    while now_s < to_s:
        _beat(asker, home, now_s)
        _beat(home, asker, now_s)
        asker.poll(now_s)
        now_s += 0.02
    return now_s


def test_request_waits_for_a_slow_home_if_the_own_share_is_used_up() -> None:
    """Guards against rejections within the limit while a home is busy.

    The home lives, but takes longer for its answer than a gateway waits before
    it grants from its own share.
    """
    asker, home = _pair()
    decisions: list[_node.Decision] = []
    asker.ask(ORGANISATION, OVER_SHARE, 3.0, decisions.append)
    now_s = _until(asker, home, 3.0, 3.3)
    assert decisions == []
    _exchange(asker, home, now_s)
    _exchange(home, asker, now_s)
    assert [(each.granted, each.fallback) for each in decisions] == [
        (True, False)
    ]


def test_request_is_rejected_if_a_slow_home_does_not_answer_at_all() -> None:
    """Guards against callers that wait for an answer without a limit."""
    asker, home = _pair()
    decisions: list[_node.Decision] = []
    asker.ask(ORGANISATION, OVER_SHARE, 3.0, decisions.append)
    _until(asker, home, 3.0, 3.0 + _node.SLOW_HOME_TIMEOUT_S + 0.1)
    assert [(each.granted, each.fallback) for each in decisions] == [
        (False, True)
    ]
    assert not asker.waiting


def test_silent_home_is_not_waited_for() -> None:
    """Guards against a wait for a home that is dead or cut off."""
    asker, _home_node = _pair()
    decisions: list[_node.Decision] = []
    asker.ask(ORGANISATION, OVER_SHARE, 6.0, decisions.append)
    for step in range(8):
        asker.tick(6.0 + step * 0.02)
        asker.poll(6.0 + step * 0.02)
    assert not asker.waiting


def _slow(
    asker: _node.QuotaNode, home: _node.QuotaNode, now_s: float
) -> list[_node.Decision]:
    """Let a gateway ask for more than its share, and retry in vain."""
    decisions: list[_node.Decision] = []
    asker.ask(ORGANISATION, OVER_SHARE, now_s, decisions.append)
    _until(asker, home, now_s, now_s + _node.ANSWER_TIMEOUT_S + 0.05)
    asker.take_outgoing()
    return decisions


def test_query_that_is_given_up_is_not_sent_again() -> None:
    """Guards against charges at the home for requests already rejected."""
    asker, home = _pair()
    _slow(asker, home, 3.0)
    asker.ask(ORGANISATION, OVER_SHARE, 3.2, lambda _decision: None)
    asker.take_outgoing()
    # The event loop was busy, so no retry was made.
    asker.poll(3.2 + _node.SLOW_HOME_TIMEOUT_S)
    assert asker.take_outgoing() == []


def test_late_grant_is_given_back_to_the_gateway_that_granted() -> None:
    """Guards against credit at a home that never charged the request."""
    asker, home = _pair()
    asker.ask(ORGANISATION, 1.0, 3.0, lambda _decision: None)
    sequence = asker.take_outgoing()[0].message.queries[0].sequence
    asker.poll(3.0 + _node.ANSWER_TIMEOUT_S)
    assert not asker.waiting
    answer = _messages.Answer(sequence, 0.0, 1.0)
    message = _messages.Message((), (answer,))
    asker.receive("g9", message, 3.45)
    assert asker.take_outgoing() == []
    asker.receive(home.view.own, message, 3.45)
    (refund,) = asker.take_outgoing()
    assert [query.cost for query in refund.message.queries] == [-1.0]


def test_quota_in_another_unit_is_granted_without_the_home() -> None:
    """Guards against a share of 0 that stays from the unit before."""
    asker, _home_node = _pair()
    assert isinstance(_ask_alone(asker, 1.0, 9.0), _node.Decision)
    requests = catalogue.Quota(
        catalogue.QuotaUnit.REQUESTS, 1_000.0, 1_000.0, 0.0
    )
    asker.set_quotas({ORGANISATION: requests})
    _pass(asker, 9.1, 11.0)
    _ask_alone(asker, 1.0, 11.0)
    _pass(asker, 11.0, 12.0)
    assert _ask_alone(asker, 1.0, 12.0).granted


def _ask_alone(
    node: _node.QuotaNode, cost: float, now_s: float
) -> _node.Decision:
    """Ask while the home is silent."""
    decisions: list[_node.Decision] = []
    decided = node.ask(ORGANISATION, cost, now_s, decisions.append)
    if isinstance(decided, _node.Decision):
        return decided
    node.poll(now_s + _node.ANSWER_TIMEOUT_S)
    node.poll(now_s + _node.SLOW_HOME_TIMEOUT_S)
    return decisions[0]


def test_refund_does_not_go_to_a_home_that_did_not_grant() -> None:
    """Guards against credit at a gateway that has become home since."""
    asker, _home_node = _pair()
    asker.refund(ORGANISATION, 600.0, "g9", 3.0)
    assert asker.take_outgoing() == []


def test_far_home_is_waited_for_as_long_as_it_usually_takes() -> None:
    """Guards against decisions without a home in another region.

    Its answers take longer than the timeout of a home nearby.
    """
    asker, home = _pair()
    for step in range(3):
        asked_s = 3.0 + step * 0.5
        asker.ask(ORGANISATION, 1.0, asked_s, lambda _decision: None)
        query = asker.take_outgoing()[0].message.queries[0]
        _until(asker, home, asked_s, asked_s + 0.12)
        asker.take_outgoing()
        answer = _messages.Answer(query.sequence, 0.0, 100.0)
        message = _messages.Message((), (answer,))
        asker.receive(home.view.own, message, asked_s + 0.12)
        asker.take_outgoing()
        _until(asker, home, asked_s + 0.12, asked_s + 0.45)
        asker.take_outgoing()
    decisions: list[_node.Decision] = []
    asker.ask(ORGANISATION, 1.0, 4.5, decisions.append)
    query = asker.take_outgoing()[0].message.queries[0]
    _until(asker, home, 4.5, 4.62)
    # Neither sent again nor decided by the own share.
    assert asker.take_outgoing() == []
    assert decisions == []
    answer = _messages.Answer(query.sequence, 0.0, 100.0)
    asker.receive(home.view.own, _messages.Message((), (answer,)), 4.62)
    assert [(each.granted, each.fallback) for each in decisions] == [
        (True, False)
    ]
