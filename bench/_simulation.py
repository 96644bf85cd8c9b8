"""Simulation of callers, entries, agents and engines."""

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
from . import _outcomes

#: One-way delay between an entry and an agent, in seconds.
NETWORK_DELAY_S = 0.001
#: Age of a load report when it arrives, in seconds.
REPORT_LAG_S = 0.5
#: Every n-th batch of cache events is lost.
EVENT_LOSS_INTERVAL = 10
#: Interval between exchanges of limits among the entries, in seconds.
EXCHANGE_INTERVAL_S = 0.5
#: Factor on the step time of a slow engine.
SLOW_FACTOR = 5.0
#: Time after the end of the load in which all answers arrive, in seconds.
DRAIN_S = 95.0


@attrs.frozen
class EntryKnowledge:
    """What entries know about agents and requests."""

    #: Age of load reports on arrival, in seconds.
    report_lag_s: float = REPORT_LAG_S
    #: Whether a single entry receives all requests and knows their output
    #: length in advance.
    clairvoyant: bool = False


class Simulation:
    """Builds and runs the simulation of one case."""

    def __init__(
        self,
        size: _loads.Size,
        load: _loads.Load,
        policy: settings.PolicySettings,
        knowledge: EntryKnowledge,
        seed: int,
    ) -> None:
        self.clock = _clock.Clock()
        self.rates = _engine.EngineRates()
        self.outcomes = _outcomes.OutcomeRecorder(
            _loads.DURATION_S, knowledge.clairvoyant
        )
        self._size = size
        self._load = load
        self._policy = policy
        self._knowledge = knowledge
        self._seed = seed
        self._random = random.Random(seed)
        self.agents = {
            f"endpoint{n}": self._create_agent() for n in range(size.endpoints)
        }
        entries = 1 if knowledge.clairvoyant else size.entries
        self.entries = [self._create_entry(n) for n in range(entries)]
        self._populate_tables()

    def run(self) -> tuple[_experiments.Figure, ...]:
        """Run the whole simulation and return its figures."""
        generator = _loads.ArrivalGenerator(
            self._size, self._load, self.rates, self._seed
        )
        for arrival in generator.arrivals():
            self.clock.call_at(
                arrival.at_s, functools.partial(self._handle_arrival, arrival)
            )
        for fault in self._load.faults(self._size):
            self.clock.call_at(
                fault.at_s, functools.partial(self._apply_fault, fault)
            )
        self.clock.call_every(EXCHANGE_INTERVAL_S, self._run_exchange)
        self.clock.run(_loads.DURATION_S)
        self.clock.run(_loads.DURATION_S + DRAIN_S)
        return self.outcomes.figures()

    def _create_agent(self) -> _agent.FakeAgent:
        engine = _engine.FakeEngine(
            self.clock, self.rates, self.outcomes.record_token_gap
        )
        queue = queueing.QUEUES.get(self._policy.queueing)()
        return _agent.FakeAgent(self.clock, engine, queue)

    def _create_entry(self, number: int) -> _entry.FakeEntry:
        return _entry.FakeEntry(
            self.clock,
            f"entry{number}",
            f"domain{number % self._size.domains}",
            self._policy,
            self.agents,
            self.outcomes,
            self._seed * 1_000 + number,
            NETWORK_DELAY_S,
        )

    def _populate_tables(self) -> None:
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
            publisher = _agent.ReportPublisher(self.clock, agent)
            publisher.subscribers = [
                self._create_subscriber(entry, endpoint_id)
                for entry in self.entries
            ]
            publisher.start(self._knowledge.report_lag_s, EVENT_LOSS_INTERVAL)

    def _create_subscriber(
        self, entry: _entry.FakeEntry, endpoint_id: str
    ) -> _agent.ReportSubscriber:
        def update_router(
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

        return update_router

    def _handle_arrival(self, arrival: _loads.Arrival) -> None:
        self.outcomes.record_offered(arrival)
        self._random.choice(self.entries).submit(arrival)

    def _apply_fault(self, fault: _loads.Fault) -> None:
        endpoint_id = f"endpoint{fault.endpoint}"
        agent = self.agents[endpoint_id]
        if fault.action == "slow":
            agent.engine.slow_factor = SLOW_FACTOR
        elif fault.action == "normal":
            agent.engine.slow_factor = 1.0
        elif fault.action == "lose":
            agent.crash()
            self._schedule_link_state(
                endpoint_id, False, _entry.LINK_TIMEOUT_S
            )
        else:
            agent.restore()
            self._schedule_link_state(endpoint_id, True, 1.0)

    def _schedule_link_state(
        self, endpoint_id: str, up: bool, after_s: float
    ) -> None:
        for entry in self.entries:
            self.clock.call_later(
                after_s,
                functools.partial(entry.link_state, endpoint_id, up),
            )

    def _run_exchange(self) -> None:
        by_name = {entry.name: entry for entry in self.entries}
        for entry in self.entries:
            for outgoing in entry.limiter.exchange(
                entry.tables, self.clock.now_s
            ):
                receiver = by_name[outgoing.entry].limiter
                self.clock.call_later(
                    NETWORK_DELAY_S,
                    functools.partial(
                        deliver, self.clock, receiver, outgoing.message
                    ),
                )


def deliver(
    clock: _clock.Clock,
    limiter: limits.Limiter,
    message: limits.NeedReport | limits.ShareGrant | limits.NeedReportRequest,
) -> None:
    """Pass an exchange message to the limiter that receives it."""
    if isinstance(message, limits.NeedReport):
        limiter.receive_need(message, clock.now_s)
    elif isinstance(message, limits.ShareGrant):
        limiter.receive_grant(message, clock.now_s)
    else:
        limiter.receive_report_request(message, clock.now_s)
