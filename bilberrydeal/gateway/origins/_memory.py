"""Remembers which engines began recent streams."""

import hashlib

import attrs

from .. import core

#: Time that one slot covers, in seconds. A slot is stored as one row.
SLOT_S = 2.0
#: Slots that are kept. A stream that began earlier can't be taken up while
#: several software versions serve.
SLOTS = 16
#: Time for which origins are kept, in seconds.
KEPT_S = SLOT_S * SLOTS
#: Size of the hash that stands for the id of a request, in bytes.
DIGEST_BYTES = 8


@attrs.define
class Slot:
    """Streams that began within one span of time."""

    #: Number of the span, counted from the start of the clock.
    number: int
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

    def __init__(self) -> None:
        self._slots: dict[int, Slot] = {}
        #: Origins that other gateways stored, by digest.
        self._learned: dict[str, core.StreamOrigin] = {}

    def note(
        self, request_id: bytes, origin: core.StreamOrigin, now_s: float
    ) -> None:
        """Record what began the stream of a request."""
        self._expire(now_s)
        number = int(now_s // SLOT_S)
        slot = self._slots.setdefault(number, Slot(number))
        slot.origins[digest(request_id)] = origin
        slot.unwritten = True

    def learn(self, origins: dict[str, core.StreamOrigin]) -> None:
        """Replace what is known of the streams of other gateways."""
        self._learned = origins

    def find(
        self, request_id: bytes, now_s: float
    ) -> core.StreamOrigin | None:
        """Return what began the stream of a request, if it is known."""
        self._expire(now_s)
        key = digest(request_id)
        for slot in self._slots.values():
            if key in slot.origins:
                return slot.origins[key]
        return self._learned.get(key)

    def unwritten(self, now_s: float) -> list[Slot]:
        """Return the slots that hold origins which were not stored."""
        self._expire(now_s)
        return [slot for slot in self._slots.values() if slot.unwritten]

    def forget_writes(self) -> None:
        """Let all slots be stored again, as the store may have lost them."""
        for slot in self._slots.values():
            slot.unwritten = True

    def _expire(self, now_s: float) -> None:
        oldest = int(now_s // SLOT_S) - SLOTS + 1
        for number in [each for each in self._slots if each < oldest]:
            del self._slots[number]


def digest(request_id: bytes) -> str:
    """Return a short text that stands for the id of a request."""
    hashed = hashlib.blake2b(request_id, digest_size=DIGEST_BYTES)
    return hashed.hexdigest()
