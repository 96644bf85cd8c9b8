"""Steps that break hops, endpoints and the platform."""

import time

import pytest_bdd
from pytest_bdd import parsers

from scenarios import _places
from scenarios import _proxy
from scenarios import _stage
from standins import plain
from standins import platform

from . import _common

FAULTS = {
    "is down": platform.Fault(down=True),
    "is silent": platform.Fault(silent=True),
    "is slow": platform.Fault(slow_s=0.6),
    "loses all answers": platform.Fault(lose_answers=platform.ALL),
}


@pytest_bdd.given(parsers.parse("the next answer of {host} is lost"))
def next_answer_is_lost(stage: _stage.Stage, host: str) -> None:
    stage.fleet.host(host).front.lose_answers(_places.HTTP_PORT)


@pytest_bdd.given(parsers.parse("the shop takes {delay_s:g} s for a call"))
def the_shop_is_slow(stage: _stage.Stage, delay_s: float) -> None:
    control = plain.Control(delay_s=delay_s)
    stage.run(stage.fleet.endpoint_fault(_common.shop(stage), control))


@pytest_bdd.given("the shop crashes after its next effect")
def the_shop_crashes(stage: _stage.Stage) -> None:
    control = plain.Control(crash_after_effect=True)
    stage.run(stage.fleet.endpoint_fault(_common.shop(stage), control))


def links(stage: _stage.Stage) -> list[tuple[_proxy.Proxy, int]]:
    first = _places.LINK_PORTS_FROM
    return [
        (host.front, port)
        for host in stage.fleet.engines
        for port in range(first, first + _places.LINK_PORTS)
    ]


@pytest_bdd.when("open links to every engine fall silent")
def links_fall_silent(stage: _stage.Stage) -> None:
    for front, port in links(stage):
        stage.loop.call_soon_threadsafe(front.hush, _proxy.Way.BACK, port)
        stage.loop.call_soon_threadsafe(front.hush, _proxy.Way.FORTH, port)


@pytest_bdd.when("open links to every engine are cut")
def links_are_cut(stage: _stage.Stage) -> None:
    for front, port in links(stage):
        stage.loop.call_soon_threadsafe(front.cut, port)
    time.sleep(1.0)


@pytest_bdd.when(
    parsers.re(
        r"the platform (?P<fault>is down|is silent|is slow|loses all answers)$"
    )
)
def the_platform_fails(stage: _stage.Stage, fault: str) -> None:
    stage.run(stage.fleet.fault(FAULTS[fault]))
    time.sleep(2.0)


@pytest_bdd.when("the endpoint interface takes no orders")
def takes_no_orders(stage: _stage.Stage) -> None:
    fault = platform.Fault(service="endpoints", down=True)
    stage.run(stage.fleet.fault(fault))


@pytest_bdd.when("the platform is well again")
def the_platform_is_well(stage: _stage.Stage) -> None:
    stage.run(stage.fleet.fault(platform.Fault()))


@pytest_bdd.when(
    parsers.re(r"the platform (?P<fault>.+) for (?P<for_s>\d+) s")
)
def the_platform_fails_for(
    stage: _stage.Stage, fault: str, for_s: str
) -> None:
    stage.run(stage.fleet.fault(FAULTS[fault]))
    time.sleep(float(for_s))
    stage.run(stage.fleet.fault(platform.Fault()))


def cut_off(stage: _stage.Stage, name: str, away: bool) -> None:
    store = stage.fleet.host(name).store

    async def change() -> None:
        store.set_weather(_proxy.Weather(refuse=away))
        store.cut()

    stage.run(change())


@pytest_bdd.when(
    parsers.re(r"(?P<name>[a-z]+-\d) is cut off from the platform$")
)
def is_cut_off(stage: _stage.Stage, name: str) -> None:
    cut_off(stage, name, True)


@pytest_bdd.when("the entries are cut off from each other")
def entries_are_cut_off(stage: _stage.Stage) -> None:
    set_peers(stage, _proxy.Weather(refuse=True))


@pytest_bdd.when("the entries reach each other again")
def entries_reach_each_other(stage: _stage.Stage) -> None:
    set_peers(stage, _proxy.Weather())


def set_peers(stage: _stage.Stage, weather: _proxy.Weather) -> None:
    async def change() -> None:
        for host in stage.fleet.entries:
            host.front.set_weather(weather, _places.PEER_PORT)
            host.front.cut(_places.PEER_PORT)

    stage.run(change())


@pytest_bdd.when(parsers.parse("{name} reaches the platform again"))
def reaches_again(stage: _stage.Stage, name: str) -> None:
    cut_off(stage, name, False)


@pytest_bdd.when(
    parsers.re(
        r"(?P<name>[a-z]+-\d) is cut off from the platform"
        r" for (?P<for_s>\d+) s"
    )
)
def is_cut_off_for(stage: _stage.Stage, name: str, for_s: str) -> None:
    cut_off(stage, name, True)
    time.sleep(float(for_s))
    cut_off(stage, name, False)
