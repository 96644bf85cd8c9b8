"""The bandwidth of a host's network link."""

import asyncio

#: Bits in a megabit, over those of a byte.
BYTES_PER_MEGABIT = 125_000
#: Bytes that pass at once, so that connections take turns.
PIECE_BYTES = 8_192


class NetworkLink:
    """Bandwidth of one direction, which all connections of a host share.

    Pieces pass in the order in which they were asked for.

    Example::

        link = NetworkLink(5.0)
        await link.carry(8_192)
    """

    def __init__(self, rate_mbps: float) -> None:
        self._bytes_per_s = rate_mbps * BYTES_PER_MEGABIT
        self._free_s = 0.0

    async def carry(self, size_bytes: int) -> None:
        """Wait until so many bytes have passed the link."""
        now_s = asyncio.get_running_loop().time()
        self._free_s = (
            max(self._free_s, now_s) + size_bytes / self._bytes_per_s
        )
        await asyncio.sleep(self._free_s - now_s)
