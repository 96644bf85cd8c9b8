"""Quotas on the path of a request, and over datagrams."""

import asyncio
import collections.abc
import contextlib

import attrs
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from ... import catalogue
from ... import errors
from ... import http1
from ...systems import health
from ...systems import quotas
from .. import core
from ..cluster_state import _cluster_state
from ..core import _metrics
from ..messaging import _datagrams
from ..quotas import _service
from . import configurations
from . import harness
from . import scripted

TOKENS = catalogue.QuotaUnit.TOKENS
#: A limit of one request of 1,000 tokens a second.
QUOTA = catalogue.Quota(TOKENS, 1_000.0, 1_000.0, 200.0)


class _Wire(_datagrams.Datagrams):
    """Delivers encoded datagrams between gateways by their ports."""

    def __init__(self, port: int, network: dict[int, "_Wire"]) -> None:
        super().__init__()
        self._network = network
        self._port = port
        self.sent = 0
        #: Whether what is sent is lost.
        self.cut = False
        network[port] = self

    def send(
        self,
        datagram: _datagrams.Datagram,
        addresses: collections.abc.Iterable[_datagrams.Address],
    ) -> int:
        """Deliver a datagram later."""
        data = self.encode(datagram)
        for _host, port in addresses:
            self.sent += 1
            receiver = self._network[port]
            if not self.cut and not receiver.cut:
                asyncio.get_running_loop().call_soon(
                    receiver.datagram_received, data, ("127.0.0.1", 1)
                )
        return len(data)


class _Gateway:
    """The quotas of one gateway."""

    def __init__(self, name: str, port: int, wires: dict[int, _Wire]) -> None:
        self.name = name
        self.now_s = 100.0
        self.wire = _Wire(port, wires)
        self.cluster = _cluster_state.ClusterState(
            health.HEALTH.get("outlier")(1)
        )
        self.metrics = _metrics.GatewayMetrics()
        self.others: dict[str, str] = {}
        self.quotas = _service.Quotas(
            self.wire,
            self.cluster,
            name,
            f"127.0.0.1:{port}",
            lambda: _service.Listing(self.others, True, 1e9, 9.0),
            quotas.FallbackBounds(8.0, 0.1, 120_000.0),
            self.metrics,
            lambda: self.now_s,
        )

    def admitted(self, tokens: int) -> core.AdmittedRequest:
        """Return a request of the organisation."""
        request = http1.Request(
            method=b"POST",
            target=b"/once/1",
            headers=(),
            body=b"",
            has_body=False,
            started_s=self.now_s,
            read_s=self.now_s,
        )
        return core.AdmittedRequest(
            request=request,
            request_id=b"r1",
            route=configurations.ROUTES[0],
            service="shop",
            organisation=catalogue.Organisation("o1", None, QUOTA),
            deadline_s=self.now_s + 2.0,
            prompt=None,
            last_event=b"",
            configuration_version=1,
            token_counts=b"%d,0" % tokens,
        )

    async def admit(self, tokens: int) -> core.RequestProgress:
        """Take the cost of a request."""
        progress = core.RequestProgress()
        await self.quotas.admit(self.admitted(tokens), progress)
        return progress


def _limited(version: int = 2) -> catalogue.Configuration:
    return attrs.evolve(
        configurations.configuration(version),
        organisations={
            configurations.KEY: catalogue.Organisation("o1", None, QUOTA),
            b"k2": catalogue.Organisation("o2", None),
        },
        quotas={"o1": QUOTA},
    )


async def _pair() -> tuple[_Gateway, _Gateway]:
    """Return another gateway and the home, with a full bucket."""
    wires: dict[int, _Wire] = {}
    pair = [_Gateway("g1", 1, wires), _Gateway("g2", 2, wires)]
    pair[0].others = {"g2": "127.0.0.1:2"}
    pair[1].others = {"g1": "127.0.0.1:1"}
    for gateway in pair:
        gateway.cluster.set_configuration(_limited())
    await _pass(pair, 3.0)
    view = pair[0].quotas._node.view
    home = next(each for each in pair if each.name == view.home("o1"))
    pair.remove(home)
    return pair[0], home


