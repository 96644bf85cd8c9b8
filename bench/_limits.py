"""Limits of organisations over several entries."""

import collections
import functools
import random

import attrs
import msgspec

from bilberrydeal import systems
from bilberrydeal.systems import limits

from . import _clock
from . import _experiments
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
#: Tokens of a request.
TOKENS = 200.0
#: The limited organisation: requests a second.
REQUESTS_PER_S = 40.0
#: Time from a death to its being known from the membership, in seconds.
MEMBERSHIP_LAG_S = 8.0
#: Time that a request holds its slot, in seconds.
HOLD_S = 0.5


@attrs.frozen
class Scene:
    """What is limited, what is offered, and what changes."""

    #: Limits of the organisation.
    organisation: systems.OrganisationView
    #: Requests a second offered over those that the limit lets through.
    offered_factor: float = 2.0
    #: Share of the requests that come to the first entry; 0 for an even one.
    skew: float = 0.0
    #: ``join``, ``death``, ``cut``, ``outage`` or nothing.
    change: str = ""


def _organisation(
    requests_per_s: float = float("inf"),
    tokens_per_s: float = float("inf"),
    concurrency: float = float("inf"),
) -> systems.OrganisationView:
    return systems.OrganisationView(
        "limited",
        requests_per_s=requests_per_s,
        tokens_per_s=tokens_per_s,
        concurrency=concurrency,
    )


REQUESTS = _organisation(requests_per_s=REQUESTS_PER_S)
SCENES = {
    "requests": Scene(REQUESTS),
    "requests_skewed": Scene(REQUESTS, skew=0.8),
    "tokens_skewed": Scene(
        _organisation(tokens_per_s=REQUESTS_PER_S * TOKENS), skew=0.8
    ),
    "concurrency_skewed": Scene(
        _organisation(concurrency=REQUESTS_PER_S * HOLD_S), skew=0.8
    ),
    "below_skewed": Scene(REQUESTS, offered_factor=0.8, skew=0.8),
    "join": Scene(REQUESTS, change="join"),
    "death_of_home": Scene(REQUESTS, change="death"),
    "cut": Scene(REQUESTS, skew=0.8, change="cut"),
    "store_outage": Scene(REQUESTS, change="outage"),
}
#: Scenes that the baseline runs in; changes make no difference to it.
BASELINE_SCENES = ("requests", "requests_skewed", "below_skewed")
ENTRIES = {"4 entries": 4, "12 entries": 12, "48 entries": 48}


class LimitsWorld:
    """Entries that only admit, and their exchange."""

    def __init__(
        self, scene: Scene, entries: int, policy: str, seed: int
    ) -> None:
        self.scene = scene
        self.admitted: collections.Counter[int] = collections.Counter()
        self.offered: collections.Counter[int] = collections.Counter()
        self.sent_bytes = 0
        self._clock = _clock.Clock()
        self._random = random.Random(seed)
        self._policy = policy
        self._limiters = {
            f"entry{n}": limits.LIMITERS.get(policy)(f"entry{n}")
            for n in range(entries)
        }
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

    def _next(self) -> None:
        limit = REQUESTS_PER_S * self.scene.offered_factor
        self._clock.after(self._random.expovariate(limit), self._arrive)

    def _arrive(self) -> None:
        now_s = self._clock.now_s
        entry = self._random.choice(self._live)
        if self._random.random() < self.scene.skew:
            entry = self._live[0]
        limiter = self._limiters[entry]
        window = int(now_s / WINDOW_S)
        self.offered[window] += 1
        if limiter.admit(self.scene.organisation, TOKENS, now_s).admitted:
            self.admitted[window] += 1
            self._clock.after(HOLD_S, functools.partial(self._end, limiter))
        self._next()

    def _end(self, limiter: limits.Limiter) -> None:
        name = self.scene.organisation.organisation
        limiter.settle(name, TOKENS, TOKENS, self._clock.now_s)

    def _change(self) -> None:
        change = self.scene.change
        if change == "join":
            self._limiters["joined"] = limits.LIMITERS.get(self._policy)(
                "joined"
            )
            self._live.append("joined")
            self._known.append("joined")
        elif change in ("death", "outage"):
            home = limits.home("limited", tuple(sorted(self._live)))
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

    def _deliver(self, sender: str, outgoing: limits.Outgoing) -> None:
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
            figure("highest_after", max(after)),
            figure("lowest_after", min(after)),
            figure("settled_error", abs(settled)),
            figure("wrong_for_s", wrong_s),
            figure("bytes_per_node_s", self.sent_bytes / DURATION_S / nodes),
        )

    def _error(self, windows: range) -> float:
        admitted = sum(self.admitted[n] for n in windows)
        allowed = len(windows) * WINDOW_S * REQUESTS_PER_S
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
    )
    targets = (
        _experiments.Target("", "exchanged", "steady_error", 0.05, True),
    )

    def cases(self) -> tuple[_experiments.Case, ...]:
        """Return all runs."""
        return tuple(
            _experiments.Case("limits", size, scene, policy, seed)
            for size in ENTRIES
            for scene in SCENES
            for policy in ("exchanged", "local_only")
            if policy == "exchanged" or scene in BASELINE_SCENES
            for seed in (1, 2, 3)
        )

    def run(self, case: _experiments.Case) -> tuple[_experiments.Figure, ...]:
        """Carry out one run."""
        world = LimitsWorld(
            SCENES[case.load], ENTRIES[case.size], case.policy, case.seed
        )
        return world.run()

    def compare(
        self, measured: tuple[_experiments.Measured, ...]
    ) -> tuple[_experiments.Measured, ...]:
        """Add nothing."""
        return measured
