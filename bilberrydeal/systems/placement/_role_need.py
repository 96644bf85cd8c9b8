"""Learns how many engines a service needs for decoding and for prefill."""

import collections.abc
import math

import attrs

from . import _entities
from . import _options

#: Time over which the present load is averaged, in seconds.
LOAD_TIME_S = 5.0
#: Time over which its mean and its deviation are learned, in seconds. It spans
#: several bursts.
LEARNING_TIME_S = 30.0
#: Deviations above the mean that are kept free for bursts.
BURST_DEVIATIONS = 2.0
#: Share of a prefill-only engine that a prefill at a decode engine counts as:
#: it runs at about half the speed there.
MIXED_PREFILL_SHARE = 0.5


@attrs.frozen
class RoleNeed:
    """Engines of a service needed for each kind of work, with headroom."""

    #: Engines that decode.
    decode_engines: float
    #: Engines that only prefill.
    prefill_engines: float


@attrs.define
class _LoadAverage:
    """Mean and deviation of a load."""

    #: Average over some seconds.
    present: float = 0.0
    #: Average of that over a longer time.
    mean: float = 0.0
    variance: float = 0.0
    #: Time over which loads were added, in seconds.
    age_s: float = 0.0

    def add(self, value: float, lasted_s: float) -> None:
        """Add a load that lasted for a time."""
        self.age_s += lasted_s
        weight = self._weight(lasted_s, LOAD_TIME_S)
        self.present += (value - self.present) * weight
        weight = self._weight(lasted_s, LEARNING_TIME_S)
        distance = self.present - self.mean
        self.mean += distance * weight
        self.variance += (distance * distance - self.variance) * weight

    @property
    def with_headroom(self) -> float:
        """Return the load that bursts rarely exceed."""
        return self.mean + BURST_DEVIATIONS * math.sqrt(self.variance)

    def _weight(self, lasted_s: float, time_s: float) -> float:
        """Return the weight of a load, where the first ones count alike."""
        if not lasted_s:
            return 0.0
        return max(1.0 - math.exp(-lasted_s / time_s), lasted_s / self.age_s)


class RoleNeeds:
    """Follows the slots and the prefill time that requests occupy.

    Slots in use are the rate of requests times the time for which they hold
    one; both change with the kinds of requests. Requests that wait for a slot
    do not count, as prefills that wait do not, so that neither kind of work
    seems larger when both are short.

    Example::

        needs.observe(engines, now_s)
        needs.learned
    """

    def __init__(self) -> None:
        #: Engines whose slots are in use.
        self._decode = _LoadAverage()
        #: Engines that prefill long prompts.
        self._prefill = _LoadAverage()
        self._first_s: float | None = None
        self._last_s = 0.0

    def observe(
        self,
        engines: collections.abc.Sequence[_entities.EngineLoad],
        now_s: float,
    ) -> None:
        """Add the present load of the engines."""
        if self._first_s is None:
            if not any(engine.requests for engine in engines):
                return
            self._first_s = self._last_s = now_s
        lasted_s = max(now_s - self._last_s, 0.0)
        self._last_s = now_s
        self._decode.add(sum(map(_used_slots_share, engines)), lasted_s)
        self._prefill.add(sum(map(_prefill_share, engines)), lasted_s)

    @property
    def learned(self) -> RoleNeed | None:
        """Return what is needed, ``None`` until it is learned."""
        if self._first_s is None:
            return None
        if self._last_s - self._first_s < LEARNING_TIME_S:
            return None
        return RoleNeed(
            self._decode.with_headroom,
            self._prefill.with_headroom,
        )


def _used_slots_share(engine: _entities.EngineLoad) -> float:
    if engine.prefill_only:
        return 0.0
    return min(engine.requests / engine.slots, 1.0)


def _prefill_share(engine: _entities.EngineLoad) -> float:
    if engine.prefill_only:
        return 1.0 if engine.waiting_tokens >= 1.0 else 0.0
    if engine.waiting_tokens >= _options.SHORT_PROMPT_TOKENS:
        return MIXED_PREFILL_SHARE
    return 0.0
