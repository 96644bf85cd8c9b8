"""Sums what other gateways have under way at each engine."""

import collections.abc

import attrs

from . import _entities

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
    #: Requests.
    requests: int
    #: Those of them that are deferred.
    deferred_requests: int = 0


@attrs.frozen
class _Told:
    shares: dict[str, EngineShare]
    sequence: int
    at_s: float


class PeerLoads:
    """Keeps the newest figures of each gateway.

    Example::

        peers.take("gateway-2", 17, shares, now_s)
        peers.apply(engines, now_s)
    """

    def __init__(self) -> None:
        #: Age at which figures are dropped, in seconds.
        self.stale_s = STALE_S
        self._told: dict[str, _Told] = {}

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
        by_engine = {share.engine_id: share for share in shares}
        self._told[gateway] = _Told(by_engine, sequence, now_s)
        return True

    def apply(
        self,
        engines: collections.abc.Iterable[_entities.EngineLoad],
        now_s: float,
    ) -> None:
        """Set what others have under way at the engines."""
        for gateway, told in list(self._told.items()):
            if now_s - told.at_s > self.stale_s:
                del self._told[gateway]
        for engine in engines:
            shares = [
                told.shares[engine.engine_id]
                for told in self._told.values()
                if engine.engine_id in told.shares
            ]
            engine.others.urgent = sum(each.urgent_tokens for each in shares)
            engine.others.deferred = sum(
                each.deferred_tokens for each in shares
            )
            engine.others_requests = sum(share.requests for share in shares)
            engine.others_deferred_requests = sum(
                share.deferred_requests for share in shares
            )
