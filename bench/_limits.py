"""Limits of organisations over several entries."""

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
from . import _scenes
from . import _world

#: Length of a run, in seconds.
DURATION_S = 120.0
#: When something changes, in seconds.
CHANGE_S = 60.0
#: Nothing before this counts as steady, in seconds.
WARM_UP_S = 20.0
#: Requests are counted over windows of this length, in seconds.
WINDOW_S = 5.0
#: Error under which a window counts as recovered.
TOLERANCE = 0.05
#: Time from a death to its being known from the membership, in seconds.
MEMBERSHIP_LAG_S = 8.0


@attrs.define
class Share:
    """Requests at other entries than the first, after the warm-up."""

    #: Requests that came.
    offered: int = 0
    #: Those that were admitted.
    admitted: int = 0


class LimitsWorld:
    """Entries that only admit, and their exchange."""

    def __init__(
        self, scene: _scenes.Scene, entries: int, policy: str, seed: int
    ) -> None:
        self.scene = scene
        self.admitted: collections.Counter[int] = collections.Counter()
        self.offered: collections.Counter[int] = collections.Counter()
        self.sent_bytes = 0
        #: Requests at once over all entries, and the most after the warm-up.
        self.running = 0
        self.peak = 0
        self._elsewhere = Share()
        self._clock = _clock.Clock()
        self._random = random.Random(seed)
        self._policy = policy
        self._limiters = self._all_limiters(entries)
        self._live = list(self._limiters)
        self._known = list(self._limiters)
        self._cut = ""

    def run(self) -> tuple[_experiments.Figure, ...]:
        """Run to the end and return the figures."""
        self._clock.every(_world.EXCHANGE_S, self._exchange)
        self._clock.at(CHANGE_S, self._change)
        self._next()
        self._clock.run(DURATION_S)
        return self._figures()

    def _all_limiters(self, entries: int) -> dict[str, limits.Limiter]:
        names = [f"entry{n}" for n in range(entries)]
        if self._policy == _scenes.SINGLE_ENTRY:
            return dict.fromkeys(names, limits.LocalLimiter(names[0]))
        limiter = limits.LIMITERS.get(self._policy)
        return {name: limiter(name) for name in names}

    def _next(self) -> None:
        limit = _scenes.REQUESTS_PER_S * self.scene.offered_factor
        self._clock.after(self._random.expovariate(limit), self._arrive)

    def _arrive(self) -> None:
        now_s = self._clock.now_s
        entry = self._random.choice(self._live)
        if self._random.random() < self.scene.skew:
            entry = self._live[0]
        limiter = self._limiters[entry]
        self.offered[int(now_s / WINDOW_S)] += 1
        found = limiter.admit(self.scene.organisation, _scenes.TOKENS, now_s)
        if found.admitted:
            self._begin(limiter, now_s)
        if now_s >= WARM_UP_S and entry != self._live[0]:
            self._elsewhere.offered += 1
            self._elsewhere.admitted += found.admitted
        self._next()

    def _begin(self, limiter: limits.Limiter, now_s: float) -> None:
        self.admitted[int(now_s / WINDOW_S)] += 1
        self.running += 1
        if now_s >= WARM_UP_S:
            self.peak = max(self.peak, self.running)
        self._clock.after(
            _scenes.HOLD_S, functools.partial(self._end, limiter)
        )

    def _end(self, limiter: limits.Limiter) -> None:
        self.running -= 1
        name = self.scene.organisation.organisation
        limiter.settle(name, _scenes.TOKENS, _scenes.TOKENS, self._clock.now_s)

    def _change(self) -> None:
        change = self.scene.change
        if change == "join":
            self._limiters["joined"] = limits.LIMITERS.get(self._policy)(
                "joined"
            )
            self._live.append("joined")
            self._known.append("joined")
        elif change in ("death", "outage"):
            home = limits.home_entry("limited", tuple(sorted(self._live)))
            self._live.remove(home)
            if change == "death":
                self._clock.after(
                    MEMBERSHIP_LAG_S,
                    functools.partial(self._known.remove, home),
                )
        elif change == "cut":
            self._cut = self._live[0]

    def _exchange(self) -> None:
        for name in self._live:
            tables = self._tables()
            for outgoing in self._limiters[name].exchange(
                tables, self._clock.now_s
            ):
                self._deliver(name, outgoing)

    def _tables(self) -> systems.Tables:
        tables = systems.Tables()
        tables.of(systems.OrganisationView).put(self.scene.organisation)
        for name in self._known:
            tables.of(systems.EntryView).put(
                systems.EntryView(name, "domain0")
            )
        return tables

    def _deliver(self, sender: str, outgoing: limits.OutgoingMessage) -> None:
        self.sent_bytes += len(msgspec.msgpack.encode(outgoing.message))
        if self._cut in (sender, outgoing.entry):
            return
        if outgoing.entry in self._live:
            self._clock.after(
                _world.DELAY_S,
                functools.partial(
                    _world.deliver,
                    self._clock,
                    self._limiters[outgoing.entry],
                    outgoing.message,
                ),
            )

    def _figures(self) -> tuple[_experiments.Figure, ...]:
        first = int(WARM_UP_S / WINDOW_S)
        change = int(CHANGE_S / WINDOW_S)
        last = int(DURATION_S / WINDOW_S)
        steady = self._error(range(first, change))
        after = [self._error(range(n, n + 1)) for n in range(change, last)]
        settled = self._error(range(last - 4, last))
        late = [n for n, error in enumerate(after) if abs(error) > TOLERANCE]
        wrong_s = (late[-1] + 1) * WINDOW_S if late else 0.0
        nodes = len(self._live)
        figure = _experiments.Figure
        return (
            figure("steady_error", abs(steady)),
            figure("steady_admitted", self._steady_admitted()),
            figure("highest_after", max(after)),
            figure("lowest_after", min(after)),
            figure("settled_error", abs(settled)),
            figure("wrong_for_s", wrong_s),
            figure("bytes_per_node_s", self.sent_bytes / DURATION_S / nodes),
            figure("peak_part", self._peak_part()),
            figure("elsewhere_part", self._elsewhere_part()),
        )

    def _steady_admitted(self) -> float:
        windows = range(int(WARM_UP_S / WINDOW_S), int(CHANGE_S / WINDOW_S))
        return float(sum(self.admitted[n] for n in windows))

    def _peak_part(self) -> float:
        """Return the most requests at once over their limit, if there is."""
        concurrency = self.scene.organisation.concurrency
        if math.isinf(concurrency):
            return math.nan
        return self.peak / concurrency

    def _elsewhere_part(self) -> float:
        """Return how well other entries than the first are served.

        It is the part admitted there over the part admitted everywhere.
        """
        windows = range(int(WARM_UP_S / WINDOW_S), int(DURATION_S / WINDOW_S))
        offered = sum(self.offered[n] for n in windows)
        admitted = sum(self.admitted[n] for n in windows)
        other = self._elsewhere
        return other.admitted / other.offered / (admitted / offered)

    def _error(self, windows: range) -> float:
        admitted = sum(self.admitted[n] for n in windows)
        allowed = len(windows) * WINDOW_S * _scenes.REQUESTS_PER_S
        offered = sum(self.offered[n] for n in windows)
        return admitted / min(allowed, offered) - 1.0


