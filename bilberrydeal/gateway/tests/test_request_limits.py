"""Endpoints that name how many requests a second they take from all."""

import asyncio

import attrs
import pytest

from ...store.tests import virtual
from . import crashing_engines
from . import virtual_fleet

#: Time from the first response that names a limit until it is kept, in
#: seconds; the time from a response until it binds the gateway that got it;
#: and the span over which requests are counted.
SETTLE_S = 3.0
TOLD_S = 0.5
SPAN_S = 4.0
#: When endpoints begin to name a limit, when they name another one and when
#: they cease to.
NAMES_S = 4.0
CHANGES_S = 16.0
CEASES_S = 30.0
END_S = 38.0


@attrs.frozen
class Load:
    """A fleet of gateways in front of endpoints that name limits."""

    gateways: int
    limit_per_s: float
    #: Limit named later.
    changed_per_s: float
    #: Roles of the endpoints, empty for plain ones.
    roles: tuple[str, ...]
    #: Endpoints that name limits, the first ones.
    limited: int
    route: str
    requests_per_s: float = 120.0
    #: When a gateway is replaced by a new one.
    restarts_s: tuple[float, ...] = ()


_PLAIN = ("", "", "", "")
_DECODE = ("decode", "decode", "decode")
_STAGES = ("decode", "prefill", "prefill")
LOADS = {
    "plain_one_gateway": Load(1, 5.4, 2.0, _PLAIN, 1, "read", 30.0),
    "plain_four_gateways": Load(4, 5.4, 2.0, _PLAIN, 1, "read"),
    "plain_once": Load(4, 11.7, 5.4, _PLAIN, 2, "once"),
    "plain_all_limited": Load(4, 6.0, 3.0, _PLAIN, 4, "read"),
    "plain_68_gateways": Load(68, 2.0, 0.5, _PLAIN, 1, "read"),
    "plain_all_limited_31": Load(31, 8.0, 4.0, _PLAIN, 4, "read"),
    "stream_one_gateway": Load(1, 5.4, 2.0, _DECODE, 1, "chat", 30.0),
    "stream_four_gateways": Load(4, 5.4, 2.0, _DECODE, 1, "chat"),
    "stream_decoding_limited": Load(4, 5.4, 2.0, _STAGES, 1, "chat"),
    "stream_prefilling_limited": Load(4, 9.0, 4.0, _STAGES[::-1], 1, "chat"),
    "stream_31_gateways": Load(31, 11.7, 3.0, _DECODE, 1, "chat"),
    "stream_68_gateways": Load(68, 30.0, 0.7, _STAGES, 2, "chat"),
    "beside_restarts": Load(
        5, 5.4, 2.0, _PLAIN, 1, "read", restarts_s=(8.0, 12.0, 20.0, 25.0)
    ),
}


