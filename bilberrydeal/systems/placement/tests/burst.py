"""Plays a burst of prompts at gateways that share engines, without I/O.

The engines prefill by rank and finish what they have begun. Gateways know what
others have sent from reports that come at intervals. Callers that are refused
come back once the time that they were told has passed.
"""

import collections.abc
import functools
import heapq
import itertools
import random
import typing

import attrs

from .... import ports
from ... import placement

#: Prefill speed of an engine that does not decode.
TOKENS_PER_S = 326_000.0
#: Time of each prefill beside that for its tokens, in seconds.
BASE_S = 0.003
#: Time from the end of a prefill to the first token, in seconds.
DECODE_S = 0.015
#: Time of a message over the network, in seconds.
HOP_S = 0.001
#: Target of the route, in seconds.
TARGET_S = 0.15
#: Time that callers have, in seconds.
DEADLINE_S = 2.0
#: Sends of one caller.
TRIES = 3
PREFILL_ENGINES = 10
DECODE_ENGINES = 3
SESSIONS = 2_000
#: Shares of the capacity that are asked for, with their durations in seconds.
PHASES = ((0.35, 0.5), (2.3, 1.5), (0.2, 1.0))
#: Time within the second phase when engines should always work.
BURST = (0.7, 2.0)
#: Mean of the tokens that a request prefills, to scale the phases.
MEAN_TOKENS = 6_000.0
#: Time between two reports of a gateway by the number of gateways, in seconds.
REPORT_INTERVALS_S = {5: 0.05, 31: 0.25, 68: 0.4}

LINE = placement.Line(BASE_S, 1 / TOKENS_PER_S)

Act = collections.abc.Callable[[], None]
#: Time after which a prefill is given up, by its placement and the time left.
Patience = collections.abc.Callable[[placement.Placement, float], float]


class Places(typing.Protocol):
    """Chooses the engine of a request."""

    def place(
        self,
        request: placement.Request,
        engines: collections.abc.Sequence[placement.EngineLoad],
        now_s: float,
    ) -> placement.Outcome:
        """Choose the next engine for a request."""


@attrs.define(eq=False)
class Caller:
    """A request of a caller over its tries."""

    prompt: placement.Prompt
    deadline_s: float
    tries: int = 0
    #: Time from the first try to the first token, in seconds.
    first_s: float | None = None
    #: Whether the last word was a refusal.
    refused: bool = False


@attrs.define(eq=False)
class Send:
    """A prefill at an engine."""

    caller: Caller
    gateway: "Gateway"
    engine_id: str
    pending: placement.OutstandingPrefill
    rank: int
    tokens: float
    ended: bool = False


@attrs.define(eq=False)
class Engine:
    """A simulated engine."""

    engine_id: str
    role: ports.EngineRole
    cache: placement.PartCache
    queue: list[tuple[int, int, Send]] = attrs.field(factory=list)
    running: Send | None = None
    free_at_s: float = 0.0
    #: Time that it has prefilled, in seconds.
    worked_s: float = 0.0

    @property
    def speed(self) -> float:
        """Return its speed, which is half if it also decodes."""
        separate = self.role is ports.EngineRole.PREFILL
        return TOKENS_PER_S if separate else TOKENS_PER_S / 2


class Gateway:
    """A gateway with its view of the engines."""

    def __init__(self, name: str, engines: list[Engine]) -> None:
        self.name = name
        self.peers = placement.PeerLoads()
        speed = placement.ServiceSpeed(
            LINE, placement.Line(DECODE_S + HOP_S, 0.0)
        )
        arrivals = placement.PeerArrivals()
        self.loads = {
            each.engine_id: placement.EngineLoad(
                engine_id=each.engine_id,
                failure_domain="d1",
                service="llm",
                role=each.role,
                slots=64,
                cache=placement.PartCache(1_280_000),
                speed=placement.EngineSpeed(speed),
                arrivals=arrivals,
            )
            for each in engines
        }
        self.sequence = 0

    def report(self) -> tuple[placement.GatewayEngineLoad, ...]:
        """Return what other gateways are told."""
        self.sequence += 1
        report = tuple(
            placement.GatewayEngineLoad(
                load.engine_id,
                int(load.own_tokens.urgent),
                int(load.own_tokens.deferred),
                list(load.own_counts.by_rank),
                tuple(load.unreported_prompts),
            )
            for load in self.loads.values()
            if load.own_counts.total or load.unreported_prompts
        )
        for load in self.loads.values():
            load.unreported_prompts.clear()
        return report


def receive(
    gateway: Gateway,
    sender: str,
    sequence: int,
    report: tuple[placement.GatewayEngineLoad, ...],
    now_s: float,
) -> None:
    """Apply the report of another gateway."""
    if gateway.peers.update(sender, sequence, report, now_s):
        gateway.peers.learn(sender, report, gateway.loads.get, now_s)
        gateway.peers.apply(gateway.loads.get)


