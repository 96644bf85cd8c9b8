"""Computes the share of demand that a mix of engine roles can serve."""

import collections.abc

import attrs

from . import _entities

#: Steps of the binary search for the served share.
_SEARCH_STEPS = 11
#: Largest served share; more spare capacity has no value.
MAX_SHARE = 1.1
#: Work below this counts as zero, in engine-seconds per second.
_NEGLIGIBLE_WORK = 1e-9
#: Number of steps in which the engines of a role are varied in a large fleet.
_MIX_STEPS = 12


@attrs.frozen
class Mix:
    """Number of engines of one model by role."""

    prefill: int
    decode: int
    both: int

    @property
    def total(self) -> int:
        """Return the number of all engines."""
        return self.prefill + self.decode + self.both

    def after_move(
        self, source: _entities.Role, target: _entities.Role, count: int
    ) -> "Mix":
        """Return the mix after ``count`` engines changed their role."""
        return self.without(source, count).without(target, -count)

    def without(self, role: _entities.Role, count: int) -> "Mix":
        """Return the mix without ``count`` engines of a role."""
        return attrs.evolve(
            self, **{role.value: getattr(self, role.value) - count}
        )

    def of(self, role: _entities.Role) -> int:
        """Return the number of engines of a role."""
        return int(getattr(self, role.value))


@attrs.frozen
class Work:
    """Demand of each phase in engine-seconds per second."""

    prefill: float
    decode: float


def work_from_rates(
    rates: _entities.ModelRates, prompt_tokens: float, output_tokens: float
) -> Work:
    """Convert token rates to work."""
    return Work(
        prefill=prompt_tokens / rates.prefill_tokens_per_s,
        decode=output_tokens / rates.decode_tokens_per_s,
    )


def served_share(mix: Mix, demand: Work, rates: _entities.ModelRates) -> float:
    """Return the share of the demand that a mix can serve.

    It is 1 if the capacity just suffices, and at most ``MAX_SHARE``.

    Engines with one role serve its phase. Engines with both roles serve the
    rest, and lose capacity if they mix the phases.
    """
    total = demand.prefill + demand.decode
    low, high = 0.0, MAX_SHARE
    if total > 0.0:
        gain = max(0.0, -rates.mixing_loss)
        high = min(high, mix.total * (1.0 + gain) / total)
    prefill_only = mix.prefill / (1.0 + rates.handover_loss)
    for _ in range(_SEARCH_STEPS):
        share = (low + high) / 2
        prompt = max(0.0, share * demand.prefill - prefill_only)
        output = max(0.0, share * demand.decode - mix.decode)
        if _fits(prompt, output, mix.both, rates.mixing_loss):
            low = share
        else:
            high = share
    return low


def mixes(total: int) -> collections.abc.Iterator[Mix]:
    """Yield mixes of engines, in steps that grow with the fleet."""
    step = max(1, total // _MIX_STEPS)
    for prefill in range(0, total + 1, step):
        for decode in range(0, total + 1 - prefill, step):
            yield Mix(prefill, decode, total - prefill - decode)


def _fits(prompt: float, output: float, engines: int, loss: float) -> bool:
    total = prompt + output
    if total < _NEGLIGIBLE_WORK:
        return True
    mixed = 4.0 * prompt * output / (total * total)
    return total <= engines * (1.0 - loss * mixed)
