"""When to tell something again, as datagrams are lost."""

import attrs

#: Time until something is told again first, in seconds; doubles each time.
FIRST_INTERVAL_S = 0.1
#: How often something is told.
TIMES = 6
#: Most things that wait to be told; the oldest yield.
LIMIT = 512


@attrs.define
class _Repeat:
    """When something is told next."""

    due_s: float
    told: int = 0


class Repeats:
    """Things to tell several times, at intervals that grow."""

    def __init__(self) -> None:
        self._repeats: dict[str | bytes, _Repeat] = {}

    def add(self, name: str | bytes, now_s: float) -> None:
        """Tell something from now on; starts again if it is repeated."""
        self._repeats.pop(name, None)
        self._repeats[name] = _Repeat(now_s)
        if len(self._repeats) > LIMIT:
            del self._repeats[next(iter(self._repeats))]

    def drop(self, name: str | bytes) -> None:
        """Tell something no longer."""
        self._repeats.pop(name, None)

    def __contains__(self, name: str | bytes) -> bool:
        """Return whether something is still to be told."""
        return name in self._repeats

    def due(self, limit: int, now_s: float) -> list[str | bytes]:
        """Return what is due; it counts as told."""
        found: list[str | bytes] = []
        for name, repeat in list(self._repeats.items()):
            if repeat.due_s > now_s or len(found) >= limit:
                continue
            found.append(name)
            repeat.due_s = now_s + FIRST_INTERVAL_S * 2.0**repeat.told
            repeat.told += 1
            if repeat.told >= TIMES:
                del self._repeats[name]
        return found
