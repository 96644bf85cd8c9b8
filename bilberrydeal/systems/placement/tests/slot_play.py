"""Simulates requests that compete for the slots of engines, without I/O.

Time passes in steps. An engine that decodes runs a part of a prefill between
two decode steps, which delays the events of all its streams. Gateways know
what others have sent from reports that come at intervals.
"""

import collections.abc
import functools
import heapq
import itertools
import random

import attrs

from .... import ports
from ... import placement
from . import burst

#: Length of a step, in seconds.
STEP_S = 0.002
#: Prefill speed of an engine that does not decode. A long prompt takes 96 ms
#: at one that decodes, so two in a row delay an event beyond its target.
TOKENS_PER_S = 60_000.0
#: Time between two events of a stream that nothing delays, in seconds.
EVENT_S = 0.049
#: Share of the time of an engine that decodes that prefills take.
PREFILL_SHARE = 0.8
#: Share of the full speed at which an engine that decodes prefills.
MIXED_SPEED = 0.5
#: Time of a message over the network, in seconds.
HOP_S = 0.001
#: Time between two reports of a gateway, in seconds.
REPORT_S = 0.05
#: Time that callers wait for the first event, in seconds.
DEADLINE_S = 2.0


@attrs.frozen
class Kind:
    """Requests that are alike."""

    name: str
    rank: int
    #: Tokens of the parts of the prompt; the last is not shared.
    parts: tuple[int, ...]
    output_tokens: int
    #: Number of events after the first one.
    events: int
    #: Targets for the first event and each gap, in seconds.
    target_s: float
    gap_s: float = 0.15


#: Long prompts and short answers.
BRIEF = Kind("brief", 0, (2_500, 3_800, 2_890), 115, 2, 0.235)
#: Short prompts and long answers.
STREAM = Kind("stream", 1, (50, 170), 5_500, 71, 0.162)


@attrs.define(eq=False)
class Caller:
    """A request and what its caller got."""

    kind: Kind
    prompt: placement.Prompt
    began_s: float
    refused: bool = False
    #: Events in order, in seconds.
    events_s: list[float] = attrs.field(factory=list)
    done: bool = False

    @property
    def first_in_time(self) -> bool:
        """Return whether the first event met the target."""
        late_s = self.began_s + self.kind.target_s
        return bool(self.events_s) and self.events_s[0] <= late_s

    @property
    def gaps_in_time(self) -> bool:
        """Return whether all gaps met the target."""
        pairs = itertools.pairwise(self.events_s)
        return self.done and all(b - a <= self.kind.gap_s for a, b in pairs)

    @property
    def in_time(self) -> bool:
        """Return whether the response met all targets."""
        return self.first_in_time and self.gaps_in_time


@attrs.define(eq=False)
class Job:
    """A request at an engine."""

    caller: Caller
    rank: int
    number: int
    #: Prompt tokens that are not prefilled yet.
    prefill_tokens: float
    #: Tells the gateway of the first event, or the end of a prefill.
    on_first: collections.abc.Callable[[], None]
    #: Tells the gateway that the request has left the engine.
    on_end: collections.abc.Callable[[], None]
    #: Time that it has decoded, in seconds; negative before the first event.
    decoded_s: float = -0.005

    @property
    def order(self) -> tuple[int, int]:
        """Return the order in which an engine starts requests."""
        return self.rank, self.number


