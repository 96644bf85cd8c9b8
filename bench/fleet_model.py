"""Serves a load with engines in roles: two queues and their rates.

Requests flow as cohorts: first their prompt is computed, then their output
is generated. Work that waits past its bound is refused before it runs;
answers past their deadline count for nothing.
"""

import collections
import collections.abc

import attrs

from bilberrydeal.systems import roles

from . import fleet_loads

#: Longest wait for the prompt to be computed.
FIRST_TOKEN_BOUND_S = 5.0
#: Longest time from arrival to the end of the answer.
DEADLINE_S = 20.0
#: Work waits so many steps for engines of its phase alone before engines
#: with both roles take it.
PATIENCE_STEPS = 2
#: Part of its capacity that an engine uses up while it drains.
DRAINING_SHARE = 0.5


@attrs.frozen
class Cohort:
    """Requests, or parts of them, that arrived in one step."""

    arrived_s: float
    requests: float
    prefill_s: float
    decode_s: float

    def parted(self, share: float) -> "Cohort":
        """Return a part of the cohort."""
        return Cohort(
            self.arrived_s,
            self.requests * share,
            self.prefill_s * share,
            self.decode_s * share,
        )


@attrs.define
class EngineNow:
    """One engine of the model."""

    role: roles.Role
    #: Until when it drains; then it changes.
    draining_until_s: float = 0.0
    #: Until when it is away for a change of role.
    changing_until_s: float = 0.0
    #: When its last change was ordered.
    ordered_at_s: float = float("-inf")

    def order(
        self, role: roles.Role, rules: roles.RoleRules, now_s: float
    ) -> None:
        """Begin a change."""
        self.role = role
        self.ordered_at_s = now_s
        self.draining_until_s = now_s + rules.drain_s
        self.changing_until_s = self.draining_until_s + rules.change_s


@attrs.define
class ServiceNow:
    """The queues, and what was answered."""

    rates: roles.ModelRates
    prefill: collections.deque[Cohort] = attrs.field(factory=collections.deque)
    decode: collections.deque[Cohort] = attrs.field(factory=collections.deque)
    #: Requests answered right and in time.
    answered: float = 0.0
    #: Requests refused before they ran.
    refused: float = 0.0
    #: Requests answered too late.
    late: float = 0.0

    def copy(self) -> "ServiceNow":
        """Return a copy that goes its own way."""
        return attrs.evolve(
            self, prefill=self.prefill.copy(), decode=self.decode.copy()
        )

    def queued(self) -> roles.Work:
        """Return the engine-seconds that wait."""
        return roles.Work(
            sum(c.prefill_s for c in self.prefill),
            sum(c.decode_s for c in self.decode),
        )

    def step(
        self,
        arrived: fleet_loads.Arrivals,
        mix: "FluidMix",
        now_s: float,
    ) -> None:
        """Serve one step."""
        if arrived.requests:
            self.prefill.append(
                Cohort(
                    now_s,
                    arrived.requests,
                    arrived.prefill_s,
                    arrived.decode_s,
                )
            )
        self._drop(now_s)
        queued = self.queued()
        prefill_s, decode_s = _budgets(queued, mix, self.rates)
        step_s = fleet_loads.STEP_S
        decode_rate = (mix.decode + mix.both) * step_s
        if queued.decode > decode_rate * 0.5 * DEADLINE_S / step_s:
            prefill_s = 0.0
        for cohort in _taken(self.decode, decode_s, "decode_s"):
            self.answered += cohort.requests
        self.decode.extend(_taken(self.prefill, prefill_s, "prefill_s"))

    def _drop(self, now_s: float) -> None:
        while (
            self.prefill
            and now_s - self.prefill[0].arrived_s > FIRST_TOKEN_BOUND_S
        ):
            self.refused += self.prefill.popleft().requests
        while self.decode and now_s - self.decode[0].arrived_s > DEADLINE_S:
            self.late += self.decode.popleft().requests


@attrs.frozen
class FluidMix:
    """Engines by role, those that drain counted in part."""

    prefill: float
    decode: float
    both: float


def fluid_mix(
    engines: collections.abc.Sequence[EngineNow],
    lost: collections.abc.Container[int],
    now_s: float,
) -> FluidMix:
    """Return the capacity by role that is there now.

    An engine that drains still works in part, counted as both phases.
    """
    counts = dict.fromkeys(roles.Role, 0.0)
    for position, engine in enumerate(engines):
        if position in lost:
            continue
        if now_s >= engine.changing_until_s:
            counts[engine.role] += 1.0
        elif now_s < engine.draining_until_s:
            counts[roles.Role.BOTH] += DRAINING_SHARE
    return FluidMix(
        counts[roles.Role.PREFILL],
        counts[roles.Role.DECODE],
        counts[roles.Role.BOTH],
    )


def _budgets(
    queued: roles.Work, mix: FluidMix, rates: roles.ModelRates
) -> tuple[float, float]:
    """Return the engine-seconds of prompts and outputs served in a step.

    Engines with both roles finish what has begun before they begin more.
    """
    step_s = fleet_loads.STEP_S
    prefill_alone = mix.prefill * step_s / (1.0 + rates.handover_loss)
    decode_alone = mix.decode * step_s
    prompt = max(0.0, queued.prefill - prefill_alone * PATIENCE_STEPS)
    output = max(0.0, queued.decode - decode_alone * PATIENCE_STEPS)
    total = mix.both * step_s
    for _ in range(3):
        decode = min(output, total)
        prefill = min(prompt, total - decode)
        if prefill + decode <= 0.0:
            break
        part = prefill / (prefill + decode)
        loss = rates.mixing_loss * 4.0 * part * (1.0 - part)
        total = mix.both * step_s * (1.0 - loss)
    decode = min(output, total)
    prefill = min(prompt, total - decode)
    return prefill_alone + prefill, decode_alone + decode


def _taken(
    queue: collections.deque[Cohort], budget_s: float, field: str
) -> collections.abc.Iterator[Cohort]:
    """Take cohorts and a part of the last from a queue."""
    while queue and budget_s > 1e-9:
        head = queue.popleft()
        need_s: float = getattr(head, field)
        if need_s <= budget_s:
            budget_s -= need_s
            yield head
            continue
        share = budget_s / need_s
        queue.appendleft(head.parted(1.0 - share))
        yield head.parted(share)
        return
