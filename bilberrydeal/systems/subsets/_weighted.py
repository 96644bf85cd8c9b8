"""Weighted rendezvous hashing, service by service."""

import collections.abc

from . import _quotas
from . import _registry
from . import _scores

#: Endpoints of a service that a subset holds where it has room.
FEWEST = 3


@_registry.SUBSETS.register("weighted_rendezvous")
class WeightedRendezvous:
    """Takes the endpoints with the highest scores for this entry."""

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
        shares = _quotas.quotas(counts, size, FEWEST)
        own = _scores.digest(entry.key)
        chosen: list[_registry.EndpointMember] = []
        for name, group in groups.items():
            group.sort(key=lambda member: _score(own, member), reverse=True)
            chosen.extend(group[: shares[name]])
        return tuple(sorted(chosen, key=lambda member: member.key))


def _score(own: int, member: _registry.EndpointMember) -> float:
    score = _scores.pair(own, _scores.digest(member.key))
    return _scores.weighted(score, member.weight)
