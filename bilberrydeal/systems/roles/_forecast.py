"""Forecasts demand from recent windows."""

import collections
import collections.abc
import math

import attrs

from . import _capacity
from . import _entities

#: Half-lives of the two averages whose difference is the trend.
_FAST_S = 5.0
_SLOW_S = 25.0
#: Share of the trend that is expected to continue.
_DAMPING = 0.5
#: Windows older than this number of half-lives are ignored.
_MAX_HALF_LIVES = 6.0
#: Length of the periods into which the history is divided.
_PERIOD_S = 30.0
#: Fewest periods that count as a history.
_MIN_PERIODS = 4
#: Factors on the prompt share that are assumed without a history.
_ASSUMED_SHIFTS = (0.7, 1.0, 1.3)
#: Quantiles of the periods by prompt share that are used.
_QUANTILES = (0.1, 0.5, 0.9)


@attrs.frozen
class Level:
    """Rates in tokens per second."""

    prompt_tokens: float
    output_tokens: float


def level(
    windows: collections.abc.Sequence[_entities.DemandWindow],
    half_life_s: float,
    now_s: float,
) -> Level:
    """Return the average rates, weighting windows by exponential decay."""
    weight_s = prompt = output = 0.0
    for window in reversed(windows):
        if now_s - window.end_s > _MAX_HALF_LIVES * half_life_s:
            break
        weight = math.exp2((window.end_s - now_s) / half_life_s)
        weight_s += weight * window.length_s
        prompt += weight * window.prompt_tokens
        output += weight * window.output_tokens
    if weight_s <= 0.0:
        return Level(0.0, 0.0)
    return Level(prompt / weight_s, output / weight_s)


def work_history(
    demand: _entities.ModelDemand,
    rates: _entities.ModelRates,
    history_s: float,
    now_s: float,
) -> tuple[_capacity.Work, ...]:
    """Return the work of periods with low, median and high prompt shares.

    Demand that shifted between the phases tends to shift back, so a mix of
    roles should suit the whole range. Without a history, the range is assumed
    around the mean work; it is empty without any work.
    """
    periods = collections.defaultdict(list)
    for window in demand.windows:
        if now_s - window.end_s < history_s:
            periods[int(window.end_s // _PERIOD_S)].append(window)
    works = [_period_work(windows, rates) for windows in periods.values()]
    works = [work for work in works if work.prefill + work.decode > 0.0]
    works.sort(key=lambda work: work.prefill / (work.prefill + work.decode))
    if len(works) < _MIN_PERIODS:
        return (
            tuple(_shifted(works, factor) for factor in _ASSUMED_SHIFTS)
            if works
            else ()
        )
    return tuple(works[int(q * len(works))] for q in _QUANTILES)


def _shifted(works: list[_capacity.Work], factor: float) -> _capacity.Work:
    """Return the mean work with its prompt share multiplied by a factor."""
    prefill = sum(work.prefill for work in works) / len(works)
    decode = sum(work.decode for work in works) / len(works)
    shifted = min(prefill * factor, prefill + decode)
    return _capacity.Work(shifted, prefill + decode - shifted)


def _period_work(
    windows: list[_entities.DemandWindow], rates: _entities.ModelRates
) -> _capacity.Work:
    length_s = sum(window.length_s for window in windows)
    return _capacity.work_from_rates(
        rates,
        sum(window.prompt_tokens for window in windows) / length_s,
        sum(window.output_tokens for window in windows) / length_s,
    )


def forecast(
    demand: _entities.ModelDemand,
    half_life_s: float,
    ahead_s: float,
    now_s: float,
) -> Level:
    """Return the rates expected in ``ahead_s`` seconds.

    Part of the trend between a fast and a slow average is expected to
    continue. It at most doubles or halves a rate.
    """
    base = level(demand.windows, half_life_s, now_s)
    fast = level(demand.windows, _FAST_S, now_s)
    slow = level(demand.windows, _SLOW_S, now_s)
    lag_s = (_SLOW_S - _FAST_S) / math.log(2)
    share = _DAMPING * ahead_s / lag_s
    return Level(
        _extrapolated(
            base.prompt_tokens, fast.prompt_tokens, slow.prompt_tokens, share
        ),
        _extrapolated(
            base.output_tokens, fast.output_tokens, slow.output_tokens, share
        ),
    )


def _extrapolated(
    base: float, fast: float, slow: float, share: float
) -> float:
    return min(2 * base, max(base / 2, base + share * (fast - slow)))
