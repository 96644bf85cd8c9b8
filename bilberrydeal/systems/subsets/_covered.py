"""Rendezvous hashing with an equal number of entries for each endpoint."""

import collections
import collections.abc
import heapq
import operator

import attrs

from . import _quotas
from . import _registry
from . import _scores

#: Endpoints of a service that a subset holds where there are so many.
FEWEST = 3
#: Columns of scores; entries with one column share their scores.
_COLUMNS = 4096

Subsets = dict[str, tuple[_registry.EndpointMember, ...]]
_Members = collections.abc.Sequence[_registry.EndpointMember]
_Asked = tuple[
    frozenset[_registry.EntryMember], frozenset[_registry.EndpointMember], int
]
_Columns = collections.abc.Callable[
    [collections.abc.Sequence[int]], tuple[int, ...]
]


@_registry.SUBSETS.register("covered_rendezvous")
class CoveredRendezvous:
    """Matches endpoints and entries so that each endpoint is covered.

    Each endpoint asks the entries in the order of its scores until enough
    have taken it; an entry that is full gives up its lowest score. Scores
    depend on the pair only, so a member that comes or goes moves few
    others. Each service keeps about ``FEWEST`` endpoints in a subset, in
    two failure domains: this goes before ``size``.

    A change of the members costs about 30 us for each endpoint and 100
    entries; the last answer is kept for members that stay the same.
    """

    def __init__(self) -> None:
        self._asked: _Asked | None = None
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
        asked = (frozenset(entries) | {entry}, frozenset(endpoints), size)
        if asked != self._asked:
            self._subsets = assign(*asked)
            self._asked = asked
        return self._subsets[entry.key]


def assign(
    entries: collections.abc.Collection[_registry.EntryMember],
    endpoints: collections.abc.Collection[_registry.EndpointMember],
    size: int,
) -> Subsets:
    """Return the subsets of all entries, by the entry's key."""
    names = sorted({member.key for member in entries})
    links = len(names) * size // len(endpoints)
    chosen: dict[str, list[_registry.EndpointMember]]
    chosen = {name: [] for name in names}
    for group in _quotas.by_service(endpoints).values():
        for name, members in _match(names, group, links).items():
            chosen[name].extend(members)
    return {name: tuple(sorted(m, key=_key)) for name, m in chosen.items()}


@attrs.frozen(eq=False)
class _Asking:
    """A member that asks members of the other side, one after another."""

    #: Name of the member.
    name: str
    #: Scores and names of those that it has not asked yet.
    ranking: collections.abc.Iterator[tuple[int, str]]


#: What one member holds: scores, names and askings of the others, a heap.
_Held = list[tuple[int, str, _Asking]]


def _match(
    names: list[str], group: list[_registry.EndpointMember], links: int
) -> dict[str, list[_registry.EndpointMember]]:
    """Return the endpoints of one service for each entry.

    ``links`` is how many entries an endpoint should have at least.
    """
    share = max(FEWEST, -(-links * len(group) // len(names)))
    if share >= len(group):
        return {name: list(group) for name in names}
    wanted = len(names) * share // len(group)
    chosen = _place({m.key: wanted for m in group}, names, {}, share)
    _fill(chosen, group, share)
    members = {member.key: member for member in group}
    return {
        name: _spread(name, [members[key] for key in sorted(keys)], group)
        for name, keys in chosen.items()
    }


def _fill(chosen: dict[str, set[str]], group: _Members, share: int) -> None:
    """Give entries below their share one more of some endpoints."""
    missing = {
        name: share - len(keys)
        for name, keys in chosen.items()
        if len(keys) < share
    }
    filled = _place(missing, [m.key for m in group], chosen, 1)
    for key, names in filled.items():
        for name in names:
            chosen[name].add(key)


def _place(
    wanted: collections.abc.Mapping[str, int],
    others: list[str],
    has: collections.abc.Mapping[str, collections.abc.Container[str]],
    limit: int,
) -> dict[str, set[str]]:
    """Return which members each of the others holds.

    Each member is held by as many as it wants, beside those that it has;
    the others hold ``limit``, and more only where that does not do.
    """
    while True:
        held: dict[str, _Held] = {other: [] for other in others}
        if _settle(_askings(wanted, others, has), limit, held):
            return {
                other: {row[1] for row in rows} for other, rows in held.items()
            }
        limit += 1


def _askings(
    wanted: collections.abc.Mapping[str, int],
    others: list[str],
    has: collections.abc.Mapping[str, collections.abc.Container[str]],
) -> collections.deque[_Asking]:
    """Return each member once for each of the others that it wants.

    It asks those with the highest scores first and none that it has.
    """
    columns = _columns(others)
    askings: collections.deque[_Asking] = collections.deque()
    for name, count in wanted.items():
        scores = columns(_scores.row(name, _COLUMNS))
        ranking = sorted(zip(scores, others, strict=True), reverse=True)
        known = has.get(name, ())
        asking = _Asking(name, iter([r for r in ranking if r[1] not in known]))
        askings.extend([asking] * count)
    return askings


def _columns(names: list[str]) -> _Columns:
    places = [_scores.digest(name) % _COLUMNS for name in names]
    if len(places) == 1:
        return lambda row: (row[places[0]],)
    return operator.itemgetter(*places)


def _settle(
    waiting: collections.deque[_Asking], limit: int, held: dict[str, _Held]
) -> bool:
    """Let members ask until each was taken; false if one has asked all."""
    while waiting:
        asking = waiting.popleft()
        for score, other in asking.ranking:
            row = (score, asking.name, asking)
            rejected = _offer(row, limit, held[other])
            if rejected is not asking:
                if rejected is not None:
                    waiting.append(rejected)
                break
        else:
            return False
    return True


def _offer(
    row: tuple[int, str, _Asking], limit: int, rows: _Held
) -> _Asking | None:
    """Offer a member to another; return the one given up, if any."""
    if len(rows) < limit:
        heapq.heappush(rows, row)
        return None
    return heapq.heappushpop(rows, row)[2]


def _spread(
    name: str, members: list[_registry.EndpointMember], group: _Members
) -> list[_registry.EndpointMember]:
    """Add an endpoint where all of a service lie in one failure domain."""
    domains = {member.failure_domain for member in members}
    if len(domains) > 1:
        return members
    others = [m for m in group if m.failure_domain not in domains]
    if not others:
        return members
    own = _scores.digest(name)
    best = max(others, key=lambda m: _scores.pair(own, _scores.digest(m.key)))
    return [*members, best]


def _key(member: _registry.EndpointMember) -> str:
    return member.key
