"""What is limited, offered and changed in the runs of the limits."""

import attrs

from bilberrydeal import systems

#: Tokens of a request.
TOKENS = 200.0
#: The limited organisation: requests a second.
REQUESTS_PER_S = 40.0
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
    "concurrency_below_skewed": Scene(
        _organisation(concurrency=REQUESTS_PER_S * HOLD_S),
        offered_factor=0.8,
        skew=0.8,
    ),
    "below_skewed": Scene(REQUESTS, offered_factor=0.8, skew=0.8),
    "join": Scene(REQUESTS, change="join"),
    "death_of_home": Scene(REQUESTS, change="death"),
    "cut": Scene(REQUESTS, skew=0.8, change="cut"),
    "store_outage": Scene(REQUESTS, change="outage"),
}
#: One limiter for all entries: what a perfect view would admit. Where twice
#: the slots are offered by chance, some of them are idle even so.
SINGLE_ENTRY = "single_entry"
#: Scenes that others than the product run in.
POLICY_SCENES = {
    "local_only": ("requests", "requests_skewed", "below_skewed"),
    SINGLE_ENTRY: (
        "requests_skewed",
        "concurrency_skewed",
        "concurrency_below_skewed",
        "below_skewed",
    ),
}
ENTRIES = {"4 entries": 4, "12 entries": 12, "48 entries": 48}
