"""Weighted rendezvous hashing within each service."""

import collections.abc

from . import _quotas
from . import _registry
from . import _scores

#: Minimum number of endpoints of each service, if the subset size permits.
MIN_ENDPOINTS_PER_SERVICE = 3


@_registry.SUBSETS.register("weighted_rendezvous")
class WeightedRendezvous:
    """Chooses the endpoints with the highest scores for this entry."""

    def choose(
        self,
        entry: _registry.EntryMember,
        entries: collections.abc.Sequence[_registry.EntryMember],
        endpoints: collections.abc.Sequence[_registry.EndpointMember],
        size: int,
        now_s: float,
    ) -> tuple[_registry.EndpointMember, ...]:
        """Return the endpoints of an entry's subset, sorted by key."""
        groups = _quotas.by_service(endpoints)
        counts = {name: len(group) for name, group in groups.items()}
        shares = _quotas.quotas(counts, size, MIN_ENDPOINTS_PER_SERVICE)
        entry_digest = _scores.digest(entry.key)
        chosen: list[_registry.EndpointMember] = []
        for name, group in groups.items():
            group.sort(
                key=lambda member: _score(entry_digest, member), reverse=True
            )
            chosen.extend(group[: shares[name]])
        return tuple(sorted(chosen, key=lambda member: member.key))


def _score(entry_digest: int, member: _registry.EndpointMember) -> float:
    score = _scores.pair_score(entry_digest, _scores.digest(member.key))
    return _scores.weighted_score(score, member.weight)
