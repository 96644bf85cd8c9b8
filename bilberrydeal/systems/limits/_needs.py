"""How much of its limits an organisation is offered at this entry."""

import math

import attrs

#: Time after which an old sample counts for 1/e, in seconds.
MEMORY_S = 5.0


@attrs.define
class OfferedRate:
    """Requests and tokens offered a second, refused ones among them."""

    #: Requests a second.
    requests_per_s: float = 0.0
    #: Tokens a second.
    tokens_per_s: float = 0.0
    #: Requests a second that were admitted.
    admitted_per_s: float = 0.0
    #: Admitted requests that have not ended, on average.
    running: float = 0.0
    #: When the rates were true.
    at_s: float = -math.inf
    #: When the last request came.
    last_s: float = -math.inf

    def offered(self, tokens: float, running: int, now_s: float) -> None:
        """Note one request."""
        self.fade(running, now_s)
        self.last_s = now_s
        self.requests_per_s += 1.0 / MEMORY_S
        self.tokens_per_s += tokens / MEMORY_S

    def admitted(self) -> None:
        """Note that the request was admitted."""
        self.admitted_per_s += 1.0 / MEMORY_S

    def fade(self, running: int, now_s: float) -> None:
        """Let old requests count less; ``running`` held since then."""
        if now_s <= self.at_s:
            return
        fade = math.exp((self.at_s - now_s) / MEMORY_S)
        self.requests_per_s *= fade
        self.tokens_per_s *= fade
        self.admitted_per_s *= fade
        self.running = fade * self.running + (1.0 - fade) * running
        self.at_s = now_s

    @property
    def concurrency(self) -> float:
        """Return the requests at once if none had been refused.

        That is the rate offered times how long a request runs.
        """
        if self.admitted_per_s <= 0.0:
            return self.requests_per_s
        run_s = self.running / self.admitted_per_s
        return self.requests_per_s * run_s

    @property
    def tokens_each(self) -> float:
        """Return the tokens of a request, on average."""
        if self.requests_per_s <= 0.0:
            return 0.0
        return self.tokens_per_s / self.requests_per_s
