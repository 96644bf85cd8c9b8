"""A token bucket with the time as an argument."""

import attrs


@attrs.define
class TokenBucket:
    """Allows ``rate_per_s`` on average and ``burst`` at once.

    Example::

        bucket = TokenBucket(rate_per_s=5.0, burst=10.0, now_s=now_s)
        wait_s = bucket.reserve(1.0, now_s)
        await asyncio.sleep(wait_s)
    """

    #: Tokens that come back each second.
    rate_per_s: float
    #: Most tokens that are held.
    burst: float
    #: Monotonic time of the last change.
    now_s: float
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the rate from now on."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s

    def reserve(self, tokens: float, now_s: float) -> float:
        """Take tokens, if need be ahead of time.

        Returns the wait in seconds before they may be used, 0 for none.
        """
        self._refill(now_s)
        self._tokens -= tokens
        return max(0.0, -self._tokens / self.rate_per_s)

    def _refill(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.now_s)
        self._tokens = min(
            self.burst, self._tokens + passed_s * self.rate_per_s
        )
        self.now_s = max(self.now_s, now_s)
