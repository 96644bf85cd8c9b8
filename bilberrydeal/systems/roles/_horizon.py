"""Changes roles where that pays within a horizon."""

import typing

import attrs

from .. import _tables
from . import _capacity
from . import _entities
from . import _forecast
from . import _plan
from . import _registry
from . import _rules

#: Capacity beyond the demand is worth something up to this multiple.
_HEADROOM = 1.1


@_registry.ROLE_PLANNERS.register("horizon")
class HorizonRoles:
    """Weighs what a move gains until the horizon against what it costs.

    Demand is expected from recent windows, their trend and the queues, and
    part of a gain is judged by what demand was in the last minutes. The
    engines of a move serve nothing while they drain and change. A move is
    ordered where what it gains after that is more than ``payback`` times
    what it costs and ``least_gain_engines`` for each engine that it moves;
    an engine that changed keeps its role for ``dwell_s``.
    """

    reads: typing.ClassVar[tuple[type, ...]] = (
        _entities.ModelDemand,
        _entities.ModelRates,
        _entities.RoleEndpoint,
    )
    writes: typing.ClassVar[tuple[type, ...]] = (_entities.RoleOrder,)

    def __init__(self, rules: _rules.RoleRules) -> None:
        self.rules = rules

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Decide at most one move for each model."""
        _plan.clear(tables)
        for model, endpoints in _plan.by_model(tables).items():
            demand = tables.of(_entities.ModelDemand).get(model)
            rates = tables.of(_entities.ModelRates).get(model)
            if demand is None or not demand.windows or rates is None:
                continue
            weighing = self._weighing(endpoints, demand, rates, now_s)
            move = self._best(endpoints, weighing, now_s)
            if move is not None:
                _plan.order(tables, move)

    def _weighing(
        self,
        endpoints: list[_entities.RoleEndpoint],
        demand: _entities.ModelDemand,
        rates: _entities.ModelRates,
        now_s: float,
    ) -> "_Weighing":
        rules = self.rules
        away_s = rules.drain_s + rules.change_s
        soon = _forecast.expected(demand, rules.half_life_s, away_s / 2, now_s)
        later = _forecast.expected(
            demand, rules.half_life_s, away_s + rules.lead_s, now_s
        )
        return _Weighing(
            mix=_plan.mix(endpoints),
            changing=_plan.mix(e for e in endpoints if e.changing),
            soon=_work(soon, demand, rates, rules.horizon_s),
            later=_work(later, demand, rates, rules.horizon_s),
            memory=_forecast.remembered(demand, rates, rules.memory_s, now_s),
            memory_part=rules.memory_part,
            rates=rates,
            away_s=away_s,
            horizon_s=rules.horizon_s,
        )

    def _best(
        self,
        endpoints: list[_entities.RoleEndpoint],
        weighing: "_Weighing",
        now_s: float,
    ) -> _plan.Move | None:
        rules = self.rules
        engine_s = rules.horizon_s / max(1, weighing.mix.total)
        best_s = 0.0
        chosen = None
        for move in _plan.moves(endpoints, rules, rules.dwell_s, now_s):
            least_s = rules.least_gain_engines * engine_s * len(move.endpoints)
            cost_s = rules.payback * weighing.cost(move)
            net_s = weighing.gain(move) - cost_s - least_s
            if net_s > best_s:
                best_s, chosen = net_s, move
        return chosen


@attrs.frozen
class _Weighing:
    """What moves of one model gain and cost, in seconds of its demand."""

    mix: _capacity.Mix
    changing: _capacity.Mix
    soon: _capacity.Work
    later: _capacity.Work
    memory: tuple[_capacity.Work, ...]
    memory_part: float
    rates: _entities.ModelRates
    away_s: float
    horizon_s: float

    def gain(self, move: _plan.Move) -> float:
        """Return what the new roles serve more after the change."""
        count = len(move.endpoints)
        after = self.mix.moved(move.source, move.target, count)
        more = self._value(after) - self._value(self.mix)
        return more * (self.horizon_s - self.away_s)

    def cost(self, move: _plan.Move) -> float:
        """Return what is not served while the engines are away."""
        now = _capacity.Mix(
            prefill=self.mix.prefill - self.changing.prefill,
            decode=self.mix.decode - self.changing.decode,
            both=self.mix.both - self.changing.both,
        )
        during = now.taken(move.source, len(move.endpoints))
        less = self._share(now, self.soon) - self._share(during, self.soon)
        return less * self.away_s

    def _value(self, mix: _capacity.Mix) -> float:
        """Return the share that a mix serves, expected and remembered."""
        expected = self._share(mix, self.later)
        if not self.memory:
            return expected
        shares = [self._share(mix, work) for work in self.memory]
        remembered = sum(shares) / len(shares)
        part = self.memory_part
        return (1.0 - part) * expected + part * remembered

    def _share(self, mix: _capacity.Mix, work: _capacity.Work) -> float:
        return min(_HEADROOM, _capacity.served_share(mix, work, self.rates))


def _work(
    level: _forecast.Level,
    demand: _entities.ModelDemand,
    rates: _entities.ModelRates,
    horizon_s: float,
) -> _capacity.Work:
    """Return the work of a level and of the queues, spread evenly."""
    return _capacity.work(
        rates,
        level.prompt_tokens + demand.queued_prompt_tokens / horizon_s,
        level.output_tokens + demand.queued_output_tokens / horizon_s,
    )
