"""How much of the slots each organisation may claim for what it sends."""

import collections
import math

import attrs

#: Time after which an old request counts for 1/e, in seconds.
MEMORY_S = 10.0
#: An organisation that has sent nothing for so long has no share, in seconds.
FORGET_S = 3.0 * MEMORY_S


@attrs.define
class Claim:
    """What one organisation claims."""

    #: Weight of the organisation, as its last request stated it.
    weight: float
    #: Slots that its requests keep busy on average.
    busy_slots: float = 0.0
    #: When that was true, monotonic.
    at_s: float = -math.inf


class Demand:
    """Bounds each organisation's claim by its share of the slots.

    Slots are shared by weight among the organisations that sent something
    lately. What one sends beyond its share claims nothing: a flood of short
    answers is no reason to keep slots from the long ones of others.
    """

    def __init__(self) -> None:
        #: In the order of their last requests.
        self._claims: collections.OrderedDict[str, Claim] = (
            collections.OrderedDict()
        )
        self._weight = 0.0

    def claim(
        self,
        organisation: str,
        weight: float,
        run_time_s: float,
        slots: float,
        now_s: float,
    ) -> float:
        """Note a request and return the part of its run time that counts."""
        self._forget(now_s)
        claim = self._claim(organisation, weight)
        if now_s > claim.at_s:
            claim.busy_slots *= math.exp((claim.at_s - now_s) / MEMORY_S)
            claim.at_s = now_s
        share = slots * weight / self._weight
        open_s = max(0.0, share - claim.busy_slots) * MEMORY_S
        counted_s = min(run_time_s, open_s)
        claim.busy_slots += counted_s / MEMORY_S
        return counted_s

    def __len__(self) -> int:
        return len(self._claims)

    def _claim(self, organisation: str, weight: float) -> Claim:
        claim = self._claims.get(organisation)
        if claim is None:
            claim = self._claims[organisation] = Claim(weight)
            self._weight += weight
        else:
            self._weight += weight - claim.weight
            claim.weight = weight
            self._claims.move_to_end(organisation)
        return claim

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - FORGET_S
        while self._claims:
            name, claim = next(iter(self._claims.items()))
            if claim.at_s >= oldest_s:
                return
            del self._claims[name]
            self._weight -= claim.weight
        self._weight = 0.0
