"""Selects candidate engines for a request in a large fleet.

Evaluating every engine would make the cost of each request grow with the
size of the fleet, which is too slow with hundreds of engines.
"""

import bisect
import collections.abc
import hashlib

from . import _entities

#: Fleets of up to this size are evaluated completely.
FULL_SCAN_LIMIT = 64
#: Number of candidates of each role in a larger fleet.
CANDIDATES_PER_ROLE = 24
#: Largest number of engines visited to find the candidates.
VISITED_LIMIT = 256

IsUsable = collections.abc.Callable[[_entities.EngineLoad], bool]


class EngineRing:
    """Consistent hash ring of the engines of a service.

    Requests with the same affinity key get the same candidates at every
    gateway, and adding or removing an engine changes few of them.

    Example::

        ring = EngineRing(loads)
        engines = ring.candidates(prompt.affinity, usable)
    """

    def __init__(
        self, engines: collections.abc.Iterable[_entities.EngineLoad]
    ) -> None:
        positioned = sorted(
            ((_position(each.engine_id.encode()), each) for each in engines),
            key=lambda pair: pair[0],
        )
        self._positions = [position for position, _engine in positioned]
        self._engines = [engine for _position, engine in positioned]

    def candidates(
        self, affinity: bytes, usable: IsUsable
    ) -> list[_entities.EngineLoad]:
        """Return usable engines, a limited number of each role."""
        count = len(self._engines)
        if count <= FULL_SCAN_LIMIT:
            return [engine for engine in self._engines if usable(engine)]
        first = bisect.bisect(self._positions, _position(affinity))
        prefill: list[_entities.EngineLoad] = []
        decode: list[_entities.EngineLoad] = []
        for offset in range(min(count, VISITED_LIMIT)):
            engine = self._engines[(first + offset) % count]
            chosen = prefill if engine.prefill_only else decode
            if len(chosen) < CANDIDATES_PER_ROLE and usable(engine):
                chosen.append(engine)
            if len(prefill) + len(decode) == 2 * CANDIDATES_PER_ROLE:
                break
        return [*prefill, *decode]


def _position(name: bytes) -> int:
    digest = hashlib.blake2b(name, digest_size=8).digest()
    return int.from_bytes(digest)
