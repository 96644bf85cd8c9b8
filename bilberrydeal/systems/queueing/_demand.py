"""Bounds the demand for slots that is counted for each organisation."""

import collections
import math

import attrs

#: Time constant of the exponential decay of old requests, in seconds.
DECAY_TIME_S = 10.0
#: An organisation without requests for this time has no share, in seconds.
IDLE_TIMEOUT_S = 3.0 * DECAY_TIME_S


@attrs.define
class OrganisationDemand:
    """The counted demand of one organisation."""

    #: Weight of the organisation, from its last request.
    weight: float
    #: Mean number of slots that its requests keep busy.
    busy_slots: float = 0.0
    #: Time of the last decay, monotonic.
    updated_at_s: float = -math.inf


class Demand:
    """Bounds each organisation's counted demand by its share of the slots.

    Slots are shared by weight between the organisations with recent requests.
    Demand beyond the share does not count: a flood of short requests must not
    reserve slots at the expense of long requests of other organisations.
    """

    def __init__(self) -> None:
        #: Ordered by the last request of each organisation.
        self._organisations: collections.OrderedDict[
            str, OrganisationDemand
        ] = collections.OrderedDict()
        self._total_weight = 0.0

    def record_request(
        self,
        organisation: str,
        weight: float,
        run_time_s: float,
        slots: float,
        now_s: float,
    ) -> float:
        """Record a request and return the part of its run time that counts."""
        self._remove_idle(now_s)
        demand = self._demand(organisation, weight)
        if now_s > demand.updated_at_s:
            demand.busy_slots *= math.exp(
                (demand.updated_at_s - now_s) / DECAY_TIME_S
            )
            demand.updated_at_s = now_s
        share = slots * weight / self._total_weight
        available_s = max(0.0, share - demand.busy_slots) * DECAY_TIME_S
        counted_s = min(run_time_s, available_s)
        demand.busy_slots += counted_s / DECAY_TIME_S
        return counted_s

    def __len__(self) -> int:
        return len(self._organisations)

    def _demand(self, organisation: str, weight: float) -> OrganisationDemand:
        demand = self._organisations.get(organisation)
        if demand is None:
            demand = self._organisations[organisation] = OrganisationDemand(
                weight
            )
            self._total_weight += weight
        else:
            self._total_weight += weight - demand.weight
            demand.weight = weight
            self._organisations.move_to_end(organisation)
        return demand

    def _remove_idle(self, now_s: float) -> None:
        oldest_s = now_s - IDLE_TIMEOUT_S
        while self._organisations:
            name, demand = next(iter(self._organisations.items()))
            if demand.updated_at_s >= oldest_s:
                return
            del self._organisations[name]
            self._total_weight -= demand.weight
        self._total_weight = 0.0
