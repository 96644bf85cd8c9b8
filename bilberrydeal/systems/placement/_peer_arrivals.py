"""Rates at which gateways send prompts to the engines of a service."""

import math

import attrs

#: Weight of one interval in the average rate of a gateway.
RATE_WEIGHT = 0.5
#: Time over which this gateway's own sends are averaged, in seconds.
OWN_TIME_S = 0.4
#: Shortest interval between two reports that a rate is computed over, in
#: seconds.
MIN_INTERVAL_S = 0.005


@attrs.define
class _Sender:
    """Reports of one gateway."""

    at_s: float
    #: Time between its reports, in seconds.
    interval_s: float = 0.0
    #: Tokens that it sends, a second.
    tokens_per_s: float = 0.0

    def add(self, tokens: float, now_s: float) -> None:
        """Add a report."""
        interval_s = max(now_s - self.at_s, MIN_INTERVAL_S)
        rate = tokens / interval_s
        if self.interval_s:
            rate = self.tokens_per_s + RATE_WEIGHT * (rate - self.tokens_per_s)
        self.tokens_per_s = rate
        self.interval_s = interval_s
        self.at_s = now_s


@attrs.define
class _DecayingRate:
    """Rate of tokens in which old ones count less."""

    tokens_per_s: float = 0.0
    at_s: float = 0.0

    def add(self, tokens: float, now_s: float) -> None:
        """Add tokens."""
        self.tokens_per_s = self.at(now_s) + tokens / OWN_TIME_S
        self.at_s = now_s

    def at(self, now_s: float) -> float:
        """Return the present rate."""
        return self.tokens_per_s * math.exp((self.at_s - now_s) / OWN_TIME_S)


class PeerArrivals:
    """Rates at which gateways send prompt tokens to a service.

    Those of other gateways follow from their reports; what share of them is
    not deferred, from what this gateway sends, for all see the same loads.

    Example::

        arrivals.record("gateway-2", 17_000.0, now_s)
        arrivals.urgent_tokens_per_s(now_s)
    """

    def __init__(self) -> None:
        #: Number of engines that only prefill, 0 if it is not known.
        self.prefill_engines = 0
        self._senders: dict[str, _Sender] = {}
        #: What this gateway sends; others see the same loads.
        self._urgent = _DecayingRate()
        self._deferred = _DecayingRate()

    def record(self, gateway: str, tokens: float, now_s: float) -> None:
        """Add the tokens that a gateway sent since its previous report."""
        sender = self._senders.get(gateway)
        if sender is None:
            self._senders[gateway] = _Sender(now_s)
        else:
            sender.add(tokens, now_s)

    def record_own(self, tokens: float, deferred: bool, now_s: float) -> None:
        """Add a send of this gateway."""
        rate = self._deferred if deferred else self._urgent
        rate.add(tokens, now_s)

    def urgent_share(self, now_s: float) -> float:
        """Return the share of tokens that are not deferred."""
        urgent = self._urgent.at(now_s)
        total = urgent + self._deferred.at(now_s)
        return urgent / total if total else 1.0

    def urgent_tokens_per_s(self, now_s: float) -> float:
        """Return the rate of tokens of all gateways that are not deferred."""
        peers = sum(each.tokens_per_s for each in self._senders.values())
        return peers * self.urgent_share(now_s) + self._urgent.at(now_s)

    def expire(self, oldest_s: float) -> None:
        """Forget gateways whose last report is older than that time."""
        for gateway, sender in list(self._senders.items()):
            if sender.at_s < oldest_s:
                del self._senders[gateway]
