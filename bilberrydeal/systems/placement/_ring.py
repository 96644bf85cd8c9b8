"""Which engines of a large fleet are looked at for a request.

Answers fleets of hundreds of engines and more: to weigh each of them would
cost every request as much time as there are engines.
"""

import bisect
import collections.abc
import hashlib

from . import _entities

#: Fleets up to this size are looked at whole.
WHOLE_LIMIT = 64
#: Engines of each role that are looked at in a larger fleet.
CANDIDATES_A_ROLE = 24
#: Engines that are passed over at most in search of them.
VISITED_LIMIT = 256

Usable = collections.abc.Callable[[_entities.EngineLoad], bool]


class EngineRing:
    """The engines of a service, in an order by hash.

    Requests that share a part look at the same engines, whichever gateway
    has them, and an engine that comes or goes changes little.

    Example::

        ring = EngineRing(loads)
        engines = ring.candidates(prompt.affinity, usable)
    """

    def __init__(
        self, engines: collections.abc.Iterable[_entities.EngineLoad]
    ) -> None:
        placed = sorted(
            ((_position(each.engine_id.encode()), each) for each in engines),
            key=lambda pair: pair[0],
        )
        self._positions = [position for position, _engine in placed]
        self._engines = [engine for _position, engine in placed]

    def candidates(
        self, affinity: bytes, usable: Usable
    ) -> list[_entities.EngineLoad]:
        """Return the usable engines to weigh, so many of each role."""
        count = len(self._engines)
        if count <= WHOLE_LIMIT:
            return [engine for engine in self._engines if usable(engine)]
        first = bisect.bisect(self._positions, _position(affinity))
        readers: list[_entities.EngineLoad] = []
        makers: list[_entities.EngineLoad] = []
        for step in range(min(count, VISITED_LIMIT)):
            engine = self._engines[(first + step) % count]
            found = readers if engine.reads_only else makers
            if len(found) < CANDIDATES_A_ROLE and usable(engine):
                found.append(engine)
            if len(readers) + len(makers) == 2 * CANDIDATES_A_ROLE:
                break
        return [*readers, *makers]


def _position(name: bytes) -> int:
    digest = hashlib.blake2b(name, digest_size=8).digest()
    return int.from_bytes(digest)
