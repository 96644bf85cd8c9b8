"""Tracks which prompt blocks are likely in each endpoint's cache."""

import attrs

#: Only every STRIDE-th block of a chain and the last one are stored.
STRIDE = 4
#: Cache events are ignored for blocks sent within this time, in seconds.
EVENT_LAG_S = 3.0


@attrs.frozen
class Match:
    """The prompt prefix that an endpoint likely has cached."""

    #: The endpoint.
    endpoint_id: str
    #: Length of the prefix, in blocks.
    blocks: int


class PrefixHistory:
    """Stores the blocks that were sent to each endpoint.

    Blocks sent by this process take precedence. Cache events, which arrive
    late and with gaps, add blocks sent by others and remove evicted ones. The
    number of blocks per endpoint is bounded; the least recent are removed.
    """

    def __init__(self, blocks_limit: int) -> None:
        self.blocks_limit = blocks_limit
        self._endpoints_by_block: dict[int, dict[str, float]] = {}
        self._blocks_by_endpoint: dict[str, dict[int, None]] = {}

    def matches(self, blocks: tuple[int, ...], limit: int) -> list[Match]:
        """Return the endpoints with the longest prefixes, longest first."""
        found: dict[str, int] = {}
        for position in range(len(blocks) - 1, -1, -1):
            endpoints = self._endpoints_by_block.get(blocks[position])
            if not endpoints:
                continue
            for endpoint_id in endpoints:
                found.setdefault(endpoint_id, position + 1)
            if len(found) >= limit:
                break
        return [Match(name, length) for name, length in found.items()]

    def sent(
        self, endpoint_id: str, blocks: tuple[int, ...], now_s: float
    ) -> None:
        """Record that a prompt was sent to an endpoint."""
        if not blocks:
            return
        endpoint_blocks = self._blocks_by_endpoint.setdefault(endpoint_id, {})
        for block in blocks[STRIDE - 1 :: STRIDE]:
            self._add(endpoint_id, endpoint_blocks, block, now_s)
        self._add(endpoint_id, endpoint_blocks, blocks[-1], now_s)
        while len(endpoint_blocks) > self.blocks_limit:
            self._remove(endpoint_id, next(iter(endpoint_blocks)))

    def stored(
        self, endpoint_id: str, blocks: tuple[int, ...], now_s: float
    ) -> None:
        """Add blocks that the endpoint reports as cached."""
        endpoint_blocks = self._blocks_by_endpoint.setdefault(endpoint_id, {})
        for block in blocks:
            if endpoint_id not in self._endpoints_by_block.get(block, {}):
                self._add(
                    endpoint_id, endpoint_blocks, block, now_s - EVENT_LAG_S
                )
        while len(endpoint_blocks) > self.blocks_limit:
            self._remove(endpoint_id, next(iter(endpoint_blocks)))

    def evicted(
        self, endpoint_id: str, blocks: tuple[int, ...], now_s: float
    ) -> None:
        """Remove blocks that the endpoint reports as evicted."""
        for block in blocks:
            sent_s = self._endpoints_by_block.get(block, {}).get(endpoint_id)
            if sent_s is not None and sent_s <= now_s - EVENT_LAG_S:
                self._remove(endpoint_id, block)

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove all blocks of an endpoint that has lost its cache."""
        for block in list(self._blocks_by_endpoint.get(endpoint_id, {})):
            self._remove(endpoint_id, block)
        self._blocks_by_endpoint.pop(endpoint_id, None)

    def _add(
        self,
        endpoint_id: str,
        endpoint_blocks: dict[int, None],
        block: int,
        now_s: float,
    ) -> None:
        endpoints = self._endpoints_by_block.get(block)
        if endpoints is None:
            endpoints = self._endpoints_by_block[block] = {}
        endpoints[endpoint_id] = now_s
        endpoint_blocks.pop(block, None)
        endpoint_blocks[block] = None

    def _remove(self, endpoint_id: str, block: int) -> None:
        self._blocks_by_endpoint[endpoint_id].pop(block, None)
        endpoints = self._endpoints_by_block.get(block)
        if endpoints is None:
            return
        endpoints.pop(endpoint_id, None)
        if not endpoints:
            del self._endpoints_by_block[block]
