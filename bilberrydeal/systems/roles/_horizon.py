"""Changes roles where that pays within a horizon."""

import math
import typing

import attrs

from .. import _tables
from . import _capacity
from . import _entities
from . import _forecast
from . import _plan
from . import _registry
from . import _rules

#: Prefers the larger of two moves that are worth the same.
_EPSILON_S = 1e-6


@_registry.ROLE_PLANNERS.register("horizon")
class HorizonRoles:
    """Weighs what a move gains until the horizon against what it costs.

    Demand is expected from recent windows, their trend and the queues, and
    after ``near_s`` to be like what the last minutes saw. The planner looks
    for the mix of roles that gains most until the horizon, after the time
    that engines are away on the way there, ``payback`` times, and
    ``least_gain_engines`` for each change. It orders the first move; an
    engine that changed keeps its role for ``dwell_s``.
    """

    reads: typing.ClassVar[tuple[type, ...]] = (
        _entities.ModelDemand,
        _entities.ModelRates,
        _entities.RoleEndpoint,
    )
    writes: typing.ClassVar[tuple[type, ...]] = (_entities.RoleOrder,)

    def __init__(self, rules: _rules.RoleRules) -> None:
        self.rules = rules
        #: When each model was last planned.
        self._planned_s: dict[str, float] = {}
        #: When each endpoint was last ordered by this planner.
        self._ordered_s: dict[str, float] = {}

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Decide at most one move for each of the models that are due.

        The models planned longest ago are due, ``models_per_run`` of them.
        """
        _plan.clear(tables)
        groups = _plan.by_model(tables)
        due = sorted(groups, key=lambda m: self._planned_s.get(m, -math.inf))
        self._planned_s = {m: self._planned_s.get(m, -math.inf) for m in due}
        self._ordered_s = {
            key: ordered_s
            for key, ordered_s in self._ordered_s.items()
            if now_s - ordered_s < self.rules.dwell_s
        }
        for model in due[: self.rules.models_per_run]:
            self._planned_s[model] = now_s
            endpoints = [self._remembering(e) for e in groups[model]]
            move = self._move(tables, model, endpoints, now_s)
            if move is not None:
                _plan.order(tables, move)
                for endpoint in move.endpoints:
                    self._ordered_s[endpoint.key] = now_s

    def _remembering(
        self, endpoint: _entities.RoleEndpoint
    ) -> _entities.RoleEndpoint:
        """Return an endpoint with the time of the own last order."""
        own_s = self._ordered_s.get(endpoint.key, -math.inf)
        if own_s <= endpoint.ordered_at_s:
            return endpoint
        return attrs.evolve(endpoint, ordered_at_s=own_s)

    def _move(
        self,
        tables: _tables.Tables,
        model: str,
        endpoints: list[_entities.RoleEndpoint],
        now_s: float,
    ) -> _plan.Move | None:
        demand = tables.of(_entities.ModelDemand).get(model)
        rates = tables.of(_entities.ModelRates).get(model)
        if demand is None or not demand.windows or rates is None:
            return None
        weighing = self._weighing(endpoints, demand, rates, now_s)
        return self._best(endpoints, weighing, now_s)

    def _weighing(
        self,
        endpoints: list[_entities.RoleEndpoint],
        demand: _entities.ModelDemand,
        rates: _entities.ModelRates,
        now_s: float,
    ) -> "_Weighing":
        rules = self.rules
        ahead_s = rules.drain_s + rules.change_s + rules.lead_s
        next_level = _forecast.expected(
            demand, rules.half_life_s, ahead_s, now_s
        )
        return _Weighing(
            mix=_plan.mix(endpoints),
            expected=_work(next_level, demand, rates, rules.near_s),
            memory=_forecast.remembered(demand, rates, rules.memory_s, now_s),
            rates=rates,
            rules=rules,
            at_once=max(1, _plan.bound(endpoints, rules)),
        )

    def _best(
        self,
        endpoints: list[_entities.RoleEndpoint],
        weighing: "_Weighing",
        now_s: float,
    ) -> _plan.Move | None:
        """Return the best first move towards the mix that pays most."""
        if not _plan.room(endpoints, self.rules):
            return None
        now = weighing.mix
        candidates = _capacity.mixes(now.total)
        goal = max(candidates, key=weighing.net_s, default=now)
        if weighing.net_s(goal) <= 0.0:
            return None
        best = 0.0
        chosen = None
        for move in _plan.moves(
            endpoints, self.rules, self.rules.dwell_s, now_s
        ):
            count = len(move.endpoints)
            fewer = now.of(move.source) - goal.of(move.source)
            more = goal.of(move.target) - now.of(move.target)
            if count > min(fewer, more):
                continue
            after = now.moved(move.source, move.target, count)
            value = weighing.value_s(after) + count * _EPSILON_S
            if chosen is None or value > best:
                best, chosen = value, move
        return chosen


@attrs.frozen
class _Weighing:
    """What mixes of roles are worth, in seconds of one model's demand."""

    mix: _capacity.Mix
    #: Work expected next.
    expected: _capacity.Work
    #: Work remembered at some prompt shares; empty without a history.
    memory: tuple[_capacity.Work, ...]
    rates: _entities.ModelRates
    rules: _rules.RoleRules
    #: Engines that may change at once.
    at_once: int

    def net_s(self, goal: _capacity.Mix) -> float:
        """Return what a mix gains less what it takes to come there."""
        rules = self.rules
        changes = sum(
            max(0, goal.of(role) - self.mix.of(role))
            for role in _entities.Role
        )
        if not changes:
            return 0.0
        away_s = rules.drain_s + rules.change_s
        half_way_s = away_s * (1 + changes // self.at_once) / 2
        kept = max(0.0, 1.0 - half_way_s / rules.horizon_s)
        gain_s = kept * (self.value_s(goal) - self.value_s(self.mix))
        share = self._share(self.mix, self.expected)
        cost_s = changes * away_s * share / self.mix.total
        least_s = (
            rules.least_gain_engines
            * changes
            * rules.horizon_s
            / self.mix.total
        )
        return gain_s - rules.payback * cost_s - least_s

    def value_s(self, mix: _capacity.Mix) -> float:
        """Return the demand served until the horizon."""
        rules = self.rules
        expected = self._share(mix, self.expected)
        shares = [self._share(mix, work) for work in self.memory]
        after = sum(shares) / len(shares) if shares else expected
        later_s = max(0.0, rules.horizon_s - rules.near_s)
        return expected * rules.near_s + after * later_s

    def _share(self, mix: _capacity.Mix, work: _capacity.Work) -> float:
        return _capacity.served_share(mix, work, self.rates)


def _work(
    level: _forecast.Level,
    demand: _entities.ModelDemand,
    rates: _entities.ModelRates,
    near_s: float,
) -> _capacity.Work:
    """Return the work of a level and of the queues, spread evenly."""
    return _capacity.work(
        rates,
        level.prompt_tokens + demand.queued_prompt_tokens / near_s,
        level.output_tokens + demand.queued_output_tokens / near_s,
    )