class Burst:
    """A fleet of gateways and engines, and what its callers got."""

    def __init__(
        self, gateways: int, placer: Places, patience: Patience, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        roles = [ports.EngineRole.PREFILL] * PREFILL_ENGINES
        roles += [ports.EngineRole.DECODE] * DECODE_ENGINES
        self.engines = {
            f"e{number}": Engine(
                f"e{number}", role, placement.PartCache(1_280_000)
            )
            for number, role in enumerate(roles)
        }
        engines = list(self.engines.values())
        self.gateways = [Gateway(f"g{n}", engines) for n in range(gateways)]
        self.interval_s = REPORT_INTERVALS_S[gateways]
        self.placer = placer
        self.patience = patience
        self.callers: list[Caller] = []
        self.now_s = 0.0
        #: Time that engines had prefilled when the burst began and ended.
        self._worked_s: list[float] = []
        self._events: list[tuple[float, int, Act]] = []
        self._numbers = itertools.count()
        self._sessions = [
            (
                placement.PromptPart(b"system%d" % (n % 4), 2_520),
                placement.PromptPart(
                    b"session%d" % n,
                    int(self.rng.lognormvariate(8.0, 0.7)),
                ),
            )
            for n in range(SESSIONS)
        ]

    def at(self, when_s: float, act: Act) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (when_s, next(self._numbers), act))

    def play(self) -> "Burst":
        """Play the whole burst."""
        start_s = 0.0
        capacity = TOKENS_PER_S * PREFILL_ENGINES / MEAN_TOKENS
        for share, lasts_s in PHASES:
            when_s = start_s
            while True:
                when_s += self.rng.expovariate(capacity * share)
                if when_s >= start_s + lasts_s:
                    break
                self.at(when_s, self._new_caller)
            start_s += lasts_s
        for gateway in self.gateways:
            first_s = self.rng.uniform(0.0, self.interval_s)
            self.at(first_s, functools.partial(self._report, gateway, start_s))
        for when_s in BURST:
            self.at(when_s, self._note_work)
        while self._events:
            self.now_s, _number, act = heapq.heappop(self._events)
            act()
        return self

    def _report(self, gateway: Gateway, until_s: float) -> None:
        report = gateway.report()
        for other in self.gateways:
            if other is not gateway:
                receive(
                    other, gateway.name, gateway.sequence, report, self.now_s
                )
        if self.now_s < until_s + DEADLINE_S:
            self.at(
                self.now_s + self.interval_s,
                lambda: self._report(gateway, until_s),
            )

    def _new_caller(self) -> None:
        own = placement.PromptPart(
            b"own%d" % len(self.callers),
            int(min(self.rng.lognormvariate(7.5, 1.0), 39_600)) + 1,
        )
        prompt = placement.Prompt((*self.rng.choice(self._sessions), own), 2)
        caller = Caller(prompt, self.now_s + DEADLINE_S)
        self.callers.append(caller)
        self._try(caller)

    def _try(self, caller: Caller) -> None:
        caller.tries += 1
        caller.refused = False
        gateway = self.rng.choice(self.gateways)
        request = placement.Request(
            prompt=caller.prompt,
            target_s=TARGET_S,
            time_left_s=caller.deadline_s - self.now_s,
            failure_domain="d1",
        )
        engines = list(gateway.loads.values())
        placed = self.placer.place(request, engines, self.now_s)
        if isinstance(placed, placement.DeadlineUnreachable):
            self._refuse(caller, placed.retry_after_s)
            return
        self._send(caller, gateway, placed)

    def _refuse(self, caller: Caller, retry_after_s: float) -> None:
        caller.refused = True
        left_s = caller.deadline_s - self.now_s
        wait_s = min(retry_after_s, left_s / 3)
        if caller.tries < TRIES and left_s - wait_s > 0.05:
            self.at(self.now_s + wait_s, lambda: self._try(caller))

    def _send(
        self, caller: Caller, gateway: Gateway, placed: placement.Placement
    ) -> None:
        load = gateway.loads[placed.engine_id]
        load.record_prompt(caller.prompt)
        rank = placement.engine_rank(0, placed.deferred)
        load.own_counts.add(rank, 1)
        pending = placement.OutstandingPrefill(
            placed.uncached_tokens,
            placed.work_tokens,
            placed.deferred,
            self.now_s,
        )
        load.start_prefill(pending)
        send = Send(caller, gateway, placed.engine_id, pending, rank, 0.0)
        self.at(self.now_s + HOP_S, lambda: self._arrive(send))
        left_s = caller.deadline_s - self.now_s
        limit_s = min(left_s, self.patience(placed, left_s))
        self.at(self.now_s + limit_s, lambda: self._give_up(send))

    def _arrive(self, send: Send) -> None:
        engine = self.engines[send.engine_id]
        prompt = send.caller.prompt
        send.tokens = max(
            prompt.tokens - engine.cache.cached_tokens(prompt), 1.0
        )
        entry = (send.rank, next(self._numbers), send)
        heapq.heappush(engine.queue, entry)
        self._next(engine)

    def _next(self, engine: Engine) -> None:
        if engine.running is not None:
            return
        while engine.queue:
            _rank, _number, send = heapq.heappop(engine.queue)
            if send.ended:
                continue
            prompt = send.caller.prompt
            tokens = prompt.tokens - engine.cache.cached_tokens(prompt)
            engine.cache.record(prompt)
            engine.running = send
            takes_s = max(tokens, 1.0) / engine.speed + BASE_S
            engine.free_at_s = self.now_s + takes_s
            engine.worked_s += takes_s
            self.at(engine.free_at_s, lambda: self._prefilled(engine))
            return

    def _prefilled(self, engine: Engine) -> None:
        send = engine.running
        assert send is not None
        engine.running = None
        self._next(engine)
        if not send.ended:
            self.at(self.now_s + HOP_S, lambda: self._first(send))

    def _first(self, send: Send) -> None:
        if send.ended:
            return
        self._end(send)
        began_s = send.caller.deadline_s - DEADLINE_S
        send.caller.first_s = self.now_s + DECODE_S - began_s

    def _give_up(self, send: Send) -> None:
        if send.ended:
            return
        self._end(send)
        if send.caller.deadline_s > self.now_s:
            self._refuse(send.caller, 0.1)

    def _end(self, send: Send) -> None:
        send.ended = True
        load = send.gateway.loads[send.engine_id]
        load.end_prefill(send.pending)
        load.own_counts.add(send.rank, -1)

    @property
    def served_share(self) -> float:
        """Return the share of callers that were served."""
        served = sum(each.first_s is not None for each in self.callers)
        return served / len(self.callers)

    @property
    def undecided_share(self) -> float:
        """Return the share of callers that waited until their deadline."""
        undecided = sum(
            each.first_s is None and not each.refused for each in self.callers
        )
        return undecided / len(self.callers)

    @property
    def busy_share(self) -> float:
        """Return the share of the burst that prefill engines worked."""
        after, before = self._worked_s[-1], self._worked_s[0]
        return (after - before) / (BURST[1] - BURST[0]) / PREFILL_ENGINES

    def _note_work(self) -> None:
        worked_s = 0.0
        for engine in self.engines.values():
            if engine.role is ports.EngineRole.PREFILL:
                worked_s += engine.worked_s
                if engine.running is not None:
                    worked_s -= engine.free_at_s - self.now_s
        self._worked_s.append(worked_s)


