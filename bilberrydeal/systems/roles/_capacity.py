"""How much of a demand a set of engines in given roles serves."""

import collections.abc

import attrs

from . import _entities

#: Halvings of the interval in which the served share is sought.
_HALVINGS = 11
#: Shares are sought up to here; more spare capacity is worth nothing.
SHARE_MAX = 1.1
#: Work below this is none, in engine-seconds a second.
_NOTHING = 1e-9
#: Steps of a role's share that are tried in a large fleet.
_GRID = 12


@attrs.frozen
class Mix:
    """Engines of one model by role."""

    prefill: int
    decode: int
    both: int

    @property
    def total(self) -> int:
        """Return all engines."""
        return self.prefill + self.decode + self.both

    def moved(
        self, source: _entities.Role, target: _entities.Role, count: int
    ) -> "Mix":
        """Return the mix after ``count`` engines changed their role."""
        return self.taken(source, count).taken(target, -count)

    def taken(self, role: _entities.Role, count: int) -> "Mix":
        """Return the mix without ``count`` engines of a role."""
        return attrs.evolve(
            self, **{role.value: getattr(self, role.value) - count}
        )

    def of(self, role: _entities.Role) -> int:
        """Return the engines of a role."""
        return int(getattr(self, role.value))


@attrs.frozen
class Work:
    """Demand as engine-seconds a second in each phase."""

    prefill: float
    decode: float


def work(
    rates: _entities.ModelRates, prompt_tokens: float, output_tokens: float
) -> Work:
    """Return the work that rates of tokens mean."""
    return Work(
        prefill=prompt_tokens / rates.prefill_tokens_per_s,
        decode=output_tokens / rates.decode_tokens_per_s,
    )


def served_share(mix: Mix, demand: Work, rates: _entities.ModelRates) -> float:
    """Return how often the demand fits: 1 where it just does.

    The answer is at most ``SHARE_MAX``.

    Engines with one role take its phase, those with both what is left, at
    a loss where they mix the phases.
    """
    total = demand.prefill + demand.decode
    low, high = 0.0, SHARE_MAX
    if total > 0.0:
        gain = max(0.0, -rates.mixing_loss)
        high = min(high, mix.total * (1.0 + gain) / total)
    prefill_alone = mix.prefill / (1.0 + rates.handover_loss)
    for _ in range(_HALVINGS):
        share = (low + high) / 2
        prompt = max(0.0, share * demand.prefill - prefill_alone)
        output = max(0.0, share * demand.decode - mix.decode)
        if _fits(prompt, output, mix.both, rates.mixing_loss):
            low = share
        else:
            high = share
    return low


def mixes(total: int) -> collections.abc.Iterator[Mix]:
    """Yield ways to divide engines, in steps that grow with the fleet."""
    step = max(1, total // _GRID)
    for prefill in range(0, total + 1, step):
        for decode in range(0, total + 1 - prefill, step):
            yield Mix(prefill, decode, total - prefill - decode)


def _fits(prompt: float, output: float, engines: int, loss: float) -> bool:
    total = prompt + output
    if total < _NOTHING:
        return True
    mixed = 4.0 * prompt * output / (total * total)
    return total <= engines * (1.0 - loss * mixed)