async def _pass(
    gateways: collections.abc.Iterable[_Gateway], seconds: float
) -> None:
    for _ in range(round(seconds / 0.05)):
        for gateway in gateways:
            gateway.now_s += 0.05
            await gateway.quotas.run_once()
        await asyncio.sleep(0)


async def test_request_over_the_limit_is_rejected_with_a_time() -> None:
    """Guards against organisations that are served without any limit."""

    async def answers(call: scripted.Call) -> bytes:
        return scripted.signed_response(call)

    endpoint = scripted.plain("e1", answers)
    async with harness.running(endpoint) as path:
        path.cluster.set_configuration(_limited())
        for _ in range(24):
            await path.quota.run_once()
            await asyncio.sleep(0.05)
        first = await path.send(token_usage="1000,100")
        second = await path.send(token_usage="1000,100")
        other = await path.send(token_usage="1000,100", key="k2")
    assert (first.status, second.status, other.status) == (200, 429, 200)
    retry_after = second.field("retry-after")
    assert retry_after is not None
    assert 0.5 < float(retry_after) <= 2.0
    assert len(endpoint.calls) == 2


@pytest.mark.parametrize("runs", [False, True])
async def test_only_a_request_that_did_not_run_is_given_back(
    runs: bool,
) -> None:
    """Guards against credit lost, or given back for what has run."""

    async def answers(call: scripted.Call) -> bytes:
        if runs:
            return scripted.signed_response(call, 500)
        return scripted.not_run(call)

    async with harness.running(scripted.plain("e1", answers)) as path:
        path.cluster.set_configuration(_limited())
        for _ in range(24):
            await path.quota.run_once()
            await asyncio.sleep(0.05)
        statuses = [
            (await path.send(token_usage="900,90")).status for _ in range(2)
        ]
    assert statuses == ([500, 429] if runs else [503, 503])


async def test_home_decides_for_the_other_gateway() -> None:
    other, _home = await _pair()
    progress = await other.admit(900)
    assert progress.quota_charge == core.QuotaCharge("o1", 900.0, _home.name)
    with pytest.raises(errors.Refusal) as refused:
        await other.admit(900)
    assert refused.value.status == 429
    assert refused.value.retry_after_s == pytest.approx(0.8, abs=0.01)


async def test_queries_of_one_iteration_share_a_datagram() -> None:
    other, _home = await _pair()
    before = other.wire.sent
    await asyncio.gather(*(other.admit(10) for _ in range(20)))
    assert other.wire.sent == before + 1


async def test_credit_returns_to_the_home_once() -> None:
    other, home = await _pair()
    progress = await other.admit(900)
    other.quotas.release(progress)
    other.quotas.release(progress)
    await _pass((other, home), 0.05)
    await home.admit(950)
    with pytest.raises(errors.Refusal):
        await home.admit(500)


async def test_request_that_may_have_run_is_not_given_back() -> None:
    other, home = await _pair()
    progress = await other.admit(900)
    progress.may_have_run = True
    other.quotas.release(progress)
    await _pass((other, home), 0.05)
    with pytest.raises(errors.Refusal):
        await home.admit(500)


@pytest.mark.parametrize("iterations", [1, 2, 3, 4, 5, 6])
async def test_cancelled_request_leaves_its_credit(iterations: int) -> None:
    """Guards against credit lost with a caller that closes its connection."""
    other, home = await _pair()
    task = asyncio.ensure_future(other.admit(900))
    for _ in range(iterations):
        await asyncio.sleep(0)
    if task.done():
        # It was not cancelled, so it has to give back the credit itself.
        other.quotas.release(task.result())
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    await _pass((other, home), 0.1)
    await home.admit(950)


