"""Gateways, engines and requests, played without a network."""

import collections.abc
import random

import attrs

from .. import _base
from .. import _crash_counts

#: Interval between two steps of a play, in seconds.
STEP_S = 0.05
#: Interval at which gateways decide and tell news, in seconds.
TELL_INTERVAL_S = 0.1
FAILURE_DOMAINS = 4
#: Time between the head of a response and its first event, in seconds, and
#: share of the heads that arrive before their connection is lost.
HEAD_BEFORE_S = 0.05
HEAD_SHARE = 0.8
#: The part that crashes engines.
CRASHING = b"bad0"


@attrs.frozen
class Network:
    """How datagrams between gateways fare."""

    loss: float = 0.0
    doubled: float = 0.0
    #: Share of datagrams that are late, and by how much at most, in seconds.
    late: float = 0.0
    late_s: float = 0.0


@attrs.define(eq=False)
class Engine:
    """An engine, which may crash and return as another process."""

    engine_id: str
    failure_domain: str
    started: int = 0
    down_until_s: float = float("-inf")
    streams: list["Stream"] = attrs.field(factory=list)

    @property
    def process(self) -> str:
        """Return the id of its present run."""
        return f"{self.engine_id}@{self.started}"


@attrs.define(eq=False)
class Stream:
    """A stream that an engine generates."""

    gateway: int
    parts: tuple[bytes, ...]
    engine: Engine
    began_s: float
    first_s: float
    ends_s: float
    attempts: int
    told_sound: bool = False


