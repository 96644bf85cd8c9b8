"""Simulates a mix of short and long streams at engines with few slots.

All gateways know the load of the engines. An engine prefills one prompt after
the other, by rank; one that also decodes does so at half the speed and gives a
request a slot first. A controller changes roles as the gateways do.
"""

import collections.abc
import functools
import heapq
import itertools
import random

import attrs

from .... import ports
from ... import placement

#: Prefill speed of an engine that does not decode.
TOKENS_PER_S = 420_000.0
#: Time of a KV transfer, in seconds.
TRANSFER_S = 0.004
#: Time that callers have, in seconds.
DEADLINE_S = 4.0
#: Tries of one caller.
TRIES = 3
#: Time of a role change once the engine is idle, in seconds.
SWITCH_S = 3.0
#: Interval at which the controller decides, in seconds.
CONTROL_S = 0.5
#: Share of engines that may be changing their roles at once.
MAX_CHANGING_SHARE = 0.25
#: Weight of one sample in the controller's averages.
SAMPLE_WEIGHT = 0.1
PREFILL = ports.EngineRole.PREFILL
DECODE = ports.EngineRole.DECODE

Act = collections.abc.Callable[[], None]


@attrs.frozen
class Kind:
    """Requests of one kind."""

    #: Urgency at the engines.
    rank: int
    #: Tokens that requests of a session share.
    shared_tokens: int
    #: Tokens of each request.
    own_tokens: int
    #: Time that a request decodes at an engine of nominal speed, in seconds.
    held_s: float
    #: Target of the time to the first token, in seconds.
    target_s: float
    #: What a request in time is worth.
    worth: float
    #: Sessions, of which each has a shared part.
    sessions: int = 40


#: Long prompts with short outputs, and short prompts with long outputs.
READING = Kind(1, 6_300, 2_890, 0.09, 0.235, 1.0)
WRITING = Kind(0, 0, 220, 3.5, 0.15, 10.0, sessions=1)


@attrs.frozen
class Phase:
    """Rates of requests for a time."""

    lasts_s: float
    #: Requests a second by kind.
    rates: tuple[tuple[Kind, float], ...]


@attrs.define(eq=False)
class Engine:
    """A simulated engine."""

    load: placement.EngineLoad
    #: Actual speed relative to the nominal one.
    speed: float
    cache: placement.PartCache
    #: Requests that wait for a prefill, and for a slot.
    prefills: list[tuple[int, int, "Job"]] = attrs.field(factory=list)
    waiting: list[tuple[int, int, "Job"]] = attrs.field(factory=list)
    running: "Job | None" = None
    slots_used: int = 0
    #: Whether it is changing its role.
    changing: bool = False
    #: Time that it has prefilled, in seconds.
    worked_s: float = 0.0

    @property
    def tokens_per_s(self) -> float:
        """Return its present prefill speed."""
        half = 1.0 if self.load.prefill_only else 0.5
        return TOKENS_PER_S * self.speed * half


@attrs.define(eq=False)
class Job:
    """A try of a caller."""

    caller: "Caller"
    placed: placement.Placement
    pending: placement.OutstandingPrefill
    rank: int
    began_s: float
    #: Whether it is prefilled already.
    prefilled: bool = False


@attrs.define(eq=False)
class Caller:
    """A request of a caller."""

    kind: Kind
    prompt: placement.Prompt
    domain: str
    start_s: float
    tries: int = 0
    first_s: float | None = None
    #: Engines that prefilled and decoded it.
    engines: list[str] = attrs.field(factory=list)

    @property
    def in_time(self) -> bool:
        """Return whether the first token was in time."""
        if self.first_s is None:
            return False
        return self.first_s - self.start_s <= self.kind.target_s


