"""The bound on a quota over a fleet of gateways, and wrong rejections."""

import collections.abc
import functools

import pytest

from .... import catalogue
from .. import _active_time
from . import fleet

#: Duration of a play, and when what disturbs it begins, in seconds.
PLAY_S = 24.0
DISTURBED_S = 10.0

Disturbance = collections.abc.Callable[[fleet.Fleet], None]


def _nothing(_played: fleet.Fleet) -> None:
    """Disturb nothing."""


def _home_dies(played: fleet.Fleet) -> None:
    played.kill(played.home)


def _other_dies(played: fleet.Fleet) -> None:
    home = played.home
    played.kill(next(name for name in played.gateways if name != home))


def _half_dies(played: fleet.Fleet) -> None:
    played.kill(*list(played.gateways)[::2])


def _home_freezes(played: fleet.Fleet) -> None:
    played.freeze(played.home, 3.0)


def _home_freezes_for_long(played: fleet.Fleet) -> None:
    played.freeze(played.home, 9.0)


def _home_restarts(played: fleet.Fleet) -> None:
    home = played.home
    played.kill(home)

    def start() -> None:
        played.start(f"a-{home}")

    played.at(played.now_s + 0.5, start)


def _all_restart(played: fleet.Fleet) -> None:
    for name in list(played.gateways):
        played.kill(name)
        played.start(f"a-{name}")


def _gateways_join(played: fleet.Fleet) -> None:
    for _ in range(3):
        played.start()


def _home_is_cut_off(played: fleet.Fleet) -> None:
    played.groups[played.home] = 1


def _halves_are_cut_off(played: fleet.Fleet) -> None:
    for position, name in enumerate(played.gateways):
        played.groups[name] = position % 2

    def rejoin() -> None:
        for name in played.gateways:
            played.groups[name] = 0

    played.at(played.now_s + 10.0, rejoin)


def _half_loses_the_store(played: fleet.Fleet) -> None:
    for gateway in list(played.gateways.values())[::2]:
        gateway.store = False


def _half_loses_all(played: fleet.Fleet) -> None:
    _half_loses_the_store(played)
    for position, name in enumerate(played.gateways):
        played.groups[name] = position % 2


def _all_lose_the_store(played: fleet.Fleet) -> None:
    for gateway in played.gateways.values():
        gateway.store = False
    played.kill(played.home)


DISTURBANCES: dict[str, Disturbance] = {
    "nothing": _nothing,
    "home dies": _home_dies,
    "another dies": _other_dies,
    "half dies": _half_dies,
    "home freezes 3 s": _home_freezes,
    "home freezes 9 s": _home_freezes_for_long,
    "home restarts": _home_restarts,
    "all restart": _all_restart,
    "three join": _gateways_join,
    "home cut off": _home_is_cut_off,
    "halves cut off 10 s": _halves_are_cut_off,
    "half without store": _half_loses_the_store,
    "half without all": _half_loses_all,
    "no store, home dies": _all_lose_the_store,
}


def play(
    gateways: int,
    quota: catalogue.Quota,
    cost: float,
    load: float,
    skew: float,
    disturbance: Disturbance,
) -> fleet.Fleet:
    """Return a fleet that was offered ``load`` times its limit."""
    played = fleet.Fleet(gateways, quota)
    bursts = 1.9 if load < 1.0 else 1.0
    played.load(quota.rate_per_s * load, cost, 1.0, PLAY_S, skew, bursts)
    played.at(DISTURBED_S, lambda: disturbance(played))
    played.run(PLAY_S + 1.0)
    return played


LARGE = (fleet.quota(200_000.0), 1_540.0)
SMALL = (fleet.quota(29_000.0), 9_190.0)
REQUESTS = (fleet.quota(100.0, unit=catalogue.QuotaUnit.REQUESTS), 1.0)


