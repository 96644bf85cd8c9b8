"""The quarantines of a system, and those that were dismissed."""

import collections.abc

import attrs

from . import _base

#: Interval at which a request with quarantined parts is let through.
PROBE_INTERVAL_S = 900.0
#: Time after which a quarantine ends that was not renewed, in seconds.
LASTS_S = 3600.0
#: Most quarantines of parts, and of requests; the oldest yield.
QUARANTINES_LIMIT = 32
#: Time for which a quarantine that was dismissed is not learned, in seconds.
DISMISSED_S = 60.0


class QuarantineTable:
    """Quarantines by their parts."""

    def __init__(self) -> None:
        self._quarantines: dict[frozenset[bytes], _base.Quarantine] = {}
        #: When quarantines were dismissed.
        self._dismissed_s: dict[frozenset[bytes], float] = {}

    def __iter__(self) -> collections.abc.Iterator[frozenset[bytes]]:
        return iter(self._quarantines)

    def __contains__(self, parts: frozenset[bytes]) -> bool:
        return parts in self._quarantines

    def find(
        self, parts: _base.Parts, now_s: float
    ) -> _base.Quarantine | None:
        """Return a quarantine in force of some of a prompt's parts."""
        if not self._quarantines:
            return None
        shared = frozenset(parts[:-1])
        for quarantine in self._quarantines.values():
            if quarantine.parts <= shared and in_force(quarantine, now_s):
                return quarantine
        return None

    def in_force(self, now_s: float) -> tuple[_base.Quarantine, ...]:
        """Return the quarantines in force."""
        return tuple(
            each
            for each in self._quarantines.values()
            if in_force(each, now_s)
        )

    def probe(self, quarantine: _base.Quarantine, now_s: float) -> bool:
        """Renew a quarantine and return true if a probe is due."""
        if now_s - quarantine.renewed_s < PROBE_INTERVAL_S:
            return False
        self._quarantines[quarantine.parts] = attrs.evolve(
            quarantine, renewed_s=now_s
        )
        return True

    def merge(self, learned: _base.Quarantine) -> bool:
        """Merge a quarantine into one of the same parts, if there is one."""
        before = self._quarantines.get(learned.parts)
        if before is None:
            return False
        self._quarantines[learned.parts] = attrs.evolve(
            before,
            decided_s=min(before.decided_s, learned.decided_s),
            renewed_s=max(before.renewed_s, learned.renewed_s),
        )
        return True

    def put(self, quarantine: _base.Quarantine) -> _base.Quarantine | None:
        """Add a quarantine in place of wider ones.

        Returns the one that yields to it, if there are too many.
        """
        for wider in [
            parts for parts in self._quarantines if parts > quarantine.parts
        ]:
            del self._quarantines[wider]
        self._quarantines[quarantine.parts] = quarantine
        alike = [
            each
            for each in self._quarantines.values()
            if each.of_request == quarantine.of_request
        ]
        if len(alike) <= QUARANTINES_LIMIT:
            return None
        oldest = min(alike, key=lambda each: each.renewed_s)
        return self._quarantines.pop(oldest.parts)

    def pop(self, parts: frozenset[bytes]) -> _base.Quarantine:
        """Remove and return the quarantine of some parts."""
        return self._quarantines.pop(parts)

    def dismiss(
        self, parts: frozenset[bytes], now_s: float
    ) -> _base.Quarantine:
        """Remove and return a quarantine that is not to be learned again."""
        self._dismissed_s[parts] = now_s
        return self._quarantines.pop(parts)

    def dismissed(self, parts: frozenset[bytes], now_s: float) -> bool:
        """Return whether the quarantine of some parts was dismissed lately."""
        dismissed_s = self._dismissed_s.get(parts, float("-inf"))
        return now_s - dismissed_s < DISMISSED_S

    def allow(self, parts: frozenset[bytes]) -> None:
        """Let the quarantine of some parts be learned again."""
        self._dismissed_s.pop(parts, None)

    def expire(self, now_s: float) -> list[_base.Quarantine]:
        """Remove and return the quarantines that are in force no longer."""
        for parts, at_s in list(self._dismissed_s.items()):
            if now_s - at_s >= DISMISSED_S:
                del self._dismissed_s[parts]
        return [
            self._quarantines.pop(parts)
            for parts, quarantine in list(self._quarantines.items())
            if not in_force(quarantine, now_s)
        ]


def in_force(quarantine: _base.Quarantine, now_s: float) -> bool:
    """Return whether a quarantine was renewed lately enough."""
    return now_s - quarantine.renewed_s < LASTS_S
