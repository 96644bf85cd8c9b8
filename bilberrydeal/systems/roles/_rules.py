"""Bounds and costs that every role planner keeps to."""

import attrs


@attrs.frozen
class RoleRules:
    """What a role planner may do."""

    #: Time that draining takes before a change.
    drain_s: float = 4.0
    #: Time that the change itself takes an engine away.
    change_s: float = 6.0
    #: How far ahead a gain is counted.
    horizon_s: float = 200.0
    #: For so long demand is what is expected next; after that it is like
    #: what is remembered.
    near_s: float = 50.0
    #: A window of demand counts half after so long.
    half_life_s: float = 15.0
    #: How long after a change the demand is looked at.
    lead_s: float = 15.0
    #: How long demand is remembered, to be ready for what comes back.
    memory_s: float = 600.0
    #: Engines of a model that may be changing, as a share of them.
    changing_share: float = 0.1
    #: The same in engines; the larger bound holds.
    changing_count: int = 1
    #: Failure domains that each phase is kept in, where the fleet has so
    #: many.
    domains_per_phase: int = 2
    #: A change must promise this multiple of what it costs.
    payback: float = 3.0
    #: A change must gain the work of this part of each engine it moves.
    least_gain_engines: float = 0.1
    #: An engine that was ordered to change keeps its role so long.
    dwell_s: float = 60.0
    #: Models that are planned in one run, to bound its time.
    models_per_run: int = 2
