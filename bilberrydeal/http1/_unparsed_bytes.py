"""Received bytes of one connection that wait to be parsed."""


class UnparsedBytes:
    """Bytes that are parsed piece by piece.

    Their memory is held until the last of them is parsed.

    Example::

        unparsed.append(data)
        unparsed.skip(parse(unparsed.data, unparsed.position))
    """

    def __init__(self) -> None:
        #: All that is held.
        self.data = b""
        #: Position of the first byte that is not parsed yet.
        self.position = 0

    def __len__(self) -> int:
        """Return how many bytes are held, parsed ones among them."""
        return len(self.data)

    def append(self, data: bytes) -> None:
        """Add bytes that were received."""
        self.data += data

    def skip(self, size: int) -> None:
        """Go on behind the bytes that were parsed."""
        self.position += size
        if self.position >= len(self.data):
            self.clear()

    def clear(self) -> None:
        """Drop all bytes."""
        self.data = b""
        self.position = 0
