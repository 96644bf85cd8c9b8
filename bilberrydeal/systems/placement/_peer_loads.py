"""Sums what other gateways have under way at each engine."""

import collections.abc

import attrs

from . import _entities
from . import _parts
from . import _request_counts

#: A gateway that told nothing for so long has nothing under way, in seconds.
STALE_S = 1.0


@attrs.frozen
class EngineShare:
    """What one gateway has under way at one engine."""

    #: Name of the engine.
    engine_id: str
    #: Prompt tokens that are to be read first.
    urgent_tokens: int
    #: Prompt tokens that are read after those.
    deferred_tokens: int
    #: Requests by their rank at the engine.
    requests: list[int]
    #: Prompts that it sent there since it last told.
    prompts: tuple[_parts.Prompt, ...] = ()


@attrs.frozen
class _Told:
    shares: tuple[EngineShare, ...]
    sequence: int
    at_s: float


@attrs.define
class _Sum:
    """What all other gateways have under way at one engine."""

    tokens: _entities.QueuedTokens = attrs.field(
        factory=_entities.QueuedTokens
    )
    counts: _request_counts.RequestCounts = attrs.field(
        factory=_request_counts.RequestCounts
    )

    def add(self, share: EngineShare, sign: int) -> None:
        """Add a share, or take it away again."""
        self.tokens.add(sign * share.urgent_tokens, deferred=False)
        self.tokens.add(sign * share.deferred_tokens, deferred=True)
        # Another release may know more ranks, or fewer.
        ranks = range(len(self.counts.by_rank))
        for rank, count in zip(ranks, share.requests, strict=False):
            self.counts.add(rank, sign * count)


Find = collections.abc.Callable[[str], _entities.EngineLoad | None]


class PeerLoads:
    """Keeps the newest figures of each gateway, and their sums by engine.

    The work for figures that come in grows with the engines that they name,
    not with the fleet.

    Example::

        peers.take("gateway-2", 17, shares, now_s)
        peers.apply(loads.get)
    """

    def __init__(self) -> None:
        #: Age at which figures are dropped, in seconds.
        self.stale_s = STALE_S
        self._told: dict[str, _Told] = {}
        self._sums: dict[str, _Sum] = {}
        #: Engines whose sums changed since they were applied.
        self._changed: set[str] = set()

    def take(
        self,
        gateway: str,
        sequence: int,
        shares: collections.abc.Iterable[EngineShare],
        now_s: float,
    ) -> bool:
        """Take figures unless newer ones came before them."""
        before = self._told.get(gateway)
        if before is not None and before.sequence >= sequence:
            return False
        told = _Told(tuple(shares), sequence, now_s)
        if before is not None:
            self._add(before, -1)
        self._told[gateway] = told
        self._add(told, 1)
        return True

    def drop_stale(self, now_s: float) -> None:
        """Drop the figures of gateways that told nothing for long."""
        for gateway, told in list(self._told.items()):
            if now_s - told.at_s > self.stale_s:
                self._add(told, -1)
                del self._told[gateway]

    def apply(self, find: Find) -> None:
        """Set what others have under way at the engines that changed."""
        for engine_id in self._changed:
            engine = find(engine_id)
            if engine is not None:
                found = self._sums[engine_id]
                engine.others = attrs.evolve(found.tokens)
                engine.others_counts = _request_counts.RequestCounts(
                    list(found.counts.by_rank)
                )
        self._changed.clear()

    def _add(self, told: _Told, sign: int) -> None:
        for share in told.shares:
            self._sums.setdefault(share.engine_id, _Sum()).add(share, sign)
            self._changed.add(share.engine_id)
