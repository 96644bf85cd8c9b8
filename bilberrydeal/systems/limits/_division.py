"""How a home divides rates by need."""

import collections.abc
import math

#: Part of a rate that is divided evenly whatever the need, so that a first
#: request at an idle entry finds something.
EVEN_PART = 0.02


def rate_shares(
    needs: collections.abc.Mapping[str, float], limit: float
) -> dict[str, float]:
    """Return each entry's share of a rate; the shares sum to one.

    Entries get what they need; what is left over is divided evenly, and a
    limit that is too small is divided in proportion to the needs.
    """
    if not needs:
        return {}
    even = 1.0 / len(needs)
    total = sum(needs.values())
    if total <= 0.0 or math.isinf(limit):
        return dict.fromkeys(needs, even)
    if total >= limit * (1.0 - EVEN_PART):
        return {
            entry: (1.0 - EVEN_PART) * need / total + EVEN_PART * even
            for entry, need in needs.items()
        }
    spare = 1.0 - total / limit
    return {
        entry: need / limit + spare * even for entry, need in needs.items()
    }
