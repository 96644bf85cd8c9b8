"""Load reports between gateways."""

import attrs

from ... import ports
from ...systems import placement
from .. import _uplink
from ..cluster_state import _cluster_state
from ..messaging import _datagrams
from ..peer_exchange import _load_exchange
from . import loopback

PROMPT = placement.Prompt(
    (placement.PromptPart(b"session", 3_800), placement.PromptPart(b"o", 900)),
    2,
)


@attrs.define
class Gateway:
    """A gateway with one engine and simulated time."""

    name: str
    datagrams: loopback.LoopbackDatagrams = attrs.field(
        factory=loopback.LoopbackDatagrams
    )
    now_s: float = 100.0
    cluster: _cluster_state.ClusterState = attrs.field(init=False)
    exchange: _load_exchange.LoadExchange = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.cluster = loopback.cluster(ports.EngineRole.PREFILL)
        self.engine.cache.set_capacity(1_000_000)
        self.exchange = _load_exchange.LoadExchange(
            self.datagrams,
            self.cluster,
            self.name,
            lambda: (("127.0.0.1", 1),),
            _uplink.Uplink(1_000.0, lambda: self.now_s),
            lambda: self.now_s,
        )

    @property
    def engine(self) -> placement.EngineLoad:
        """Return this gateway's view of the engine's load."""
        load = self.cluster.load_of("e1")
        assert load is not None
        return load


def _pair() -> tuple[Gateway, Gateway]:
    one, other = Gateway("g1"), Gateway("g2")
    loopback.connect(one.datagrams, other.datagrams)
    return one, other


def test_prompts_of_an_engine_are_shared_with_other_gateways() -> None:
    """Guards against gateways that know only their own prompts, 1 in 25."""
    one, other = _pair()
    one.engine.record_prompt(PROMPT)
    one.exchange.run_once()
    assert other.engine.cache.cached_tokens(PROMPT) == PROMPT.tokens


def test_prompt_is_sent_once() -> None:
    one, other = _pair()
    one.engine.record_prompt(PROMPT)
    one.exchange.run_once()
    other.engine.cache.clear()
    one.now_s += _load_exchange.REFRESH_INTERVAL_S + 0.1
    one.exchange.run_once()
    assert other.engine.cache.cached_tokens(PROMPT) == 0


def test_requests_and_tokens_are_shared() -> None:
    one, other = _pair()
    one.engine.own_tokens.add(5_000.0, deferred=False)
    one.engine.own_counts.add(1, 3)
    one.exchange.run_once()
    assert other.engine.urgent_tokens == 5_000
    assert other.engine.requests == 3


def test_idle_gateway_sends_no_datagrams() -> None:
    one, _other = _pair()
    for _ in range(10):
        one.exchange.run_once()
        one.now_s += 0.5
    assert one.datagrams.sent == 0


def test_undecodable_datagram_is_ignored() -> None:
    one, _other = _pair()
    one.datagrams.datagram_received(b"\xc1nonsense", ("127.0.0.1", 1))
    assert one.engine.requests == 0


def test_datagrams_are_small() -> None:
    """Guards against large datagrams: slow links carry them to 20 gateways."""
    counts = placement.RequestCounts()
    counts.add(0, 3)
    engine_load = placement.GatewayEngineLoad(
        "i-0123456789", 12_000, 3_000, counts.by_rank
    )
    load = _datagrams.LoadReport(7, (engine_load,) * 10)
    assert (
        len(
            loopback.LoopbackDatagrams().encode(
                _datagrams.Datagram("g1", load)
            )
        )
        < 400
    )
