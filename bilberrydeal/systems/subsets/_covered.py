"""Rendezvous hashing that assigns equally many entries to each endpoint."""

import collections
import collections.abc
import heapq
import operator

import attrs

from . import _quotas
from . import _registry
from . import _scores

#: Minimum number of endpoints of each service in a subset, if it has so many.
MIN_ENDPOINTS_PER_SERVICE = 3
#: Number of score columns; members that hash to one column share its scores.
_COLUMN_COUNT = 4096

Subsets = dict[str, tuple[_registry.EndpointMember, ...]]
_Members = collections.abc.Sequence[_registry.EndpointMember]
_CacheKey = tuple[
    frozenset[_registry.EntryMember], frozenset[_registry.EndpointMember], int
]
_ColumnSelector = collections.abc.Callable[
    [collections.abc.Sequence[int]], tuple[int, ...]
]


@_registry.SUBSETS.register("covered_rendezvous")
class CoveredRendezvous:
    """Matches endpoints and entries so that each endpoint is covered.

    Uses deferred acceptance (Gale-Shapley): each endpoint proposes to entries
    in descending order of score until enough have accepted it. A full entry
    rejects its lowest score. Scores depend only on the pair, so a member that
    joins or leaves moves few others. Each service has about
    ``MIN_ENDPOINTS_PER_SERVICE`` endpoints in a subset, in two failure
    domains, even if that exceeds ``size``.

    A change of the members costs about 30 us per endpoint and 100 entries.
    The last result is cached for unchanged members.
    """

    def __init__(self) -> None:
        self._cache_key: _CacheKey | None = None
        self._subsets: Subsets = {}

    def choose(
        self,
        entry: _registry.EntryMember,
        entries: collections.abc.Sequence[_registry.EntryMember],
        endpoints: collections.abc.Sequence[_registry.EndpointMember],
        size: int,
        now_s: float,
    ) -> tuple[_registry.EndpointMember, ...]:
        """Return the endpoints of an entry's subset, sorted by key."""
        if len(endpoints) <= size:
            return tuple(sorted(endpoints, key=_key))
        cache_key = (frozenset(entries) | {entry}, frozenset(endpoints), size)
        if cache_key != self._cache_key:
            self._subsets = assign(*cache_key)
            self._cache_key = cache_key
        return self._subsets[entry.key]


def assign(
    entries: collections.abc.Collection[_registry.EntryMember],
    endpoints: collections.abc.Collection[_registry.EndpointMember],
    size: int,
) -> Subsets:
    """Return the subsets of all entries by the entry's key."""
    names = sorted({member.key for member in entries})
    links = len(names) * size // len(endpoints)
    chosen: dict[str, list[_registry.EndpointMember]]
    chosen = {name: [] for name in names}
    for group in _quotas.by_service(endpoints).values():
        for name, members in _match_service(names, group, links).items():
            chosen[name].extend(members)
    return {name: tuple(sorted(m, key=_key)) for name, m in chosen.items()}


@attrs.frozen(eq=False)
class _Proposer:
    """A member that proposes to members of the other side in turn."""

    #: Name of the member.
    name: str
    #: Scores and names of the members that it has not proposed to yet.
    ranking: collections.abc.Iterator[tuple[int, str]]


#: Heap of the proposers that one member has accepted: score, name, proposer.
_Accepted = list[tuple[int, str, _Proposer]]


