"""Remembers which engines began recent streams."""

import collections
import collections.abc
import hashlib

import attrs

from .. import core

#: Parts of the time for which origins are kept; what began within one of them
#: is stored as one row.
SLOTS = 16
#: Most streams of a slot, so that it fits into a row.
SLOT_STREAMS_LIMIT = 2_000
#: Most streams of other gateways of which this one was told.
TOLD_LIMIT = 50_000
#: Size of the hash that stands for the id of a request, in bytes.
DIGEST_BYTES = 8


@attrs.frozen
class ToldOrigin:
    """What another gateway said that a stream is bound to."""

    origin: core.StreamOrigin
    #: When it said so first, monotonic seconds.
    told_s: float


@attrs.define
class Slot:
    """Streams that began within one span of time."""

    #: Number of the slot, counted from the start of the process.
    number: int
    #: When its first stream began, monotonic seconds.
    began_s: float
    #: What began them, by the digest of the request's id.
    origins: dict[str, core.StreamOrigin] = attrs.field(factory=dict)
    #: Whether it holds origins that were not stored.
    unwritten: bool = False


class OriginMemory:
    """Origins of the streams that this gateway began or continued.

    Example::

        memory.note(b"r1", core.StreamOrigin.of(endpoint), now_s)
        memory.find(b"r1", now_s)
    """

    def __init__(self, kept_s: collections.abc.Callable[[], float]) -> None:
        #: Returns for how long a stream may be resumed, in seconds.
        self._kept_s = kept_s
        #: The slots in the order of their numbers.
        self._slots: collections.deque[Slot] = collections.deque()
        self._count = 0
        #: Origins that other gateways stored, by digest.
        self._learned: dict[str, core.StreamOrigin] = {}
        #: Origins that other gateways announced, by digest, the oldest first.
        self._told: dict[str, ToldOrigin] = {}

    def note(
        self, request_id: bytes, origin: core.StreamOrigin, now_s: float
    ) -> None:
        """Record what began the stream of a request."""
        self._expire(now_s)
        slot = self._slots[-1] if self._slots else None
        if (
            slot is None
            or now_s - slot.began_s >= self._kept_s() / SLOTS
            or len(slot.origins) >= SLOT_STREAMS_LIMIT
        ):
            self._count += 1
            slot = Slot(self._count, now_s)
            self._slots.append(slot)
        key = digest(request_id)
        self._replace(key, origin)
        slot.origins[key] = origin
        slot.unwritten = True

    def learn(self, origins: dict[str, core.StreamOrigin]) -> None:
        """Replace what is known of the streams of other gateways."""
        self._learned = origins

    def learn_stream(
        self, stream: str, origin: core.StreamOrigin, now_s: float
    ) -> None:
        """Record what another gateway says that a stream is bound to.

        The stream's version never changes; the engine may be corrected.
        """
        self._expire(now_s)
        told = self._told.get(stream)
        if told is None:
            self._told[stream] = ToldOrigin(origin, now_s)
        elif told.origin.software_version == origin.software_version:
            self._told[stream] = ToldOrigin(origin, told.told_s)
        if len(self._told) > TOLD_LIMIT:
            del self._told[next(iter(self._told))]

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
        for slot in self._slots:
            if stream in slot.origins:
                return slot.origins[stream]
        told = self._told.get(stream)
        if told is not None:
            return told.origin
        return self._learned.get(stream)

    def unwritten(self, now_s: float) -> list[Slot]:
        """Return the slots that hold origins which were not stored."""
        self._expire(now_s)
        return [slot for slot in self._slots if slot.unwritten]

    def forget_writes(self) -> None:
        """Let all slots be stored again, as the store may have lost them."""
        for slot in self._slots:
            slot.unwritten = True

    def oldest(self) -> int:
        """Return the number of the oldest slot that is kept."""
        return self._slots[0].number if self._slots else self._count + 1

    def _replace(self, stream: str, origin: core.StreamOrigin) -> None:
        """Correct what older slots hold of a stream."""
        for slot in self._slots:
            if slot.origins.get(stream, origin) != origin:
                slot.origins[stream] = origin
                slot.unwritten = True

    def _expire(self, now_s: float) -> None:
        while self._told:
            stream, told = next(iter(self._told.items()))
            if now_s - told.told_s < self._kept_s():
                break
            del self._told[stream]
        # The last stream of a slot began while the next one did not exist.
        while len(self._slots) > 1 and (
            now_s - self._slots[1].began_s >= self._kept_s()
        ):
            self._slots.popleft()


def digest(request_id: bytes) -> str:
    """Return a short text that stands for the id of a request."""
    hashed = hashlib.blake2b(request_id, digest_size=DIGEST_BYTES)
    return hashed.hexdigest()
