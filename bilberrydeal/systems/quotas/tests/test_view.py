"""Which gateways exist in the view of one of them."""

import math

import pytest

from .. import _messages
from .. import _view


def _view_of(*others: str) -> _view.GatewayView:
    """Return the view of a gateway that hears all others."""
    view = _view.GatewayView("g0", "a0")
    view.settled_itself = True
    view.set_listed({name: f"a-{name}" for name in others}, 0.0)
    view.refresh(0.0, 0.0)
    for name in others:
        _beat(view, name, 1.0)
    return view


def _beat(
    view: _view.GatewayView,
    name: str,
    now_s: float,
    address: str = "",
    gone: tuple[str, ...] = (),
) -> None:
    """Let a gateway with the same view be heard."""
    beat = _messages.Heartbeat(
        view.digest, address or f"a-{name}", (), gone, False, False
    )
    view.receive(name, beat, now_s)
    view.refresh(now_s, now_s)


def test_gateway_that_the_store_lost_stays_while_it_is_heard() -> None:
    """Guards against a second share for gateways without the store."""
    view = _view_of("g1", "g2")
    view.set_listed({"g1": "a-g1"}, 1.1)
    view.refresh(1.2, 1.2)
    assert list(view.names) == ["g0", "g1", "g2"]
    view.refresh(9.0, 9.0)
    assert list(view.names) == ["g0", "g1"]


def test_gateway_that_is_not_listed_yet_is_known_when_it_is_heard() -> None:
    view = _view_of("g1")
    _beat(view, "g7", 1.2)
    assert view.names == ("g0", "g1", "g7")
    assert view.address("g7") == "a-g7"


def test_others_tell_who_is_gone() -> None:
    """Guards against views that differ until each has read the list."""
    view = _view_of("g1", "g2")
    _beat(view, "g1", 5.0, gone=("g2",))
    assert list(view.names) == ["g0", "g1"]


def test_gateway_that_is_heard_is_not_gone() -> None:
    view = _view_of("g1", "g2")
    _beat(view, "g1", 1.1, gone=("g2",))
    assert list(view.names) == ["g0", "g1", "g2"]


def test_process_at_the_same_address_replaces_the_one_before() -> None:
    """Guards against a share kept for a process that has ended."""
    view = _view_of("g1", "g2")
    _beat(view, "g2", 9.0)
    _beat(view, "g9", 9.0, address="a-g1")
    assert view.names == ("g0", "g2", "g9")
    assert view.divisor == 3


def test_former_process_at_this_address_does_not_count() -> None:
    view = _view.GatewayView("g0", "a0")
    view.set_listed({"g-before": "a0"}, 0.0)
    view.refresh(0.0, 0.0)
    assert view.names == ("g0",)


@pytest.mark.parametrize(("gone", "absent"), [(2, 0), (3, 3)])
def test_majority_that_vanished_keeps_its_part(gone: int, absent: int) -> None:
    """Guards against a minority that takes the whole rate in a cut."""
    others = [f"g{number}" for number in range(1, 5)]
    view = _view_of(*others)
    view.set_listed({name: f"a-{name}" for name in others[gone:]}, 9.0)
    for name in others[gone:]:
        _beat(view, name, 9.0)
    view.refresh(9.1, 9.1)
    assert view.absent == absent
    view.refresh(9.2 + _view.MIN_LIST_AGE_S, 22.0)
    assert view.absent == 0


@pytest.mark.parametrize(
    ("heard", "expires_s", "isolated"),
    [(1, 5.0, True), (2, 5.0, False), (1, math.inf, False)],
)
def test_gateway_without_the_store_needs_a_majority(
    heard: int, expires_s: float, isolated: bool
) -> None:
    """Guards against shares of gateways that others take for dead."""
    others = ["g1", "g2", "g3"]
    view = _view_of(*others)
    view.row_expires_s = expires_s
    for name in others[:heard]:
        _beat(view, name, 9.0)
    view.refresh(9.1, 9.1)
    assert view.isolated == isolated


def test_heartbeats_grow_rarer_with_the_fleet() -> None:
    view = _view_of(*(f"g{number}" for number in range(1, 201)))
    assert view.heartbeat_interval_s == pytest.approx(2.01)
    assert 200 / view.heartbeat_interval_s <= _view.HEARTBEATS_PER_S


def test_number_of_gateways_known_is_bounded() -> None:
    """Guards against memory taken by datagrams with arbitrary names."""
    view = _view_of("g1")
    beat = _messages.Heartbeat(0, "a", (), (), False, False)
    for number in range(_view.PEERS_LIMIT + 50):
        view.receive(f"x{number}", beat, 1.0)
    assert not view.knows(f"x{_view.PEERS_LIMIT + 1}")


def test_gateway_stays_gone_while_lists_may_be_outdated() -> None:
    """Guards against dead homes in large fleets, whose lists are old."""
    view = _view_of("g1", "g2")
    view.list_age_s = 100.0
    _beat(view, "g1", 5.0, gone=("g2",))
    _beat(view, "g1", 60.0)
    assert view.names == ("g0", "g1")