def _match_service(
    names: list[str], group: list[_registry.EndpointMember], links: int
) -> dict[str, list[_registry.EndpointMember]]:
    """Return the endpoints of one service for each entry.

    ``links`` is the minimum number of entries for each endpoint.
    """
    share = max(
        MIN_ENDPOINTS_PER_SERVICE, -(-links * len(group) // len(names))
    )
    if share >= len(group):
        return {name: list(group) for name in names}
    wanted = len(names) * share // len(group)
    chosen = _assign_members({m.key: wanted for m in group}, names, {}, share)
    _fill(chosen, group, share)
    members = {member.key: member for member in group}
    return {
        name: _add_second_domain(
            name, [members[key] for key in sorted(keys)], group
        )
        for name, keys in chosen.items()
    }


def _fill(chosen: dict[str, set[str]], group: _Members, share: int) -> None:
    """Assign more endpoints to entries below their share."""
    missing = {
        name: share - len(keys)
        for name, keys in chosen.items()
        if len(keys) < share
    }
    filled = _assign_members(missing, [m.key for m in group], chosen, 1)
    for key, names in filled.items():
        for name in names:
            chosen[name].add(key)


def _assign_members(
    wanted: collections.abc.Mapping[str, int],
    acceptors: list[str],
    existing: collections.abc.Mapping[str, collections.abc.Container[str]],
    capacity: int,
) -> dict[str, set[str]]:
    """Return the members that each of the acceptors accepts.

    Each member is accepted by as many acceptors as it wants, in addition to
    those in ``existing``. An acceptor accepts ``capacity`` members, and more
    only if no assignment exists otherwise.
    """
    while True:
        accepted: dict[str, _Accepted] = {
            acceptor: [] for acceptor in acceptors
        }
        if _match_proposers(
            _proposers(wanted, acceptors, existing), capacity, accepted
        ):
            return {
                acceptor: {proposal[1] for proposal in proposals}
                for acceptor, proposals in accepted.items()
            }
        capacity += 1


def _proposers(
    wanted: collections.abc.Mapping[str, int],
    acceptors: list[str],
    existing: collections.abc.Mapping[str, collections.abc.Container[str]],
) -> collections.deque[_Proposer]:
    """Return each member once for each acceptor that it wants.

    It proposes in descending order of score and skips existing acceptors.
    """
    select_columns = _column_selector(acceptors)
    proposers: collections.deque[_Proposer] = collections.deque()
    for name, count in wanted.items():
        scores = select_columns(_scores.score_row(name, _COLUMN_COUNT))
        ranking = sorted(zip(scores, acceptors, strict=True), reverse=True)
        known = existing.get(name, ())
        proposer = _Proposer(
            name, iter([r for r in ranking if r[1] not in known])
        )
        proposers.extend([proposer] * count)
    return proposers


def _column_selector(names: list[str]) -> _ColumnSelector:
    columns = [_scores.digest(name) % _COLUMN_COUNT for name in names]
    if len(columns) == 1:
        return lambda row: (row[columns[0]],)
    return operator.itemgetter(*columns)


def _match_proposers(
    waiting: collections.deque[_Proposer],
    capacity: int,
    accepted: dict[str, _Accepted],
) -> bool:
    """Match all proposers; return false if one was rejected by all."""
    while waiting:
        proposer = waiting.popleft()
        for score, acceptor in proposer.ranking:
            proposal = (score, proposer.name, proposer)
            rejected = _propose(proposal, capacity, accepted[acceptor])
            if rejected is not proposer:
                if rejected is not None:
                    waiting.append(rejected)
                break
        else:
            return False
    return True


def _propose(
    proposal: tuple[int, str, _Proposer], capacity: int, accepted: _Accepted
) -> _Proposer | None:
    """Propose to a member; return the proposer that it rejects, if any."""
    if len(accepted) < capacity:
        heapq.heappush(accepted, proposal)
        return None
    return heapq.heappushpop(accepted, proposal)[2]


def _add_second_domain(
    name: str, members: list[_registry.EndpointMember], group: _Members
) -> list[_registry.EndpointMember]:
    """Add an endpoint if all members are in one failure domain."""
    domains = {member.failure_domain for member in members}
    if len(domains) > 1:
        return members
    others = [m for m in group if m.failure_domain not in domains]
    if not others:
        return members
    own = _scores.digest(name)
    best = max(
        others, key=lambda m: _scores.pair_score(own, _scores.digest(m.key))
    )
    return [*members, best]


def _key(member: _registry.EndpointMember) -> str:
    return member.key