@attrs.define(eq=False)
class Engine:
    """A simulated engine."""

    engine_id: str
    role: ports.EngineRole
    slots: int
    cache: placement.PartCache
    tokens_per_s: float = TOKENS_PER_S
    waiting: list[tuple[tuple[int, int], Job]] = attrs.field(factory=list)
    running: list[Job] = attrs.field(factory=list)

    @property
    def prefill_only(self) -> bool:
        """Return whether it only prefills."""
        return self.role is ports.EngineRole.PREFILL

    def submit(self, job: Job) -> None:
        """Queue a request."""
        heapq.heappush(self.waiting, (job.order, job))

    def step(self, now_s: float) -> None:
        """Let a step of time pass."""
        while self.waiting and len(self.running) < self.slots:
            self.running.append(heapq.heappop(self.waiting)[1])
        prefilled_s = self._prefill()
        decoded_s = STEP_S - prefilled_s
        for job in list(self.running):
            if job.prefill_tokens <= 0.0:
                self._decode(job, decoded_s, now_s)

    def _prefill(self) -> float:
        """Prefill; return the time in which it did not decode."""
        speed, share = self.tokens_per_s, 1.0
        if not self.prefill_only:
            speed, share = speed * MIXED_SPEED, PREFILL_SHARE
        left_s = share * STEP_S
        for job in sorted(self.running, key=lambda job: job.order):
            if job.prefill_tokens > 0.0 and left_s > 0.0:
                tokens = min(job.prefill_tokens, left_s * speed)
                job.prefill_tokens -= tokens
                left_s -= tokens / speed
        return share * STEP_S - left_s

    def _decode(self, job: Job, decoded_s: float, now_s: float) -> None:
        caller = job.caller
        if self.prefill_only:
            job.on_first()
            self._end(job)
            return
        job.decoded_s += decoded_s
        while job.decoded_s >= len(caller.events_s) * EVENT_S:
            caller.events_s.append(now_s)
            if len(caller.events_s) == 1:
                job.on_first()
            if len(caller.events_s) > caller.kind.events:
                caller.done = True
                self._end(job)
                return

    def _end(self, job: Job) -> None:
        self.running.remove(job)
        job.on_end()


class Gateway(burst.Gateway):
    """A gateway that learns what long streams need unless told not to."""

    def __init__(
        self, name: str, engines: list[Engine], learns: bool = True
    ) -> None:
        super().__init__(name, engines)  # type: ignore[arg-type]
        self.learns = learns
        line = placement.Line(0.003, 1 / engines[0].tokens_per_s)
        speed = placement.ServiceSpeed(line, placement.Line(0.008, 0.0))
        first = next(iter(self.loads.values()))
        for engine in engines:
            load = self.loads[engine.engine_id]
            load.slots = engine.slots
            load.long_streams = first.long_streams
            load.slot_times = first.slot_times
            load.speed = placement.EngineSpeed(speed)
        self.streams = first.long_streams

    def observe(self, now_s: float) -> None:
        """Do what a gateway does at intervals."""
        self.peers.drop_stale(now_s)
        self.peers.apply(self.loads.get)
        if self.learns:
            self.peers.observe(list(self.loads.values()), now_s)


@attrs.frozen
class Phase:
    """Rates of kinds of requests for a while."""

    lasts_s: float
    #: Requests a second.
    rates: dict[Kind, float]