@attrs.define(eq=False)
class Fleet:
    """Gateways that share engines."""

    gateways: int
    seed: int
    network: Network = attrs.field(factory=Network)
    engines_count: int = 12
    sound_per_s: float = 40.0
    crashing_per_s: float = 0.0
    #: Time between two ordinary crashes, in seconds; 0 without any.
    crash_interval_s: float = 0.0
    now_s: float = 1000.0
    systems: list[_crash_counts.CrashCounts] = attrs.field(factory=list)
    engines: list[Engine] = attrs.field(factory=list)
    #: Times of the crashes under the crashing part.
    crashes_s: list[float] = attrs.field(factory=list)
    #: Times at which requests with that part reached engines.
    sends_s: list[float] = attrs.field(factory=list)
    #: Sound requests that were refused.
    refused_sound: list[tuple[bytes, ...]] = attrs.field(factory=list)
    served_sound: int = 0
    _rng: random.Random = attrs.field(factory=random.Random)
    _in_flight: list[tuple[float, int, _base.News]] = attrs.field(factory=list)
    _numbers: int = 0
    _told_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._rng.seed(self.seed)
        self.systems = [
            _crash_counts.CrashCounts() for _each in range(self.gateways)
        ]
        self.engines = [
            Engine(f"e{number}", f"d{number % FAILURE_DOMAINS}")
            for number in range(self.engines_count)
        ]

    def run(
        self,
        duration_s: float,
        each_step: collections.abc.Callable[["Fleet"], None] | None = None,
    ) -> None:
        """Play for a while."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._arrivals()
            self._advance_streams()
            if self.crash_interval_s and self._chance(self.crash_interval_s):
                self.crash(self._rng.choice(self.engines))
            if each_step is not None:
                each_step(self)
            self._exchange()

    def crash(self, engine: Engine) -> None:
        """End an engine; its streams are lost."""
        if self.now_s < engine.down_until_s:
            return
        process, lost = engine.process, engine.streams
        engine.streams = []
        engine.started += 1
        engine.down_until_s = self.now_s + self._rng.uniform(3.0, 5.0)
        for stream in lost:
            self.lose(process, stream)

    def lose(self, process: str, stream: Stream) -> None:
        """Let a gateway see that a stream is lost; it may repeat it."""
        system = self.systems[stream.gateway]
        if self.now_s - stream.first_s < 0.5:
            started = self.now_s >= stream.first_s - HEAD_BEFORE_S
            prompt = _base.SuspectPrompt(
                stream.parts[-1],
                stream.parts[:-1],
                started and self._rng.random() < HEAD_SHARE,
            )
            domain = stream.engine.failure_domain
            loss = _base.EngineLoss(process, domain, prompt, self.now_s)
            system.observe_loss(loss, self.now_s)
        if stream.attempts < 2 and not system.suspects(
            stream.parts, self.now_s
        ):
            self.send(stream.gateway, stream.parts, stream.attempts + 1)

    def lose_domain(self, failure_domain: str) -> None:
        """End all engines of a failure domain."""
        for engine in self.engines:
            if engine.failure_domain == failure_domain:
                self.crash(engine)

    def cut(self, gateway: int) -> None:
        """Cut all connections of a gateway to its engines."""
        for engine in self.engines:
            lost = [each for each in engine.streams if each.gateway == gateway]
            engine.streams = [
                each for each in engine.streams if each.gateway != gateway
            ]
            for stream in lost:
                self.lose(engine.process, stream)

    def restart_gateway(self, gateway: int) -> None:
        """Start a gateway anew; the others tell it what they know."""
        self.systems[gateway] = _crash_counts.CrashCounts()
        others = [n for n in range(self.gateways) if n != gateway]
        for other in self._rng.sample(others, min(3, len(others))):
            news = self.systems[other].summary(self.now_s)
            self._post(gateway, news)

    def send(
        self, gateway: int, parts: tuple[bytes, ...], attempts: int = 1
    ) -> None:
        """Send a request to some engine unless its parts are quarantined."""
        found = self.systems[gateway].find(parts, self.now_s)
        crashing = CRASHING in parts[:-1]
        if found is not None:
            if not crashing:
                self.refused_sound.append(parts)
            return
        usable = [e for e in self.engines if self.now_s >= e.down_until_s]
        if not usable:
            return
        engine = self._rng.choice(usable)
        if crashing:
            self.sends_s.append(self.now_s)
        first_s = self.now_s + self._rng.uniform(0.05, 0.3)
        ends_s = first_s + self._rng.uniform(0.2, 3.0)
        engine.streams.append(
            Stream(
                gateway, parts, engine, self.now_s, first_s, ends_s, attempts
            )
        )

    def new_part(self) -> bytes:
        """Return the id of a part that nothing else shares."""
        self._numbers += 1
        return b"%x" % (1_000_000 + self._numbers)

    def _chance(self, interval_s: float) -> bool:
        return self._rng.random() < STEP_S / interval_s

    def _arrivals(self) -> None:
        for rate, crashing in (
            (self.sound_per_s, False),
            (self.crashing_per_s, True),
        ):
            expected = rate * STEP_S
            count = int(expected) + (self._rng.random() < expected % 1.0)
            for _each in range(count):
                gateway = self._rng.randrange(self.gateways)
                self.send(gateway, self._parts(crashing))

    def _parts(self, crashing: bool) -> tuple[bytes, ...]:
        """Return parts: a popular one, one of many, one of its own."""
        popular = b"a%x" % self._rng.randrange(8)
        rare = b"c%x" % int(self._rng.paretovariate(0.6))
        if not crashing:
            return (popular, rare, self.new_part())
        if self._rng.random() < 0.5:
            return (popular, CRASHING, self.new_part())
        return (popular, rare, CRASHING, self.new_part())

    def _advance_streams(self) -> None:
        for engine in self.engines:
            for stream in list(engine.streams):
                if stream not in engine.streams:
                    continue
                if self.now_s < stream.first_s:
                    continue
                if CRASHING in stream.parts[:-1]:
                    self.crashes_s.append(self.now_s)
                    self.crash(engine)
                    break
                self._advance(engine, stream)

    def _advance(self, engine: Engine, stream: Stream) -> None:
        system = self.systems[stream.gateway]
        system.observe_response(engine.process, stream.began_s, self.now_s)
        ended = self.now_s >= stream.ends_s
        if ended:
            engine.streams.remove(stream)
            self.served_sound += 1
        begun = self.now_s - stream.first_s >= 1.0
        if (ended or begun) and not stream.told_sound:
            stream.told_sound = True
            system.observe_sound(stream.parts, self.now_s)

    def _exchange(self) -> None:
        arrived = [each for each in self._in_flight if each[0] <= self.now_s]
        self._in_flight = [
            each for each in self._in_flight if each[0] > self.now_s
        ]
        for _at_s, gateway, news in arrived:
            self.systems[gateway].learn(news, self.now_s)
        if self.now_s - self._told_s < TELL_INTERVAL_S:
            return
        self._told_s = self.now_s
        for number, system in enumerate(self.systems):
            system.run(self.now_s)
            news = system.news(self.gateways, self.now_s)
            if news.empty:
                continue
            for other in range(self.gateways):
                if other != number:
                    self._post(other, news)

    def _post(self, gateway: int, news: _base.News) -> None:
        network, rng = self.network, self._rng
        if rng.random() < network.loss:
            return
        for _copy in range(1 + (rng.random() < network.doubled)):
            delay_s = 0.002
            if rng.random() < network.late:
                delay_s += rng.uniform(0.0, network.late_s)
            self._in_flight.append((self.now_s + delay_s, gateway, news))
