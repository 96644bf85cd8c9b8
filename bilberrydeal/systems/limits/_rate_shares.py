"""Divides a rate limit between entries by need."""

import collections.abc
import math

#: Fraction of a rate that is divided evenly regardless of need, so that an
#: idle entry can admit its first request.
EVEN_FRACTION = 0.02


def rate_shares(
    needs: collections.abc.Mapping[str, float], limit: float
) -> dict[str, float]:
    """Return each entry's share of a rate; the shares sum to one.

    If the limit covers all needs, each entry gets its need and the remainder
    is divided evenly. Otherwise the limit is divided in proportion to need.
    """
    if not needs:
        return {}
    even = 1.0 / len(needs)
    total = sum(needs.values())
    if total <= 0.0 or math.isinf(limit):
        return dict.fromkeys(needs, even)
    if total >= limit * (1.0 - EVEN_FRACTION):
        return {
            entry: (1.0 - EVEN_FRACTION) * need / total + EVEN_FRACTION * even
            for entry, need in needs.items()
        }
    spare = 1.0 - total / limit
    return {
        entry: need / limit + spare * even for entry, need in needs.items()
    }
