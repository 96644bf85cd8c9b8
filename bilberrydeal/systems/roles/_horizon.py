"""Role planner that changes roles if that pays off within a horizon."""

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

#: Added per engine to prefer the larger of two equally good moves.
_TIE_BREAK_S = 1e-6


@_registry.ROLE_PLANNERS.register("horizon")
class HorizonRoles:
    """Compares the gain of a mix of roles until the horizon with its cost.

    Demand is forecast from recent windows, their trend and the queues; after
    ``forecast_s`` it is expected to resemble the demand history. The planner
    looks for the mix with the largest net gain until the horizon. The cost is
    ``payback`` times the work lost while engines change their roles, plus
    ``least_gain_engines`` for each change. The planner orders the first move
    towards that mix; an engine that changed keeps its role for ``dwell_s``.
    """

    reads: typing.ClassVar[tuple[type, ...]] = (
        _entities.ModelDemand,
        _entities.ModelRates,
        _entities.RoleEndpoint,
    )
    writes: typing.ClassVar[tuple[type, ...]] = (_entities.RoleOrder,)

    def __init__(self, rules: _rules.RoleRules) -> None:
        self.rules = rules
        #: Time when each model was last planned.
        self._planned_s: dict[str, float] = {}
        #: Time of the last order of this planner for each endpoint.
        self._ordered_s: dict[str, float] = {}

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Order at most one move for each model that is due.

        The ``models_per_run`` models that were planned longest ago are due.
        """
        _plan.clear_orders(tables)
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
            endpoints = [self._with_last_order(e) for e in groups[model]]
            move = self._move(tables, model, endpoints, now_s)
            if move is not None:
                _plan.order_move(tables, move)
                for endpoint in move.endpoints:
                    self._ordered_s[endpoint.key] = now_s

    def _with_last_order(
        self, endpoint: _entities.RoleEndpoint
    ) -> _entities.RoleEndpoint:
        """Return an endpoint with the last order time of this planner."""
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
        evaluation = self._evaluation(endpoints, demand, rates, now_s)
        return self._best_move(endpoints, evaluation, now_s)

    def _evaluation(
        self,
        endpoints: list[_entities.RoleEndpoint],
        demand: _entities.ModelDemand,
        rates: _entities.ModelRates,
        now_s: float,
    ) -> "_MixEvaluation":
        rules = self.rules
        ahead_s = rules.drain_s + rules.change_s + rules.lead_s
        expected_level = _forecast.forecast(
            demand, rules.half_life_s, ahead_s, now_s
        )
        return _MixEvaluation(
            mix=_plan.current_mix(endpoints),
            forecast=_work(expected_level, demand, rates, rules.forecast_s),
            history=_forecast.work_history(
                demand, rates, rules.history_s, now_s
            ),
            rates=rates,
            rules=rules,
            max_changing=max(1, _plan.max_changing(endpoints, rules)),
        )

    def _best_move(
        self,
        endpoints: list[_entities.RoleEndpoint],
        evaluation: "_MixEvaluation",
        now_s: float,
    ) -> _plan.Move | None:
        """Return the best first move towards the mix with the largest gain."""
        if not _plan.available_changes(endpoints, self.rules):
            return None
        now = evaluation.mix
        candidates = _capacity.mixes(now.total)
        goal = max(candidates, key=evaluation.net_gain_s, default=now)
        if evaluation.net_gain_s(goal) <= 0.0:
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
            after = now.after_move(move.source, move.target, count)
            value = evaluation.served_s(after) + count * _TIE_BREAK_S
            if chosen is None or value > best:
                best, chosen = value, move
        return chosen


@attrs.frozen
class _MixEvaluation:
    """Evaluates mixes of roles, in seconds of the demand of one model."""

    mix: _capacity.Mix
    #: Work that is expected next.
    forecast: _capacity.Work
    #: Past work with different prompt shares; empty without a history.
    history: tuple[_capacity.Work, ...]
    rates: _entities.ModelRates
    rules: _rules.RoleRules
    #: Largest number of engines that may change concurrently.
    max_changing: int

    def net_gain_s(self, goal: _capacity.Mix) -> float:
        """Return the gain of a mix minus the cost of changing to it."""
        rules = self.rules
        changes = sum(
            max(0, goal.of(role) - self.mix.of(role))
            for role in _entities.Role
        )
        if not changes:
            return 0.0
        unavailable_s = rules.drain_s + rules.change_s
        mean_delay_s = unavailable_s * (1 + changes // self.max_changing) / 2
        gain_share = max(0.0, 1.0 - mean_delay_s / rules.horizon_s)
        gain_s = gain_share * (self.served_s(goal) - self.served_s(self.mix))
        share = self._share(self.mix, self.forecast)
        cost_s = changes * unavailable_s * share / self.mix.total
        min_gain_s = (
            rules.least_gain_engines
            * changes
            * rules.horizon_s
            / self.mix.total
        )
        return gain_s - rules.payback * cost_s - min_gain_s

    def served_s(self, mix: _capacity.Mix) -> float:
        """Return the demand served until the horizon."""
        rules = self.rules
        forecast = self._share(mix, self.forecast)
        shares = [self._share(mix, work) for work in self.history]
        after = sum(shares) / len(shares) if shares else forecast
        later_s = max(0.0, rules.horizon_s - rules.forecast_s)
        return forecast * rules.forecast_s + after * later_s

    def _share(self, mix: _capacity.Mix, work: _capacity.Work) -> float:
        return _capacity.served_share(mix, work, self.rates)


def _work(
    level: _forecast.Level,
    demand: _entities.ModelDemand,
    rates: _entities.ModelRates,
    forecast_s: float,
) -> _capacity.Work:
    """Return the work of a level and of the queues, spread evenly."""
    return _capacity.work_from_rates(
        rates,
        level.prompt_tokens + demand.queued_prompt_tokens / forecast_s,
        level.output_tokens + demand.queued_output_tokens / forecast_s,
    )