class Play:
    """A fleet of gateways and engines, and what its callers got."""

    def __init__(
        self,
        phases: list[Phase],
        *,
        prefill_engines: int = 7,
        decode_engines: int = 9,
        slots: int = 8,
        gateways: int = 5,
        learns: bool = True,
        tokens_per_s: float = TOKENS_PER_S,
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        roles = [ports.EngineRole.PREFILL] * prefill_engines
        roles += [ports.EngineRole.DECODE] * decode_engines
        self.engines = {
            f"e{number}": Engine(
                f"e{number}",
                role,
                slots,
                placement.PartCache(1_280_000),
                tokens_per_s,
            )
            for number, role in enumerate(roles)
        }
        self.gateways = [
            Gateway(f"g{n}", list(self.engines.values()), learns)
            for n in range(gateways)
        ]
        self.placer = placement.TwoStagePlacer()
        self.callers: list[Caller] = []
        self.now_s = 0.0
        self.ends_s = sum(phase.lasts_s for phase in phases)
        #: Engines that are gone.
        self.gone: set[str] = set()
        #: Whether a report from one gateway to another is lost.
        self.is_lost: collections.abc.Callable[[Gateway, Gateway], bool] = (
            lambda sender, receiver: False
        )
        self._events: list[tuple[float, int, burst.Act]] = []
        self._numbers = itertools.count()
        self._schedule(phases)
        for number, gateway in enumerate(self.gateways):
            first_s = REPORT_S * number / gateways
            self.at(first_s, functools.partial(self._report, gateway))

    def at(self, when_s: float, act: burst.Act) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (when_s, next(self._numbers), act))

    def _schedule(self, phases: list[Phase]) -> None:
        start_s = 0.0
        for phase in phases:
            for kind, rate in phase.rates.items():
                when_s = start_s
                while rate:
                    when_s += self.random.expovariate(rate)
                    if when_s >= start_s + phase.lasts_s:
                        break
                    self.at(when_s, functools.partial(self._new_caller, kind))
            start_s += phase.lasts_s

    def play(self) -> "Play":
        """Play until all requests have ended."""
        while self.now_s < self.ends_s + DEADLINE_S + 6.0:
            self.now_s += STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            for engine in self.engines.values():
                if engine.running or engine.waiting:
                    engine.step(self.now_s)
        return self

    def of(
        self, kind: Kind, from_s: float = 0.0, to_s: float = 1e9
    ) -> list[Caller]:
        """Return the callers of a kind that began in a period."""
        return [
            caller
            for caller in self.callers
            if caller.kind == kind and from_s <= caller.began_s < to_s
        ]

    def share(
        self,
        kind: Kind,
        good: collections.abc.Callable[[Caller], bool],
        from_s: float = 0.0,
        to_s: float = 1e9,
    ) -> float:
        """Return the share of the callers of a kind that got something."""
        callers = self.of(kind, from_s, to_s)
        return sum(map(good, callers)) / max(len(callers), 1)

    def _report(self, gateway: Gateway) -> None:
        gateway.observe(self.now_s)
        report = gateway.report()
        for other in self.gateways:
            if other is not gateway and not self.is_lost(gateway, other):
                burst.receive(
                    other, gateway.name, gateway.sequence, report, self.now_s
                )
        if self.now_s < self.ends_s + DEADLINE_S:
            self.at(
                self.now_s + REPORT_S,
                functools.partial(self._report, gateway),
            )

    def _new_caller(self, kind: Kind) -> None:
        session = self.random.randrange(400)
        names = [b"system", b"session%d" % session][: len(kind.parts) - 1]
        names.append(b"own%d" % len(self.callers))
        parts = tuple(
            placement.PromptPart(kind.name.encode() + name, tokens)
            for name, tokens in zip(names, kind.parts, strict=True)
        )
        prompt = placement.Prompt(parts, kind.output_tokens)
        caller = Caller(kind, prompt, self.now_s)
        self.callers.append(caller)
        gateway = self.random.choice(self.gateways)
        request = placement.Request(
            prompt=prompt,
            target_s=kind.target_s,
            time_left_s=DEADLINE_S,
            failure_domain="d1",
            rank=kind.rank,
        )
        placed = self.placer.place(request, self._usable(gateway), self.now_s)
        if isinstance(placed, placement.DeadlineUnreachable):
            caller.refused = True
            return
        self._send(caller, gateway, request, placed)

    def _usable(self, gateway: Gateway) -> list[placement.EngineLoad]:
        return [
            load
            for load in gateway.loads.values()
            if load.engine_id not in self.gone
        ]

    def _send(
        self,
        caller: Caller,
        gateway: Gateway,
        request: placement.Request,
        placed: placement.Placement,
    ) -> None:
        load = gateway.loads[placed.engine_id]
        engine = self.engines[placed.engine_id]
        load.record_prompt(caller.prompt)
        rank = placement.engine_rank(caller.kind.rank, placed.deferred)
        load.own_counts.add(rank, 1)
        pending = placement.OutstandingPrefill(
            placed.uncached_tokens,
            placed.work_tokens,
            placed.deferred,
            self.now_s,
        )
        if placed.work_tokens:
            load.start_prefill(pending)

        def on_first() -> None:
            load.end_prefill(pending)
            if placed.separate_decode and engine.prefill_only:
                self.at(
                    self.now_s + HOP_S,
                    lambda: self._send_decode(
                        caller, gateway, request, placed
                    ),
                )

        def on_end() -> None:
            load.own_counts.add(rank, -1)
            if caller.done:
                held_s = self.now_s - caller.events_s[0]
                load.slot_times.update(caller.kind.rank, held_s)

        tokens = 0.0
        if placed.work_tokens:
            cached = engine.cache.cached_tokens(caller.prompt)
            tokens = max(caller.prompt.tokens - cached, 1.0)
            engine.cache.record(caller.prompt)
        job = Job(caller, rank, next(self._numbers), tokens, on_first, on_end)
        self.at(self.now_s + HOP_S, lambda: engine.submit(job))

    def _send_decode(
        self,
        caller: Caller,
        gateway: Gateway,
        request: placement.Request,
        placed: placement.Placement,
    ) -> None:
        chosen = self.placer.decode_engine(
            request, placed.engine_id, self._usable(gateway)
        )
        if chosen is None:
            caller.refused = True
            return
        self._send(
            caller,
            gateway,
            request,
            attrs.evolve(
                placed, engine_id=chosen, uncached_tokens=0.0, work_tokens=0.0
            ),
        )