@_experiments.EXPERIMENTS.register("limits")
class Limits:
    """The exchange against limits that each entry holds alone."""

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
        """Return all runs."""
        return tuple(
            _experiments.Case("limits", size, scene, policy, seed)
            for size in _scenes.ENTRIES
            for scene in _scenes.SCENES
            for policy in (
                "exchanged",
                "local_only",
                _scenes.SINGLE_ENTRY,
            )
            if policy == "exchanged" or scene in _scenes.POLICY_SCENES[policy]
            for seed in (1, 2, 3)
        )

    def run(self, case: _experiments.Case) -> tuple[_experiments.Figure, ...]:
        """Carry out one run."""
        world = LimitsWorld(
            _scenes.SCENES[case.load],
            _scenes.ENTRIES[case.size],
            case.policy,
            case.seed,
        )
        return world.run()

    def compare(
        self, measured: tuple[_experiments.Measured, ...]
    ) -> tuple[_experiments.Measured, ...]:
        """Add what is lost against a single entry, seed by seed."""
        single = {
            (one.case.size, one.case.load, one.case.seed): one
            for one in measured
            if one.case.policy == _scenes.SINGLE_ENTRY
        }
        return tuple(
            _compared(
                one,
                single.get((one.case.size, one.case.load, one.case.seed)),
            )
            for one in measured
        )


def _compared(
    one: _experiments.Measured, single: _experiments.Measured | None
) -> _experiments.Measured:
    if single is None:
        return one
    admitted = one.value("steady_admitted")
    lost = 1.0 - admitted / single.value("steady_admitted")
    figure = _experiments.Figure("below_single", lost)
    return attrs.evolve(one, figures=(*one.figures, figure))
