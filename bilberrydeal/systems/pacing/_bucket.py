"""A token bucket that receives the time as an argument."""

import attrs


@attrs.define
class TokenBucket:
    """Permits ``rate_per_s`` on average with bursts of up to ``burst``.

    Example::

        bucket = TokenBucket(rate_per_s=5.0, burst=10.0, now_s=now_s)
        wait_s = bucket.reserve(1.0, now_s)
        await asyncio.sleep(wait_s)
    """

    #: Tokens added per second.
    rate_per_s: float
    #: Maximum number of tokens in the bucket.
    burst: float
    #: Monotonic time of the last refill.
    now_s: float
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the rate from now on."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s

    def reserve(self, tokens: float, now_s: float) -> float:
        """Reserve tokens, in advance if the bucket is empty.

        Returns the delay in seconds before they may be used; 0 for no delay.
        """
        self._refill(now_s)
        self._tokens -= tokens
        return max(0.0, -self._tokens / self.rate_per_s)

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.now_s)
        self._tokens = min(
            self.burst, self._tokens + elapsed_s * self.rate_per_s
        )
        self.now_s = max(self.now_s, now_s)