async def test_gateway_without_an_answer_uses_its_share() -> None:
    """Guards against requests that wait for a home that is gone."""
    other, home = await _pair()
    home.wire.cut = True
    task = asyncio.ensure_future(other.admit(100))
    await asyncio.sleep(0)
    other.now_s += 0.11
    progress = await task
    assert progress.quota_charge is not None
    assert progress.quota_charge.granted_by == ""
    home.wire.cut = False
    await _pass((other, home), 1.0)
    progress = await other.admit(100)
    assert progress.quota_charge is not None
    assert progress.quota_charge.granted_by == home.name
    rendered = other.metrics.metrics.render().decode()
    assert "bilberrydeal_quota_fallback_requests_total" in rendered
    assert 'outcome="admitted"' in rendered


async def test_nothing_is_sent_without_a_limit() -> None:
    wires: dict[int, _Wire] = {}
    gateway = _Gateway("g1", 1, wires)
    _Gateway("g2", 2, wires)
    gateway.others = {"g2": "127.0.0.1:2"}
    gateway.cluster.set_configuration(configurations.configuration())
    await _pass([gateway], 3.0)
    admitted = attrs.evolve(
        gateway.admitted(10), organisation=catalogue.Organisation("o2", None)
    )
    progress = core.RequestProgress()
    await gateway.quotas.admit(admitted, progress)
    assert progress.quota_charge is None
    assert gateway.wire.sent == 0


async def test_gateway_that_ends_says_so() -> None:
    other, home = await _pair()
    other.quotas.shut_down()
    # It goes on to send heartbeats until its last write is done.
    await _pass((other, home), 0.5)
    assert home.quotas._node.view.names == (home.name,)


_NUMBER = strategies.one_of(
    strategies.integers(-(2**63), 2**64 - 1),
    strategies.floats(),
    strategies.none(),
)
_QUERY = strategies.tuples(
    _NUMBER, strategies.sampled_from(["o1", "o2", ""]), _NUMBER
)
_ANSWER = strategies.tuples(
    strategies.one_of(strategies.integers(0, 5), _NUMBER), _NUMBER, _NUMBER
)
_BEAT = strategies.tuples(
    _NUMBER,
    strategies.sampled_from(["127.0.0.1:1", "", "x", "127.0.0.1:99999"]),
    strategies.lists(strategies.integers(-3, 3), max_size=3),
    strategies.lists(
        strategies.sampled_from(["g1", "g2", "g3", ""]), max_size=3
    ),
    strategies.booleans(),
    strategies.booleans(),
)
_MESSAGE = strategies.tuples(
    strategies.lists(_QUERY, max_size=4),
    strategies.lists(_ANSWER, max_size=4),
    strategies.one_of(strategies.none(), _BEAT),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            strategies.binary(max_size=80),
            strategies.tuples(
                strategies.sampled_from(["g1", "g2", "g3"]),
                strategies.one_of(
                    _MESSAGE, strategies.binary(max_size=8), _NUMBER
                ),
            ).map(
                lambda each: msgspec.msgpack.encode(
                    [each[0], 0, [], None, [], [], None, "", [], [], each[1]]
                )
            ),
        ),
        max_size=5,
    )
)
def test_no_bytes_end_a_process(datagrams: list[bytes]) -> None:
    """Guards against an error in the event loop, and a spoilt bucket."""

    async def play() -> None:
        gateway = _Gateway("g1", 1, {2: _Wire(2, {}), 99: _Wire(99, {})})
        gateway.wire._network.update({1: gateway.wire})
        gateway.others = {"g2": "127.0.0.1:2"}
        gateway.cluster.set_configuration(_limited())
        await gateway.quotas.run_once()
        for data in datagrams:
            gateway.wire.datagram_received(data, ("127.0.0.1", 1))
        await _pass([gateway], 0.2)
        task = asyncio.ensure_future(gateway.admit(1))
        await asyncio.sleep(0)
        gateway.now_s += 0.2
        with contextlib.suppress(errors.Refusal):
            await task
        with contextlib.suppress(errors.Refusal):
            progress = await asyncio.wait_for(gateway.admit(1), 5.0)
            gateway.quotas.release(progress)

    asyncio.run(play())
