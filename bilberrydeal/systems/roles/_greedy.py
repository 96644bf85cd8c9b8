"""Role planner that follows the last window of demand immediately."""

import typing

from .. import _tables
from . import _capacity
from . import _entities
from . import _plan
from . import _registry
from . import _rules


@_registry.ROLE_PLANNERS.register("greedy")
class GreedyRoles:
    """Chooses the move that serves the last window best, without hysteresis.

    It respects the limits on concurrent changes and on failure domains, but
    ignores the cost of a change and future demand.
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
        """Order at most one move for each model."""
        _plan.clear_orders(tables)
        for model, endpoints in _plan.by_model(tables).items():
            demand = tables.of(_entities.ModelDemand).get(model)
            rates = tables.of(_entities.ModelRates).get(model)
            if demand is None or not demand.windows or rates is None:
                continue
            last = demand.windows[-1]
            work = _capacity.work_from_rates(
                rates,
                last.prompt_tokens / last.length_s,
                last.output_tokens / last.length_s,
            )
            now = _plan.current_mix(endpoints)
            best = _capacity.served_share(now, work, rates)
            chosen = None
            for move in _plan.moves(endpoints, self.rules, 0.0, now_s):
                after = now.after_move(
                    move.source, move.target, len(move.endpoints)
                )
                share = _capacity.served_share(after, work, rates)
                if share > best:
                    best, chosen = share, move
            if chosen is not None:
                _plan.order_move(tables, chosen)
