"""Collects the header fields of a message in little memory."""

import collections.abc
import typing

from . import _headers

#: Fields kept as pairs; any further are kept as one block of bytes. Ordinary
#: messages have fewer.
PAIRS_LIMIT = 64
#: Memory of one pair beside its characters, in bytes.
PAIR_BYTES = 160


class PackedFields(_headers.IndexedFields):
    """Fields of which all but the first are kept as one block of bytes.

    Pairs of short fields take up to fifty times their size on the wire.
    """

    def __init__(
        self, pairs: tuple[_headers.Header, ...], block: bytes, count: int
    ) -> None:
        self._pairs = pairs
        #: Lines ``name:value``, each after a line feed, which no field has.
        self._block = block
        self._count = count

    def __len__(self) -> int:
        """Return the number of fields."""
        return self._count

    def __iter__(self) -> collections.abc.Iterator[_headers.Header]:
        """Yield all fields in the order received."""
        yield from self._pairs
        start = 1
        while start <= len(self._block):
            end = self._block.find(b"\n", start)
            end = len(self._block) if end < 0 else end
            name, _colon, value = self._block[start:end].partition(b":")
            yield (name, value)
            start = end + 1

    @typing.overload
    def __getitem__(self, index: int) -> _headers.Header: ...

    @typing.overload
    def __getitem__(
        self, index: slice
    ) -> collections.abc.Sequence[_headers.Header]: ...

    def __getitem__(
        self, index: int | slice
    ) -> _headers.Header | collections.abc.Sequence[_headers.Header]:
        """Return fields by their position; meant for few calls."""
        return tuple(self)[index]

    def first_value(self, name: bytes) -> bytes | None:
        """Return the value of the first field of that name."""
        value = _headers.first_value(self._pairs, name)
        if value is not None:
            return value
        line = b"\n%b:" % name
        at = self._block.find(line)
        if at < 0:
            return None
        start = at + len(line)
        end = self._block.find(b"\n", start)
        return self._block[start : None if end < 0 else end]

    def count_name(self, name: bytes) -> int:
        """Return how many fields have that name."""
        return _headers.count_name(self._pairs, name) + self._block.count(
            b"\n%b:" % name
        )


class FieldCollector:
    """Collects the fields of one head."""

    __slots__ = ("_block", "packed", "pairs")

    def __init__(self) -> None:
        #: The first fields and, until they are packed, the last, as pairs.
        self.pairs: list[_headers.Header] = []
        #: Number of fields in the block.
        self.packed = 0
        self._block = bytearray()

    @property
    def held_bytes(self) -> int:
        """Return the memory of the fields beside their characters."""
        return len(self.pairs) * PAIR_BYTES + len(self._block)

    def size_bytes(self) -> int:
        """Return the size of the fields on the wire, at least, in bytes."""
        # A colon and a line end, as a space before the value is optional.
        size = sum(len(name) + len(value) + 3 for name, value in self.pairs)
        return size + len(self._block) + self.packed

    def pack(self) -> None:
        """Move all but the first pairs to the block."""
        moved = self.pairs[PAIRS_LIMIT:]
        del self.pairs[PAIRS_LIMIT:]
        self.packed += len(moved)
        for name, value in moved:
            self._block += b"\n%b:%b" % (name, value)

    def fields(self) -> _headers.Headers:
        """Return all fields, and keep no copy of the block."""
        if not self.packed:
            return tuple(self.pairs)
        self.pack()
        block = bytes(self._block)
        self._block = bytearray()
        count = len(self.pairs) + self.packed
        return PackedFields(tuple(self.pairs), block, count)