@pytest.mark.parametrize("name", DISTURBANCES)
@pytest.mark.parametrize("kind", [LARGE, SMALL, REQUESTS])
@pytest.mark.parametrize(
    ("gateways", "skew"), [(2, 0.7), (5, 0.0), (5, 0.7), (24, 0.3)]
)
def test_no_window_exceeds_the_bound(
    gateways: int,
    skew: float,
    kind: tuple[catalogue.Quota, float],
    name: str,
) -> None:
    """Guards against gateways that together grant more than the limit."""
    quota, cost = kind
    load = 4.0 if gateways == 24 else 10.0
    played = play(gateways, quota, cost, load, skew, DISTURBANCES[name])
    assert played.worst() <= 1.0


@pytest.mark.parametrize("gateways", [1, 2, 5, 24])
@pytest.mark.parametrize("skew", [0.0, 0.7])
@pytest.mark.parametrize("kind", [LARGE, SMALL, REQUESTS])
def test_nothing_is_rejected_wrongly_while_all_is_well(
    gateways: int, kind: tuple[catalogue.Quota, float], skew: float
) -> None:
    """Guards against even shares of a limit that load does not follow."""
    quota, cost = kind
    played = play(gateways, quota, cost, 1 / 1.8, skew, _nothing)
    assert played.wrongly_rejected(3.0) == 0.0


def test_frozen_process_does_not_gain_what_others_may_have_granted() -> None:
    """Guards against a full bucket on top of the others' fallback."""
    active = _active_time.ActiveTime()
    active.advance(10.0)
    active.advance(10.1)
    assert active.now_s == pytest.approx(0.1)
    active.advance(13.1)
    assert active.now_s == pytest.approx(0.1 + _active_time.MAX_STEP_S)
    active.advance(12.0)
    assert active.now_s == pytest.approx(0.1 + _active_time.MAX_STEP_S)


@pytest.mark.parametrize("kind", [LARGE, SMALL, REQUESTS])
@pytest.mark.parametrize("gateways", [2, 5, 24])
@pytest.mark.parametrize("load", [1 / 1.8, 4.0])
def test_lost_and_reordered_datagrams_change_little(
    gateways: int, kind: tuple[catalogue.Quota, float], load: float
) -> None:
    """Guards against charges and grants that differ with each loss."""
    quota, cost = kind
    played = fleet.Fleet(
        gateways, quota, loss=0.05, duplicates=0.1, delay_s=(0.0005, 0.012)
    )
    played.load(quota.rate_per_s * load, cost, 1.0, PLAY_S, 0.3)
    played.run(PLAY_S + 1.0)
    assert played.worst() <= 1.0
    if load < 1.0:
        assert played.wrongly_rejected(3.0) <= 0.01


@pytest.mark.parametrize("gateways", [2, 5, 24])
@pytest.mark.parametrize("disturbance", [_nothing, _home_is_cut_off])
def test_lowered_limit_binds_after_a_window(
    gateways: int, disturbance: Disturbance
) -> None:
    """Guards against shares and levels of the limit before."""
    before, cost = LARGE
    after = fleet.quota(40_000.0)
    played = fleet.Fleet(gateways, before)
    played.load(before.rate_per_s * 2.0, cost, 1.0, PLAY_S, 0.3)
    played.at(5.0, lambda: disturbance(played))

    def lower(gateway: fleet.Gateway) -> None:
        gateway.node.set_quotas({fleet.ORGANISATION: after})

    for gateway in played.gateways.values():
        at_s = 7.0 + 3.0 * played.random.random()
        played.at(at_s, functools.partial(lower, gateway))
    played.run(PLAY_S)
    played.quota = after
    assert played.worst(10.0) <= 1.0


@pytest.mark.parametrize("gateways", [2, 5, 24])
@pytest.mark.parametrize("kind", [LARGE, REQUESTS])
def test_limit_is_used_up_where_more_is_offered(
    gateways: int, kind: tuple[catalogue.Quota, float]
) -> None:
    """Guards against a bound that is kept by granting next to nothing."""
    quota, cost = kind
    played = play(gateways, quota, cost, 4.0, 0.3, _nothing)
    granted = sum(
        each.cost
        for each in played.requests
        if each.granted and 5.0 <= each.decided_s < PLAY_S
    )
    used = granted / (PLAY_S - 5.0) / quota.rate_per_s
    assert used == pytest.approx(1.0, abs=0.02)
