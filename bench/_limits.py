"""Experiment on organisation limits enforced by several entries."""

import collections
import functools
import math
import random

import attrs
import msgspec

from bilberrydeal import systems
from bilberrydeal.systems import limits

from . import _clock
from . import _experiments
from . import _limit_scenarios
from . import _simulation

#: Length of a run, in seconds.
DURATION_S = 120.0
#: Time at which the scenario's change happens, in seconds.
CHANGE_S = 60.0
#: Start of the steady state, in seconds; earlier values are ignored.
WARM_UP_S = 20.0
#: Requests are counted over windows of this length, in seconds.
WINDOW_S = 5.0
#: Largest relative error of a window that counts as recovered.
TOLERANCE = 0.05
#: Delay until the membership no longer lists a dead entry, in seconds.
MEMBERSHIP_LAG_S = 8.0


@attrs.define
class RequestCounts:
    """Requests at entries other than the first, after the warm-up."""

    #: Requests received.
    offered: int = 0
    #: Requests admitted.
    admitted: int = 0


class LimitsSimulation:
    """Simulates entries that admit requests and exchange their limits."""

    def __init__(
        self,
        scenario: _limit_scenarios.Scenario,
        entries: int,
        policy: str,
        seed: int,
    ) -> None:
        self.scenario = scenario
        self.admitted: collections.Counter[int] = collections.Counter()
        self.offered: collections.Counter[int] = collections.Counter()
        self.sent_bytes = 0
        #: Concurrent requests over all entries, and the maximum after the
        #: warm-up.
        self.running = 0
        self.peak = 0
        self._other_entries = RequestCounts()
        self._clock = _clock.Clock()
        self._random = random.Random(seed)
        self._policy = policy
        self._limiters = self._create_limiters(entries)
        self._live_entries = list(self._limiters)
        self._listed_entries = list(self._limiters)
        self._isolated_entry = ""

    def run(self) -> tuple[_experiments.Figure, ...]:
        """Run the whole simulation and return its figures."""
        self._clock.call_every(
            _simulation.EXCHANGE_INTERVAL_S, self._run_exchange
        )
        self._clock.call_at(CHANGE_S, self._apply_change)
        self._schedule_arrival()
        self._clock.run(DURATION_S)
        return self._compute_figures()

    def _create_limiters(self, entries: int) -> dict[str, limits.Limiter]:
        names = [f"entry{n}" for n in range(entries)]
        if self._policy == _limit_scenarios.SINGLE_ENTRY:
            return dict.fromkeys(names, limits.LocalLimiter(names[0]))
        limiter = limits.LIMITERS.get(self._policy)
        return {name: limiter(name) for name in names}

    def _schedule_arrival(self) -> None:
        rate_per_s = (
            _limit_scenarios.REQUESTS_PER_S * self.scenario.offered_factor
        )
        self._clock.call_later(
            self._random.expovariate(rate_per_s), self._handle_arrival
        )

    def _handle_arrival(self) -> None:
        now_s = self._clock.now_s
        entry = self._random.choice(self._live_entries)
        if self._random.random() < self.scenario.skew:
            entry = self._live_entries[0]
        limiter = self._limiters[entry]
        self.offered[int(now_s / WINDOW_S)] += 1
        decision = limiter.admit(
            self.scenario.organisation,
            _limit_scenarios.TOKENS_PER_REQUEST,
            now_s,
        )
        if decision.admitted:
            self._start_request(limiter, now_s)
        if now_s >= WARM_UP_S and entry != self._live_entries[0]:
            self._other_entries.offered += 1
            self._other_entries.admitted += decision.admitted
        self._schedule_arrival()

    def _start_request(self, limiter: limits.Limiter, now_s: float) -> None:
        self.admitted[int(now_s / WINDOW_S)] += 1
        self.running += 1
        if now_s >= WARM_UP_S:
            self.peak = max(self.peak, self.running)
        self._clock.call_later(
            _limit_scenarios.REQUEST_DURATION_S,
            functools.partial(self._end_request, limiter),
        )

    def _end_request(self, limiter: limits.Limiter) -> None:
        self.running -= 1
        name = self.scenario.organisation.organisation
        limiter.settle(
            name,
            _limit_scenarios.TOKENS_PER_REQUEST,
            _limit_scenarios.TOKENS_PER_REQUEST,
            self._clock.now_s,
        )

    def _apply_change(self) -> None:
        change = self.scenario.change
        if change == "join":
            self._limiters["joined"] = limits.LIMITERS.get(self._policy)(
                "joined"
            )
            self._live_entries.append("joined")
            self._listed_entries.append("joined")
        elif change in ("death", "outage"):
            home = limits.home_entry(
                "limited", tuple(sorted(self._live_entries))
            )
            self._live_entries.remove(home)
            if change == "death":
                self._clock.call_later(
                    MEMBERSHIP_LAG_S,
                    functools.partial(self._listed_entries.remove, home),
                )
        elif change == "cut":
            self._isolated_entry = self._live_entries[0]

    def _run_exchange(self) -> None:
        for name in self._live_entries:
            tables = self._tables()
            for outgoing in self._limiters[name].exchange(
                tables, self._clock.now_s
            ):
                self._deliver(name, outgoing)

    def _tables(self) -> systems.Tables:
        tables = systems.Tables()
        tables.of(systems.OrganisationView).put(self.scenario.organisation)
        for name in self._listed_entries:
            tables.of(systems.EntryView).put(
                systems.EntryView(name, "domain0")
            )
        return tables

    def _deliver(self, sender: str, outgoing: limits.OutgoingMessage) -> None:
        self.sent_bytes += len(msgspec.msgpack.encode(outgoing.message))
        if self._isolated_entry in (sender, outgoing.entry):
            return
        if outgoing.entry in self._live_entries:
            self._clock.call_later(
                _simulation.NETWORK_DELAY_S,
                functools.partial(
                    _simulation.deliver,
                    self._clock,
                    self._limiters[outgoing.entry],
                    outgoing.message,
                ),
            )

    def _compute_figures(self) -> tuple[_experiments.Figure, ...]:
        first = int(WARM_UP_S / WINDOW_S)
        change = int(CHANGE_S / WINDOW_S)
        last = int(DURATION_S / WINDOW_S)
        steady = self._error(range(first, change))
        after = [self._error(range(n, n + 1)) for n in range(change, last)]
        settled = self._error(range(last - 4, last))
        outside_tolerance = [
            n for n, error in enumerate(after) if abs(error) > TOLERANCE
        ]
        error_duration_s = (
            (outside_tolerance[-1] + 1) * WINDOW_S
            if outside_tolerance
            else 0.0
        )
        nodes = len(self._live_entries)
        figure = _experiments.Figure
        return (
            figure("steady_error", abs(steady)),
            figure("steady_admitted", self._steady_admitted()),
            figure("highest_after", max(after)),
            figure("lowest_after", min(after)),
            figure("settled_error", abs(settled)),
            figure("wrong_for_s", error_duration_s),
            figure("bytes_per_node_s", self.sent_bytes / DURATION_S / nodes),
            figure("peak_part", self._peak_share()),
            figure("elsewhere_part", self._relative_admission()),
        )

    def _steady_admitted(self) -> float:
        windows = range(int(WARM_UP_S / WINDOW_S), int(CHANGE_S / WINDOW_S))
        return float(sum(self.admitted[n] for n in windows))

    def _peak_share(self) -> float:
        """Return the peak concurrency over its limit; NaN without a limit."""
        concurrency = self.scenario.organisation.concurrency
        if math.isinf(concurrency):
            return math.nan
        return self.peak / concurrency

    def _relative_admission(self) -> float:
        """Return the admitted share at other entries over that at all."""
        windows = range(int(WARM_UP_S / WINDOW_S), int(DURATION_S / WINDOW_S))
        offered = sum(self.offered[n] for n in windows)
        admitted = sum(self.admitted[n] for n in windows)
        others = self._other_entries
        return others.admitted / others.offered / (admitted / offered)

    def _error(self, windows: range) -> float:
        admitted = sum(self.admitted[n] for n in windows)
        allowed = len(windows) * WINDOW_S * _limit_scenarios.REQUESTS_PER_S
        offered = sum(self.offered[n] for n in windows)
        return admitted / min(allowed, offered) - 1.0


