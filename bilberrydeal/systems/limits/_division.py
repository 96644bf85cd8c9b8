"""How a home divides limits by need."""

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


def slot_shares(
    needs: collections.abc.Mapping[str, float], slots: int
) -> dict[str, int]:
    """Return whole slots by need, by largest remainder.

    Entries that need slots get at least one while there are enough.
    """
    total = sum(needs.values())
    if total <= 0.0:
        return _spread_evenly(needs, slots)
    factor = min(1.0, slots / total)
    whole = {entry: int(need * factor) for entry, need in needs.items()}
    left = slots - sum(whole.values())
    by_remainder = sorted(
        needs,
        key=lambda entry: (
            whole[entry] > 0,
            whole[entry] - needs[entry] * factor,
            entry,
        ),
    )
    for entry in by_remainder:
        if left <= 0 or whole[entry] >= needs[entry]:
            continue
        whole[entry] += 1
        left -= 1
    for entry, spare in _spread_evenly(needs, left).items():
        whole[entry] += spare
    return whole


def _spread_evenly(
    needs: collections.abc.Mapping[str, float], slots: int
) -> dict[str, int]:
    entries = sorted(needs)
    if not entries:
        return {}
    each, left = divmod(max(0, slots), len(entries))
    return {
        entry: each + (1 if position < left else 0)
        for position, entry in enumerate(entries)
    }
