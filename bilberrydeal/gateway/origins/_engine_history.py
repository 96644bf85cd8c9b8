"""Software versions that the engine of each id had lately."""

import collections.abc
import itertools

import attrs

from ... import catalogue
from .. import core

#: Interval between two records of one run that goes on, in seconds.
REFRESH_S = 1.0


@attrs.frozen
class _Seen:
    """The newest run of an engine at a version."""

    #: When the process started, Unix time in milliseconds.
    started_ms: int
    #: When its entry was there, monotonic seconds; at most ``REFRESH_S``
    #: before it was last there.
    seen_s: float


class EngineHistory:
    """Starts and software versions of engines, now and lately.

    Example::

        history.observe(endpoint, now_s)
        history.began_anew(origin, now_s)
    """

    def __init__(self, kept_s: collections.abc.Callable[[], float]) -> None:
        #: Returns for how long a stream may be resumed, in seconds.
        self._kept_s = kept_s
        #: By the engine's id and the version, those seen last at the end.
        self._seen: dict[tuple[str, str], _Seen] = {}

    def observe(self, endpoint: catalogue.Endpoint, now_s: float) -> None:
        """Record that the entry of an engine is there."""
        key = (endpoint.endpoint_id, endpoint.software_version)
        before = self._seen.get(key)
        started_ms = endpoint.started_ms
        if before is not None:
            started_ms = max(started_ms, before.started_ms)
            if (
                started_ms == before.started_ms
                and now_s - before.seen_s < REFRESH_S
            ):
                return
            del self._seen[key]
        self._seen[key] = _Seen(started_ms, now_s)

    def began_anew(self, origin: core.StreamOrigin, now_s: float) -> bool:
        """Return whether the engine of an origin became another version.

        Only later starts count: events of an earlier one are not taken for
        those of a process whose entry is known.
        """
        self._expire(now_s)
        return any(
            endpoint_id == origin.endpoint_id
            and version != origin.software_version
            and seen.started_ms > origin.started_ms
            for (endpoint_id, version), seen in self._seen.items()
        )

    def _expire(self, now_s: float) -> None:
        over_s = now_s - self._kept_s()
        over = itertools.takewhile(
            lambda item: item[1].seen_s <= over_s, self._seen.items()
        )
        for key in [key for key, _seen in over]:
            del self._seen[key]
