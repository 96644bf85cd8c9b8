"""Fluid model of a service whose engines have roles.

Requests are processed as cohorts through two queues: first their prompts are
computed, then their outputs are generated. Requests that wait too long for
their prompt are refused before they run, and answers that miss the deadline
are not counted.
"""

import collections
import collections.abc

import attrs

from bilberrydeal.systems import roles

from . import fleet_loads

#: Maximum wait until the prompt is computed, in seconds.
FIRST_TOKEN_BOUND_S = 5.0
#: Maximum time from arrival to the end of the answer, in seconds.
DEADLINE_S = 20.0
#: Work that engines of a single phase can do within this many steps is not
#: given to engines with both roles.
DEDICATED_STEPS = 2
#: Share of its capacity that an engine still uses while it drains.
DRAINING_SHARE = 0.5


@attrs.frozen
class Cohort:
    """Requests that arrived in one step, or a fraction of them."""

    arrived_s: float
    requests: float
    prefill_s: float
    decode_s: float

    def fraction(self, share: float) -> "Cohort":
        """Return a fraction of the cohort."""
        return Cohort(
            self.arrived_s,
            self.requests * share,
            self.prefill_s * share,
            self.decode_s * share,
        )


@attrs.define
class EngineState:
    """State of one engine."""

    role: roles.Role
    #: End of draining; the change of role follows.
    draining_until_s: float = 0.0
    #: End of the change of role, during which the engine is unavailable.
    changing_until_s: float = 0.0
    #: Time at which the last change was ordered.
    ordered_at_s: float = float("-inf")

    def begin_change(
        self, role: roles.Role, rules: roles.RoleRules, now_s: float
    ) -> None:
        """Start a change of role."""
        self.role = role
        self.ordered_at_s = now_s
        self.draining_until_s = now_s + rules.drain_s
        self.changing_until_s = self.draining_until_s + rules.change_s


@attrs.define
class ServiceState:
    """Queues of a service, and counts of its answers."""

    rates: roles.ModelRates
    prefill: collections.deque[Cohort] = attrs.field(factory=collections.deque)
    decode: collections.deque[Cohort] = attrs.field(factory=collections.deque)
    #: Requests answered in time.
    answered: float = 0.0
    #: Requests refused before they ran.
    refused: float = 0.0
    #: Requests answered too late.
    late: float = 0.0

    def copy(self) -> "ServiceState":
        """Return an independent copy."""
        return attrs.evolve(
            self, prefill=self.prefill.copy(), decode=self.decode.copy()
        )

    def queued(self) -> roles.Work:
        """Return the queued work, in engine-seconds."""
        return roles.Work(
            sum(cohort.prefill_s for cohort in self.prefill),
            sum(cohort.decode_s for cohort in self.decode),
        )

    def step(
        self,
        arrivals: fleet_loads.Arrivals,
        capacity: "RoleCapacity",
        now_s: float,
    ) -> None:
        """Simulate one step."""
        if arrivals.requests:
            self.prefill.append(
                Cohort(
                    now_s,
                    arrivals.requests,
                    arrivals.prefill_s,
                    arrivals.decode_s,
                )
            )
        self._drop_expired(now_s)
        queued = self.queued()
        prefill_s, decode_s = _step_budgets_s(queued, capacity, self.rates)
        step_s = fleet_loads.STEP_S
        decode_rate = (capacity.decode + capacity.both) * step_s
        if queued.decode > decode_rate * 0.5 * DEADLINE_S / step_s:
            prefill_s = 0.0
        for cohort in _dequeue(self.decode, decode_s, "decode_s"):
            self.answered += cohort.requests
        self.decode.extend(_dequeue(self.prefill, prefill_s, "prefill_s"))

    def _drop_expired(self, now_s: float) -> None:
        while (
            self.prefill
            and now_s - self.prefill[0].arrived_s > FIRST_TOKEN_BOUND_S
        ):
            self.refused += self.prefill.popleft().requests
        while self.decode and now_s - self.decode[0].arrived_s > DEADLINE_S:
            self.late += self.decode.popleft().requests


@attrs.frozen
class RoleCapacity:
    """Available engines by role; draining engines count in part."""

    prefill: float
    decode: float
    both: float


def role_capacity(
    engines: collections.abc.Sequence[EngineState],
    lost: collections.abc.Container[int],
    now_s: float,
) -> RoleCapacity:
    """Return the capacity by role that is available now.

    A draining engine still does some work, which counts as both roles.
    """
    counts = dict.fromkeys(roles.Role, 0.0)
    for position, engine in enumerate(engines):
        if position in lost:
            continue
        if now_s >= engine.changing_until_s:
            counts[engine.role] += 1.0
        elif now_s < engine.draining_until_s:
            counts[roles.Role.BOTH] += DRAINING_SHARE
    return RoleCapacity(
        counts[roles.Role.PREFILL],
        counts[roles.Role.DECODE],
        counts[roles.Role.BOTH],
    )


def _step_budgets_s(
    queued: roles.Work, capacity: RoleCapacity, rates: roles.ModelRates
) -> tuple[float, float]:
    """Return the engine-seconds for prompts and for outputs in one step.

    Engines with both roles decode first, to finish requests that they have
    started before they prefill others.
    """
    step_s = fleet_loads.STEP_S
    dedicated_prefill = capacity.prefill * step_s / (1.0 + rates.handover_loss)
    dedicated_decode = capacity.decode * step_s
    overflow_prefill = max(
        0.0, queued.prefill - dedicated_prefill * DEDICATED_STEPS
    )
    overflow_decode = max(
        0.0, queued.decode - dedicated_decode * DEDICATED_STEPS
    )
    shared_capacity = capacity.both * step_s
    for _ in range(3):
        decode = min(overflow_decode, shared_capacity)
        prefill = min(overflow_prefill, shared_capacity - decode)
        if prefill + decode <= 0.0:
            break
        prompt_share = prefill / (prefill + decode)
        loss = rates.mixing_loss * 4.0 * prompt_share * (1.0 - prompt_share)
        shared_capacity = capacity.both * step_s * (1.0 - loss)
    decode = min(overflow_decode, shared_capacity)
    prefill = min(overflow_prefill, shared_capacity - decode)
    return dedicated_prefill + prefill, dedicated_decode + decode


def _dequeue(
    queue: collections.deque[Cohort], budget_s: float, field: str
) -> collections.abc.Iterator[Cohort]:
    """Remove cohorts from a queue up to a budget, splitting the last one."""
    while queue and budget_s > 1e-9:
        cohort = queue.popleft()
        required_s: float = getattr(cohort, field)
        if required_s <= budget_s:
            budget_s -= required_s
            yield cohort
            continue
        share = budget_s / required_s
        queue.appendleft(cohort.fraction(1.0 - share))
        yield cohort.fraction(share)
        return
