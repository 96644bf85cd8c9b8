"""Which prompt blocks are likely in which endpoint's cache."""

import attrs

#: Every block of this number in a chain is remembered, and the last one.
STRIDE = 4
#: Events are ignored for blocks that were sent so recently, in seconds.
EVENT_LAG_S = 3.0


@attrs.frozen
class Match:
    """How much of a prompt an endpoint likely has."""

    #: The endpoint.
    endpoint_id: str
    #: Blocks from the start of the prompt.
    blocks: int


class PrefixHistory:
    """Remembers the blocks that were sent to each endpoint.

    What this process sent counts first; cache events, which come late and
    with gaps, add what others sent and remove what was evicted. Each
    endpoint's blocks are bounded and the least recent are dropped.
    """

    def __init__(self, blocks_limit: int) -> None:
        self.blocks_limit = blocks_limit
        self._holders: dict[int, dict[str, float]] = {}
        self._by_endpoint: dict[str, dict[int, None]] = {}

    def matches(self, blocks: tuple[int, ...], limit: int) -> list[Match]:
        """Return the endpoints with the longest prefixes, longest first."""
        found: dict[str, int] = {}
        for position in range(len(blocks) - 1, -1, -1):
            holders = self._holders.get(blocks[position])
            if not holders:
                continue
            for endpoint_id in holders:
                found.setdefault(endpoint_id, position + 1)
            if len(found) >= limit:
                break
        return [Match(name, length) for name, length in found.items()]

    def sent(
        self, endpoint_id: str, blocks: tuple[int, ...], now_s: float
    ) -> None:
        """Note that a prompt was sent to an endpoint."""
        if not blocks:
            return
        kept = self._by_endpoint.setdefault(endpoint_id, {})
        for block in blocks[STRIDE - 1 :: STRIDE]:
            self._remember(endpoint_id, kept, block, now_s)
        self._remember(endpoint_id, kept, blocks[-1], now_s)
        while len(kept) > self.blocks_limit:
            self._forget(endpoint_id, next(iter(kept)))

    def stored(
        self, endpoint_id: str, blocks: tuple[int, ...], now_s: float
    ) -> None:
        """Take the endpoint's word for blocks that it has."""
        kept = self._by_endpoint.setdefault(endpoint_id, {})
        for block in blocks:
            if endpoint_id not in self._holders.get(block, {}):
                self._remember(endpoint_id, kept, block, now_s - EVENT_LAG_S)
        while len(kept) > self.blocks_limit:
            self._forget(endpoint_id, next(iter(kept)))

    def evicted(
        self, endpoint_id: str, blocks: tuple[int, ...], now_s: float
    ) -> None:
        """Take the endpoint's word for blocks that it has no more."""
        for block in blocks:
            sent_s = self._holders.get(block, {}).get(endpoint_id)
            if sent_s is not None and sent_s <= now_s - EVENT_LAG_S:
                self._forget(endpoint_id, block)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Drop an endpoint that has lost its cache."""
        for block in list(self._by_endpoint.get(endpoint_id, {})):
            self._forget(endpoint_id, block)
        self._by_endpoint.pop(endpoint_id, None)

    def _remember(
        self,
        endpoint_id: str,
        kept: dict[int, None],
        block: int,
        now_s: float,
    ) -> None:
        holders = self._holders.get(block)
        if holders is None:
            holders = self._holders[block] = {}
        holders[endpoint_id] = now_s
        kept.pop(block, None)
        kept[block] = None

    def _forget(self, endpoint_id: str, block: int) -> None:
        self._by_endpoint[endpoint_id].pop(block, None)
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.pop(endpoint_id, None)
        if not holders:
            del self._holders[block]
