"""What demand is expected soon, from recent windows."""

import collections.abc
import math

import attrs

from . import _entities

#: Half-lives of the two averages whose difference is the trend.
_FAST_S = 5.0
_SLOW_S = 25.0
#: Part of the trend that is expected to go on.
_DAMPING = 0.5


@attrs.frozen
class Level:
    """Rates of tokens a second."""

    prompt_tokens: float
    output_tokens: float


def level(
    windows: collections.abc.Sequence[_entities.DemandWindow],
    half_life_s: float,
    now_s: float,
) -> Level:
    """Return the rates, a window's weight halving with its age."""
    weight_s = prompt = output = 0.0
    for window in windows:
        weight = math.exp2((window.end_s - now_s) / half_life_s)
        weight_s += weight * window.length_s
        prompt += weight * window.prompt_tokens
        output += weight * window.output_tokens
    if weight_s <= 0.0:
        return Level(0.0, 0.0)
    return Level(prompt / weight_s, output / weight_s)


def expected(
    demand: _entities.ModelDemand,
    half_life_s: float,
    ahead_s: float,
    now_s: float,
) -> Level:
    """Return the rates expected in ``ahead_s`` seconds.

    The trend between a fast and a slow average goes on in part, and never
    more than doubles or halves a rate.
    """
    base = level(demand.windows, half_life_s, now_s)
    fast = level(demand.windows, _FAST_S, now_s)
    slow = level(demand.windows, _SLOW_S, now_s)
    lag_s = (_SLOW_S - _FAST_S) / math.log(2)
    part = _DAMPING * ahead_s / lag_s
    return Level(
        _moved(
            base.prompt_tokens, fast.prompt_tokens, slow.prompt_tokens, part
        ),
        _moved(
            base.output_tokens, fast.output_tokens, slow.output_tokens, part
        ),
    )


def _moved(base: float, fast: float, slow: float, part: float) -> float:
    return min(2 * base, max(base / 2, base + part * (fast - slow)))