@_experiments.EXPERIMENTS.register("limits")
class Limits:
    """Exchanged limits against local limits and a single entry."""

    title = "Limits over several entries"
    columns = (
        "steady_error",
        "highest_after",
        "lowest_after",
        "settled_error",
        "wrong_for_s",
        "bytes_per_node_s",
        "below_single",
        "peak_part",
        "elsewhere_part",
    )
    targets = (
        _experiments.Target("", "exchanged", "steady_error", 0.05, True),
    )

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all cases."""
        return tuple(
            _experiments.Case("limits", size, scenario, policy, seed)
            for size in _limit_scenarios.ENTRIES
            for scenario in _limit_scenarios.SCENARIOS
            for policy in (
                "exchanged",
                "local_only",
                _limit_scenarios.SINGLE_ENTRY,
            )
            if policy == "exchanged"
            or scenario in _limit_scenarios.POLICY_SCENARIOS[policy]
            for seed in (1, 2, 3)
        )

    def run(self, case: _experiments.Case) -> tuple[_experiments.Figure, ...]:
        """Run one case."""
        simulation = LimitsSimulation(
            _limit_scenarios.SCENARIOS[case.load],
            _limit_scenarios.ENTRIES[case.size],
            case.policy,
            case.seed,
        )
        return simulation.run()

    def compare(
        self, measurements: tuple[_experiments.Measurement, ...]
    ) -> tuple[_experiments.Measurement, ...]:
        """Add the loss against a single entry with the same seed."""
        single = {
            (
                measurement.case.size,
                measurement.case.load,
                measurement.case.seed,
            ): measurement
            for measurement in measurements
            if measurement.case.policy == _limit_scenarios.SINGLE_ENTRY
        }
        return tuple(
            _with_single_entry_loss(
                measurement,
                single.get(
                    (
                        measurement.case.size,
                        measurement.case.load,
                        measurement.case.seed,
                    )
                ),
            )
            for measurement in measurements
        )


def _with_single_entry_loss(
    measurement: _experiments.Measurement,
    single: _experiments.Measurement | None,
) -> _experiments.Measurement:
    if single is None:
        return measurement
    admitted = measurement.value("steady_admitted")
    loss = 1.0 - admitted / single.value("steady_admitted")
    figure = _experiments.Figure("below_single", loss)
    return attrs.evolve(measurement, figures=(*measurement.figures, figure))
