"""One run: callers, entries, agents and engines."""

import functools
import random

import attrs

from bilberrydeal import settings
from bilberrydeal import systems
from bilberrydeal.systems import limits
from bilberrydeal.systems import queueing

from . import _agent
from . import _clock
from . import _engine
from . import _entry
from . import _experiments
from . import _loads
from . import _scores

#: One way between an entry and an agent, in seconds.
DELAY_S = 0.001
#: Reports are so old when they arrive, in seconds.
REPORT_LAG_S = 0.5
#: One of so many batches of cache events is lost.
GAP_EVERY = 10
#: Time between two exchanges of the entries, in seconds.
EXCHANGE_S = 0.5
#: How much slower an engine is when it is slow.
SLOW_FACTOR = 5.0
#: Time after the load's end until all answers are in, in seconds.
DRAIN_S = 95.0


@attrs.frozen
class Knowledge:
    """What entries know of agents and requests."""

    #: How old reports are, in seconds.
    report_lag_s: float = REPORT_LAG_S
    #: Whether one entry sees all requests, and their output in advance.
    clairvoyant: bool = False


class World:
    """Builds and runs one case."""

    def __init__(
        self,
        size: _loads.Size,
        load: _loads.Load,
        policy: settings.PolicySettings,
        knowledge: Knowledge,
        seed: int,
    ) -> None:
        self.clock = _clock.Clock()
        self.rates = _engine.EngineRates()
        self.scores = _scores.Scores(_loads.DURATION_S, knowledge.clairvoyant)
        self._size = size
        self._load = load
        self._policy = policy
        self._knowledge = knowledge
        self._seed = seed
        self._random = random.Random(seed)
        self.agents = {
            f"endpoint{n}": self._new_agent() for n in range(size.endpoints)
        }
        entries = 1 if knowledge.clairvoyant else size.entries
        self.entries = [self._new_entry(n) for n in range(entries)]
        self._introduce()

    def run(self) -> tuple[_experiments.Figure, ...]:
        """Run to the end and return the figures."""
        writer = _loads.Writer(self._size, self._load, self.rates, self._seed)
        for arrival in writer.arrivals():
            self.clock.at(
                arrival.at_s, functools.partial(self._arrive, arrival)
            )
        for fault in self._load.faults(self._size):
            self.clock.at(fault.at_s, functools.partial(self._break, fault))
        self.clock.every(EXCHANGE_S, self._exchange)
        self.clock.run(_loads.DURATION_S)
        self.clock.run(_loads.DURATION_S + DRAIN_S)
        return self.scores.figures()

    def _new_agent(self) -> _agent.FakeAgent:
        engine = _engine.FakeEngine(
            self.clock, self.rates, self.scores.between_tokens
        )
        queue = queueing.QUEUES.get(self._policy.queueing)()
        return _agent.FakeAgent(self.clock, engine, queue)

    def _new_entry(self, number: int) -> _entry.FakeEntry:
        return _entry.FakeEntry(
            self.clock,
            f"entry{number}",
            f"domain{number % self._size.domains}",
            self._policy,
            self.agents,
            self.scores,
            self._seed * 1_000 + number,
            DELAY_S,
        )

    def _introduce(self) -> None:
        for entry in self.entries:
            for other in self.entries:
                entry.tables.of(systems.EntryView).put(
                    systems.EntryView(other.name, "domain0")
                )
            for number, weight in enumerate(self._size.weights):
                name = _loads.organisation_name(number)
                entry.tables.of(systems.OrganisationView).put(
                    systems.OrganisationView(name, weight)
                )
            for number, endpoint_id in enumerate(self.agents):
                entry.tables.of(systems.EndpointView).put(
                    systems.EndpointView(
                        endpoint_id,
                        f"domain{number % self._size.domains}",
                        _entry.SERVICE,
                        prefill_tokens_per_s=self.rates.prefill_tokens_per_s,
                        decode_tokens_per_s=self.rates.decode_tokens_per_s(),
                    )
                )
        for endpoint_id, agent in self.agents.items():
            reports = _agent.Reports(self.clock, agent)
            reports.listeners = [
                self._listener(entry, endpoint_id) for entry in self.entries
            ]
            reports.start(self._knowledge.report_lag_s, GAP_EVERY)

    def _listener(
        self, entry: _entry.FakeEntry, endpoint_id: str
    ) -> _agent.ReportListener:
        def listen(
            figures: systems.EndpointLoad,
            stored: tuple[int, ...],
            evicted: tuple[int, ...],
        ) -> None:
            now_s = self.clock.now_s
            entry.router.record_load_report(
                entry.tables, endpoint_id, figures, now_s
            )
            entry.router.record_cache_events(
                endpoint_id, stored, evicted, now_s
            )

        return listen

    def _arrive(self, arrival: _loads.Arrival) -> None:
        self.scores.offered(arrival)
        self._random.choice(self.entries).take(arrival)

    def _break(self, fault: _loads.Fault) -> None:
        endpoint_id = f"endpoint{fault.endpoint}"
        agent = self.agents[endpoint_id]
        if fault.what == "slow":
            agent.engine.slow_factor = SLOW_FACTOR
        elif fault.what == "normal":
            agent.engine.slow_factor = 1.0
        elif fault.what == "lose":
            agent.lose()
            self._links(endpoint_id, False, _entry.SILENT_BOUND_S)
        else:
            agent.restore()
            self._links(endpoint_id, True, 1.0)

    def _links(self, endpoint_id: str, up: bool, after_s: float) -> None:
        for entry in self.entries:
            self.clock.after(
                after_s,
                functools.partial(entry.link_state, endpoint_id, up),
            )

    def _exchange(self) -> None:
        by_name = {entry.name: entry for entry in self.entries}
        for entry in self.entries:
            for outgoing in entry.limiter.exchange(
                entry.tables, self.clock.now_s
            ):
                receiver = by_name[outgoing.entry].limiter
                self.clock.after(
                    DELAY_S,
                    functools.partial(
                        deliver, self.clock, receiver, outgoing.message
                    ),
                )


def deliver(
    clock: _clock.Clock,
    limiter: limits.Limiter,
    message: limits.NeedReport | limits.ShareGrant | limits.NeedReportRequest,
) -> None:
    """Give a message to a limiter."""
    if isinstance(message, limits.NeedReport):
        limiter.receive_need(message, clock.now_s)
    elif isinstance(message, limits.ShareGrant):
        limiter.receive_grant(message, clock.now_s)
    else:
        limiter.receive_report_request(message, clock.now_s)
