"""How much of its limits an organisation is offered at this entry."""

import math

import attrs

#: Time after which an old sample counts for 1/e, in seconds.
MEMORY_S = 3.0


@attrs.define
class OfferedRate:
    """Requests and tokens offered a second, refused ones among them."""

    #: Requests a second.
    requests_per_s: float = 0.0
    #: Tokens a second.
    tokens_per_s: float = 0.0
    #: When the rates were true.
    at_s: float = -math.inf
    #: When the last request came.
    last_s: float = -math.inf

    def offered(self, tokens: float, now_s: float) -> None:
        """Note one request."""
        self.fade(now_s)
        self.last_s = now_s
        self.requests_per_s += 1.0 / MEMORY_S
        self.tokens_per_s += tokens / MEMORY_S

    def fade(self, now_s: float) -> None:
        """Let old requests count less."""
        if now_s <= self.at_s:
            return
        fade = math.exp((self.at_s - now_s) / MEMORY_S)
        self.requests_per_s *= fade
        self.tokens_per_s *= fade
        self.at_s = now_s
