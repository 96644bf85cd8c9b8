"""What demand is expected soon, from recent windows."""

import collections
import collections.abc
import math

import attrs

from . import _capacity
from . import _entities

#: Half-lives of the two averages whose difference is the trend.
_FAST_S = 5.0
_SLOW_S = 25.0
#: Part of the trend that is expected to go on.
_DAMPING = 0.5
#: Windows older than so many half-lives weigh nothing.
_HALF_LIVES_MAX = 6.0
#: Length of the parts that the memory is divided into.
_PART_S = 30.0
#: Fewest parts that make a memory.
_PARTS_MIN = 4
#: Factors on the prompt share that are assumed before there is a memory.
_ASSUMED = (0.7, 1.0, 1.3)
#: The parts looked at, in order of their prompt share.
_QUANTILES = (0.1, 0.5, 0.9)


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
    for window in reversed(windows):
        if now_s - window.end_s > _HALF_LIVES_MAX * half_life_s:
            break
        weight = math.exp2((window.end_s - now_s) / half_life_s)
        weight_s += weight * window.length_s
        prompt += weight * window.prompt_tokens
        output += weight * window.output_tokens
    if weight_s <= 0.0:
        return Level(0.0, 0.0)
    return Level(prompt / weight_s, output / weight_s)


def remembered(
    demand: _entities.ModelDemand,
    rates: _entities.ModelRates,
    memory_s: float,
    now_s: float,
) -> tuple[_capacity.Work, ...]:
    """Return the work at low, middling and high prompt shares of late.

    A swing that went one way comes back: a mix of roles should be good for
    all of it. Empty before there is some history.
    """
    parts = collections.defaultdict(list)
    for window in demand.windows:
        if now_s - window.end_s < memory_s:
            parts[int(window.end_s // _PART_S)].append(window)
    works = [_part_work(windows, rates) for windows in parts.values()]
    works = [work for work in works if work.prefill + work.decode > 0.0]
    works.sort(key=lambda work: work.prefill / (work.prefill + work.decode))
    if len(works) < _PARTS_MIN:
        return (
            tuple(_shifted(works, spread) for spread in _ASSUMED)
            if works
            else ()
        )
    return tuple(works[int(q * len(works))] for q in _QUANTILES)


def _shifted(works: list[_capacity.Work], factor: float) -> _capacity.Work:
    """Return the mean of some work with its prompt share changed."""
    prefill = sum(work.prefill for work in works) / len(works)
    decode = sum(work.decode for work in works) / len(works)
    shifted = min(prefill * factor, prefill + decode)
    return _capacity.Work(shifted, prefill + decode - shifted)


def _part_work(
    windows: list[_entities.DemandWindow], rates: _entities.ModelRates
) -> _capacity.Work:
    length_s = sum(window.length_s for window in windows)
    return _capacity.work(
        rates,
        sum(window.prompt_tokens for window in windows) / length_s,
        sum(window.output_tokens for window in windows) / length_s,
    )


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