class _Play(virtual_fleet.VirtualFleet):
    """Plays a load."""

    def __init__(
        self, load: Load, seed: int, loop: virtual.VirtualLoop
    ) -> None:
        super().__init__(seed, loop, load.gateways)
        self._load = load
        for role in load.roles:
            self.add_endpoint(role)

    @property
    def limited(self) -> list[crashing_engines.Engine]:
        """Return the endpoints that name a limit."""
        return self.endpoints[: self._load.limited]

    async def run(self) -> None:
        """Play the load to its end."""
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(self.restart_gateway(number, at_s))
                for number, at_s in enumerate(self._load.restarts_s)
            ]
            background.append(tasks.create_task(self._name_limits()))
            await self._send_all(tasks)
            for task in [*background, *self.exchanges.values()]:
                task.cancel()

    async def _name_limits(self) -> None:
        load = self._load
        for at_s, limit_per_s in (
            (NAMES_S, load.limit_per_s),
            (CHANGES_S, load.changed_per_s),
            (CEASES_S, float("inf")),
        ):
            await asyncio.sleep(self.began_s + at_s - self.loop.time())
            for endpoint in self.limited:
                endpoint.limit_per_s = limit_per_s
                endpoint.told_s.clear()

    async def _send_all(self, tasks: asyncio.TaskGroup) -> None:
        """Send requests, to some gateways more than to others."""
        weights = [1.0 / (2 + number) for number in range(len(self.gateways))]
        while self.loop.time() < self.began_s + END_S:
            number = self.random.choices(range(len(self.gateways)), weights)
            tasks.create_task(self._call(self.gateways[number[0]]))
            await asyncio.sleep(
                self.random.expovariate(self._load.requests_per_s)
            )

    async def _call(self, gateway: crashing_engines.GatewayProcess) -> None:
        request_id = b"r%d" % next(self.ids)
        status = await self.call(gateway, request_id, self._load.route)
        if status is not None:
            self.traffic.statuses[status] += 1

    def arrived_s(
        self, endpoint: crashing_engines.Engine, from_s: float, to_s: float
    ) -> list[float]:
        """Return when requests reached an endpoint in a part of the play."""
        return [
            arrival.at_s - self.began_s
            for arrival in self.traffic.arrivals
            if arrival.engine == endpoint.endpoint.endpoint_id
            and arrival.gateway not in self.restarted
            and from_s <= arrival.at_s - self.began_s < to_s
        ]


def _most_in_a_span(times_s: list[float]) -> int:
    return max(
        (
            sum(begin_s <= each < begin_s + SPAN_S for each in times_s)
            for begin_s in times_s
        ),
        default=0,
    )


def _played(load: Load, seed: int) -> _Play:
    return virtual_fleet.played(lambda loop: _Play(load, seed, loop))


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_gateways_together_keep_to_the_limit_that_an_endpoint_names(
    load: Load,
) -> None:
    play = _played(load, 1)
    for endpoint in play.limited:
        for limit_per_s, from_s, to_s in (
            (load.limit_per_s, NAMES_S, CHANGES_S),
            (load.changed_per_s, CHANGES_S, CEASES_S),
        ):
            times_s = play.arrived_s(endpoint, from_s + SETTLE_S, to_s)
            most = 1.5 * limit_per_s * SPAN_S + 5.0
            assert _most_in_a_span(times_s) <= most


@pytest.mark.parametrize("name", ["plain_all_limited", "stream_four_gateways"])
def test_limited_endpoint_is_used_up_to_half_of_its_limit_at_least(
    name: str,
) -> None:
    load = LOADS[name]
    play = _played(load, 2)
    for endpoint in play.limited:
        span_s = CHANGES_S - NAMES_S - SETTLE_S
        times_s = play.arrived_s(endpoint, NAMES_S + SETTLE_S, CHANGES_S)
        assert len(times_s) >= load.limit_per_s * span_s / 2


@pytest.mark.parametrize("name", ["plain_four_gateways", "stream_31_gateways"])
def test_callers_are_served_elsewhere_while_one_endpoint_limits_requests(
    name: str,
) -> None:
    play = _played(LOADS[name], 3)
    assert set(play.traffic.statuses) == {200}


def test_endpoint_gets_its_requests_again_once_it_names_no_limit() -> None:
    load = LOADS["plain_68_gateways"]
    play = _played(load, 4)
    before = play.arrived_s(play.endpoints[0], 0.0, NAMES_S)
    after = play.arrived_s(play.endpoints[0], END_S - NAMES_S, END_S)
    assert len(after) >= len(before) / 2


def test_prompts_are_not_prefilled_in_vain_where_decoding_is_limited() -> None:
    play = _played(LOADS["stream_decoding_limited"], 5)
    from_s, to_s = NAMES_S + SETTLE_S, CEASES_S
    decoded, *prefilled = (
        len(play.arrived_s(endpoint, from_s, to_s))
        for endpoint in play.endpoints
    )
    assert sum(prefilled) <= 2 * decoded
