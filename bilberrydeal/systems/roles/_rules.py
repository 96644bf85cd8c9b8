"""Limits and costs that every role planner applies."""

import attrs


@attrs.frozen
class RoleRules:
    """Parameters of the role planners."""

    #: Time to drain an engine before a change.
    drain_s: float = 4.0
    #: Time for which an engine is unavailable during the change itself.
    change_s: float = 6.0
    #: Time over which the gain of a change is counted.
    horizon_s: float = 200.0
    #: Time for which the forecast applies; after that, demand is expected to
    #: resemble the history.
    forecast_s: float = 50.0
    #: Half-life of the weight of a demand window.
    half_life_s: float = 15.0
    #: Time after a change for which demand is forecast.
    lead_s: float = 15.0
    #: Length of the demand history, to be ready for recurring demand.
    history_s: float = 600.0
    #: Largest share of the engines of a model that may change concurrently.
    changing_share: float = 0.1
    #: The same limit as a number of engines; the larger one applies.
    changing_count: int = 1
    #: Number of failure domains in which each phase must stay live, if the
    #: fleet has that many.
    domains_per_phase: int = 2
    #: Multiple of its cost that a change must be expected to gain.
    payback: float = 3.0
    #: Share of the work of each changed engine that a change must gain.
    least_gain_engines: float = 0.1
    #: Time for which an engine keeps its role after an order to change.
    dwell_s: float = 60.0
    #: Number of models that are planned in one run, to limit its duration.
    models_per_run: int = 2
