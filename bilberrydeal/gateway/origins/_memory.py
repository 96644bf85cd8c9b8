"""Remembers which engines began recent streams."""

import collections.abc
import hashlib
import itertools

import attrs

from .. import core

#: Most streams of other gateways that are remembered.
LEARNED_LIMIT = 50_000
#: Size of the hash that stands for the id of a request, in bytes.
DIGEST_BYTES = 8


@attrs.frozen
class _Kept:
    """What began a stream, and since when that is known."""

    origin: core.StreamOrigin
    #: Monotonic seconds.
    since_s: float


class OriginMemory:
    """Origins of streams that began, or went on, lately.

    The software version of a stream never changes while it is kept; the engine
    of that version may be corrected.

    Example::

        memory.note(b"r1", core.StreamOrigin.of(endpoint), now_s)
        memory.find(b"r1", now_s)
    """

    def __init__(self, kept_s: collections.abc.Callable[[], float]) -> None:
        #: Returns for how long a stream may be resumed, in seconds.
        self._kept_s = kept_s
        #: Streams that this gateway began or continued, by digest, in the
        #: order of their times.
        self._own: dict[str, _Kept] = {}
        #: Those of them that are not stored.
        self._unwritten: dict[str, None] = {}
        #: Those of them that others were not told of, by service.
        self._unannounced: dict[str, dict[str, None]] = {}
        #: Streams that others told of or stored, in the order of their times.
        self._learned: dict[str, _Kept] = {}

    def note(
        self, request_id: bytes, origin: core.StreamOrigin, now_s: float
    ) -> None:
        """Record what began the stream of a request of this gateway."""
        self._expire(now_s)
        stream = digest(request_id)
        own = self._own.pop(stream, None)
        before = own or self._learned.pop(stream, None)
        kept = _Kept(_corrected(before, origin), now_s)
        self._own[stream] = kept
        if own is None or own.origin != kept.origin:
            self._unwritten[stream] = None
            service = self._unannounced.setdefault(origin.service, {})
            service[stream] = None

    def learn_stream(
        self, stream: str, origin: core.StreamOrigin, now_s: float
    ) -> None:
        """Record what began a stream of another gateway, by its digest."""
        self._expire(now_s)
        if stream in self._own:
            return
        before = self._learned.get(stream)
        since_s = before.since_s if before else now_s
        self._learned[stream] = _Kept(_corrected(before, origin), since_s)
        if len(self._learned) > LEARNED_LIMIT:
            del self._learned[next(iter(self._learned))]

    def find(
        self, request_id: bytes, now_s: float
    ) -> core.StreamOrigin | None:
        """Return what the stream of a request is bound to, if known."""
        return self.find_stream(digest(request_id), now_s)

    def find_stream(
        self, stream: str, now_s: float
    ) -> core.StreamOrigin | None:
        """Return what the stream of a digest is bound to, if known."""
        self._expire(now_s)
        found = self._own.get(stream) or self._learned.get(stream)
        return found.origin if found else None

    def unwritten(
        self, now_s: float, limit: int
    ) -> list[tuple[str, core.StreamOrigin]]:
        """Return streams of this gateway that are not stored.

        The newest come first: more of them are still under way.
        """
        self._expire(now_s)
        newest = itertools.islice(reversed(self._unwritten), limit)
        return [(stream, self._own[stream].origin) for stream in newest]

    def unannounced(
        self, service: str, now_s: float, limit: int
    ) -> list[tuple[str, core.StreamOrigin]]:
        """Return streams of a service that others were not told of.

        The newest come first. They count as told from now on.
        """
        self._expire(now_s)
        waiting = self._unannounced.get(service, {})
        count = min(limit, len(waiting))
        streams = [waiting.popitem()[0] for _ in range(count)]
        return [(stream, self._own[stream].origin) for stream in streams]

    def mark_written(self, streams: collections.abc.Iterable[str]) -> None:
        """Record that streams were stored."""
        for stream in streams:
            self._unwritten.pop(stream, None)

    def forget_writes(self) -> None:
        """Let all streams be stored again, as the store may have lost them."""
        self._unwritten = dict.fromkeys(self._own)

    def _expire(self, now_s: float) -> None:
        over_s = now_s - self._kept_s()
        for stream in _over(self._own, over_s):
            del self._own[stream]
            self._unwritten.pop(stream, None)
            for waiting in self._unannounced.values():
                waiting.pop(stream, None)
        for stream in _over(self._learned, over_s):
            del self._learned[stream]


def digest(request_id: bytes) -> str:
    """Return a short text that stands for the id of a request."""
    hashed = hashlib.blake2b(request_id, digest_size=DIGEST_BYTES)
    return hashed.hexdigest()


def _corrected(
    before: _Kept | None, origin: core.StreamOrigin
) -> core.StreamOrigin:
    """Return an origin unless its version differs from what was known."""
    if before is None:
        return origin
    if before.origin.software_version != origin.software_version:
        return before.origin
    return origin


def _over(kept: dict[str, _Kept], over_s: float) -> list[str]:
    """Return the streams that are known since a time or longer."""
    oldest = itertools.takewhile(
        lambda item: item[1].since_s <= over_s, kept.items()
    )
    return [stream for stream, _kept in oldest]