class Fleet:
    """Engines, their callers and the controller of their roles."""

    def __init__(
        self,
        roles: str,
        slots: int,
        plan: placement.Plan,
        seed: int = 1,
        speeds: collections.abc.Sequence[float] = (1.0,),
        gateway_domains: collections.abc.Sequence[str] = ("d0",),
        placer: placement.Placer | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.plan = plan
        self.placer = placer or placement.TwoStagePlacer()
        self.gateway_domains = gateway_domains
        self.now_s = 0.0
        self.callers: list[Caller] = []
        self.orders: list[tuple[float, placement.RoleOrder]] = []
        self.needs = placement.RoleNeeds()
        self.used = False
        self._busy_slots = 0.0
        self._prefill_wait_s = 0.0
        self._wanted: tuple[ports.EngineRole | None, float] = (None, 0.0)
        self._events: list[tuple[float, int, Act]] = []
        self._numbers = itertools.count()
        service = placement.ServiceSpeed(
            placement.Line(0.0, 1 / TOKENS_PER_S),
            placement.Line(TRANSFER_S, 0.0),
        )
        arrivals = placement.PeerArrivals()
        slot_times = placement.SlotTimes()
        self.engines = {
            f"e{number}": Engine(
                placement.EngineLoad(
                    engine_id=f"e{number}",
                    failure_domain=f"d{number % 4}",
                    service="llm",
                    role=PREFILL if role == "p" else DECODE,
                    slots=slots,
                    cache=placement.PartCache(150_000),
                    slot_times=slot_times,
                    arrivals=arrivals,
                    speed=placement.EngineSpeed(service),
                ),
                speeds[number % len(speeds)],
                placement.PartCache(150_000),
            )
            for number, role in enumerate(roles)
        }

    def at(self, when_s: float, act: Act) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (when_s, next(self._numbers), act))

    def play(self, phases: collections.abc.Iterable[Phase]) -> "Fleet":
        """Play phases, one after the other."""
        start_s = self.now_s
        for phase in phases:
            end_s = start_s + phase.lasts_s
            for kind, rate in phase.rates:
                when_s = start_s + self.rng.expovariate(rate)
                while when_s < end_s:
                    self.at(when_s, functools.partial(self._call, kind))
                    when_s += self.rng.expovariate(rate)
            start_s = end_s
        when_s = self.now_s
        while when_s < start_s:
            self.at(when_s, self._control)
            when_s += CONTROL_S
        while self._events:
            self.now_s, _number, act = heapq.heappop(self._events)
            act()
        return self

    def loads(self) -> list[placement.EngineLoad]:
        """Return the engines that get requests."""
        return [
            each.load for each in self.engines.values() if not each.changing
        ]

    def _call(self, kind: Kind) -> None:
        session = self.rng.randrange(kind.sessions)
        name = b"%d %d" % (kind.rank, session)
        own = b"own%d" % len(self.callers)
        parts = [placement.PromptPart(own, kind.own_tokens)]
        if kind.shared_tokens:
            parts.insert(0, placement.PromptPart(name, kind.shared_tokens))
        caller = Caller(
            kind,
            placement.Prompt(tuple(parts), len(parts) - 1),
            self.rng.choice(self.gateway_domains),
            self.now_s,
        )
        self.callers.append(caller)
        self._try(caller)

    def _request(self, caller: Caller) -> placement.Request:
        waited_s = self.now_s - caller.start_s
        return placement.Request(
            prompt=caller.prompt,
            target_s=caller.kind.target_s - waited_s,
            time_left_s=DEADLINE_S - waited_s,
            failure_domain=caller.domain,
            rank=caller.kind.rank,
        )

    def _try(self, caller: Caller) -> None:
        caller.tries += 1
        request = self._request(caller)
        placed = self.placer.place(request, self.loads(), self.now_s)
        if isinstance(placed, placement.DeadlineUnreachable):
            if caller.tries < TRIES:
                self.at(
                    self.now_s + placed.retry_after_s,
                    lambda: self._try(caller),
                )
            return
        engine = self.engines[placed.engine_id]
        engine.load.record_prompt(caller.prompt)
        pending = placement.OutstandingPrefill(
            placed.uncached_tokens,
            placed.work_tokens,
            placed.deferred,
            self.now_s,
        )
        rank = placement.engine_rank(caller.kind.rank, placed.deferred)
        job = Job(caller, placed, pending, rank, self.now_s)
        engine.load.start_prefill(pending)
        self._enter(engine, job)

    def _enter(self, engine: Engine, job: Job) -> None:
        engine.load.own_counts.add(job.rank, 1)
        job.caller.engines.append(engine.load.engine_id)
        entry = (job.rank, next(self._numbers), job)
        if engine.load.prefill_only:
            heapq.heappush(engine.prefills, entry)
            self._prefill_next(engine)
        else:
            heapq.heappush(engine.waiting, entry)
            self._fill_slots(engine)

    def _fill_slots(self, engine: Engine) -> None:
        while engine.waiting and engine.slots_used < engine.load.slots:
            rank, _number, job = heapq.heappop(engine.waiting)
            engine.slots_used += 1
            if job.prefilled:
                self._decode(engine, job)
            else:
                entry = (rank, next(self._numbers), job)
                heapq.heappush(engine.prefills, entry)
        self._prefill_next(engine)

    def _prefill_next(self, engine: Engine) -> None:
        if engine.running is not None or not engine.prefills:
            return
        _rank, _number, job = heapq.heappop(engine.prefills)
        prompt = job.caller.prompt
        tokens = max(prompt.tokens - engine.cache.cached_tokens(prompt), 1)
        engine.cache.record(prompt)
        engine.running = job
        takes_s = tokens / engine.tokens_per_s
        engine.worked_s += takes_s
        self.at(self.now_s + takes_s, lambda: self._prefilled(engine, job))

    def _prefilled(self, engine: Engine, job: Job) -> None:
        engine.running = None
        engine.load.end_prefill(job.pending)
        took_s = self.now_s - job.pending.sent_s
        if not job.placed.deferred:
            engine.load.record_prefill(job.pending, took_s, self.now_s)
        job.prefilled = True
        if engine.load.prefill_only:
            self._leave(engine, job)
            self.at(self.now_s + TRANSFER_S, lambda: self._transfer(job))
        else:
            self._decode(engine, job)
        self._prefill_next(engine)

    def _transfer(self, job: Job) -> None:
        chosen = self.placer.decode_engine(
            self._request(job.caller), job.placed.engine_id, self.loads()
        )
        if chosen is not None:
            self._enter(self.engines[chosen], job)

    def _decode(self, engine: Engine, job: Job) -> None:
        job.caller.first_s = self.now_s
        held_s = job.caller.kind.held_s / engine.speed
        self.at(
            self.now_s + held_s,
            lambda: self._decoded(engine, job, held_s),
        )

    def _decoded(self, engine: Engine, job: Job, held_s: float) -> None:
        engine.load.record_slot_time(job.caller.kind.rank, held_s)
        engine.slots_used -= 1
        self._leave(engine, job)
        self._fill_slots(engine)

    def _leave(self, engine: Engine, job: Job) -> None:
        engine.load.own_counts.add(job.rank, -1)

    def _control(self) -> None:
        loads = [each.load for each in self.engines.values()]
        decode = [each for each in loads if not each.prefill_only]
        prefill = [each for each in loads if each.prefill_only]
        busy = sum(each.urgent_requests for each in decode)
        waits = [each.prefill_wait_s for each in prefill]
        wait_s = sum(waits) / len(waits) if waits else 0.0
        self._busy_slots += (busy - self._busy_slots) * SAMPLE_WEIGHT
        self._prefill_wait_s += (wait_s - self._prefill_wait_s) * SAMPLE_WEIGHT
        self.needs.observe(loads, self.now_s)
        self.used = self.used or any(each.requests for each in loads)
        while self._order():
            pass

    def _planned(self) -> list[placement.EngineLoad]:
        """Return the engines as if orders had taken effect."""
        return [
            attrs.evolve(
                each.load,
                role=DECODE if each.load.prefill_only else PREFILL,
            )
            if each.changing
            else each.load
            for each in self.engines.values()
        ]

    def _order(self) -> bool:
        changing = sum(each.changing for each in self.engines.values())
        order = self.plan(
            self._planned(),
            placement.RoleDemand(
                busy_slots=self._busy_slots,
                prefill_wait_s=self._prefill_wait_s,
                idle=not self.used,
                order_count=len(self.orders),
                need=self.needs.learned,
                changing=changing,
            ),
        )
        role = order.role if order is not None else None
        if role is not self._wanted[0]:
            self._wanted = (role, self.now_s)
        if order is None or self.now_s - self._wanted[1] < order.debounce_s:
            return False
        if changing >= max(int(len(self.engines) * MAX_CHANGING_SHARE), 1):
            return False
        self.orders.append((self.now_s, order))
        engine = self.engines[order.engine_id]
        engine.changing = True
        self._switch_if_idle(engine)
        return True

    def _switch_if_idle(self, engine: Engine) -> None:
        if engine.load.requests:
            self.at(self.now_s + 0.1, lambda: self._switch_if_idle(engine))
        else:
            self.at(self.now_s + SWITCH_S, lambda: self._switched(engine))

    def _switched(self, engine: Engine) -> None:
        engine.load.role = DECODE if engine.load.prefill_only else PREFILL
        engine.changing = False

    @property
    def decode_engines(self) -> int:
        """Return the number of engines that decode."""
        return sum(
            not each.load.prefill_only for each in self.engines.values()
        )

    def in_time_share(self, kind: Kind, from_s: float = 0.0) -> float:
        """Return the share of callers of a kind that were in time."""
        found = [
            each.in_time
            for each in self.callers
            if each.kind is kind and each.start_s >= from_s
        ]
        return sum(found) / len(found)

    def worth_share(self, from_s: float = 0.0) -> float:
        """Return what callers got of what they asked for."""
        worth = asked = 0.0
        for each in self.callers:
            if each.start_s >= from_s:
                asked += each.kind.worth
                worth += each.kind.worth * each.in_time
        return worth / asked
