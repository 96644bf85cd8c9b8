"""Scenarios of the experiment on organisation limits."""

import attrs

from bilberrydeal import systems

#: Tokens that each request uses.
TOKENS_PER_REQUEST = 200.0
#: Limit of the organisation, in requests per second.
REQUESTS_PER_S = 40.0
#: Time that a request occupies its slot, in seconds.
REQUEST_DURATION_S = 0.5


@attrs.frozen
class Scenario:
    """The limits, the offered load, and a change during the run."""

    #: Limits of the organisation.
    organisation: systems.OrganisationView
    #: Offered request rate over the rate that the limit allows.
    offered_factor: float = 2.0
    #: Share of the requests sent to the first entry; 0 for an even spread.
    skew: float = 0.0
    #: ``join``, ``death``, ``cut``, ``outage`` or empty for no change.
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


REQUEST_RATE_LIMIT = _organisation(requests_per_s=REQUESTS_PER_S)
SCENARIOS = {
    "requests": Scenario(REQUEST_RATE_LIMIT),
    "requests_skewed": Scenario(REQUEST_RATE_LIMIT, skew=0.8),
    "tokens_skewed": Scenario(
        _organisation(tokens_per_s=REQUESTS_PER_S * TOKENS_PER_REQUEST),
        skew=0.8,
    ),
    "concurrency_skewed": Scenario(
        _organisation(concurrency=REQUESTS_PER_S * REQUEST_DURATION_S),
        skew=0.8,
    ),
    "concurrency_below_skewed": Scenario(
        _organisation(concurrency=REQUESTS_PER_S * REQUEST_DURATION_S),
        offered_factor=0.8,
        skew=0.8,
    ),
    "below_skewed": Scenario(REQUEST_RATE_LIMIT, offered_factor=0.8, skew=0.8),
    "join": Scenario(REQUEST_RATE_LIMIT, change="join"),
    "death_of_home": Scenario(REQUEST_RATE_LIMIT, change="death"),
    "cut": Scenario(REQUEST_RATE_LIMIT, skew=0.8, change="cut"),
    "store_outage": Scenario(REQUEST_RATE_LIMIT, change="outage"),
}
#: One limiter shared by all entries: what entries with perfect knowledge
#: would admit. Even at twice the load, random arrivals leave some slots idle.
SINGLE_ENTRY = "single_entry"
#: Scenarios that the baseline policies run in.
POLICY_SCENARIOS = {
    "local_only": ("requests", "requests_skewed", "below_skewed"),
    SINGLE_ENTRY: (
        "requests_skewed",
        "concurrency_skewed",
        "concurrency_below_skewed",
        "below_skewed",
    ),
}
ENTRIES = {"4 entries": 4, "12 entries": 12, "48 entries": 48}