class EarlierPlacer:
    """Places by an earlier rule, to compare with.

    It expects of a deferred request that nothing overtakes it.
    """

    def place(
        self,
        request: placement.Request,
        engines: collections.abc.Sequence[placement.EngineLoad],
        now_s: float,
    ) -> placement.Outcome:
        """Choose the next engine for a request."""
        options = []
        available = [e for e in engines if e.requests < e.slots * 2]
        decode = [e for e in available if not e.prefill_only]
        main = placement.main_decode_engine(decode)
        for engine in available:
            if not engine.prefill_only and (
                engine is main or engine.requests >= engine.slots * 0.4
            ):
                continue
            speed = TOKENS_PER_S / (1 if engine.prefill_only else 2)
            cached = engine.cache.cached_tokens(request.prompt)
            tokens = max(request.prompt.tokens - cached, 1.0)
            own_s = tokens / speed
            transfer_s = 0.012 * engine.prefill_only
            running = min(engine.deferred_tokens, 3_000)
            expected_s = (
                (engine.urgent_tokens + running) / speed + own_s + transfer_s
            )
            deferred_s = engine.waiting_tokens / speed + own_s + transfer_s
            options.append(
                (
                    expected_s + own_s * 10,
                    expected_s,
                    deferred_s,
                    engine,
                    tokens,
                )
            )
        best = min(options, key=lambda each: each[0])
        limit_s = min(request.target_s * 0.85, request.time_left_s)
        if best[1] > limit_s:
            best = min(options, key=lambda each: each[1])
        deferred = best[1] > limit_s
        if deferred:
            separate = [e for e in options if e[3].prefill_only]
            best = min(separate or options, key=lambda each: each[2])
            late_s = best[2] - request.time_left_s * 0.6
            if late_s > 0:
                return placement.DeadlineUnreachable(max(late_s, 0.05))
            shares = [
                e.deferred_requests(0) / e.slots
                for e in engines
                if not e.prefill_only
            ]
            if best[3].requests >= 80 or min(shares) >= 0.25:
                return placement.DeadlineUnreachable(best[2])
        return placement.Placement(
            best[3].engine_id,
            best[3].prefill_only,
            best[4],
            best[2] if deferred else best[1],
            deferred=deferred,
        )


def earlier_patience_s(
    placed: placement.Placement, time_left_s: float
) -> float:
    """Return when the earlier rule gave a prefill up."""
    return placed.expected_s * 4.0 + 0.5
