"""Measures what callers ask for, for the planners."""

import attrs

from ... import membership

#: Weight of one new answer in the running shares.
NEW_WEIGHT = 0.02


@attrs.define
class _Meter:
    """Counts of one service since the last report."""

    requests: int = 0
    prompt_tokens: float = 0.0
    longest_tokens: float = 0.0
    #: Share of prompt tokens that had to be computed.
    computed_share: float = 1.0
    #: Share of the tokens asked for at most that were generated.
    output_share: float = 1.0


class DemandMeter:
    """Counts all requests that were offered, served or not.

    What a request will cost is not known when it comes in, so the offered
    figures are corrected by the shares seen in answers.
    """

    def __init__(self, now_s: float) -> None:
        self._meters: dict[str, _Meter] = {}
        self._since_s = now_s

    def offered(
        self, service: str, prompt_tokens: int, longest_tokens: int
    ) -> None:
        """Note a request that came in."""
        meter = self._meters.setdefault(service, _Meter())
        meter.requests += 1
        meter.prompt_tokens += prompt_tokens
        meter.longest_tokens += longest_tokens

    def answered(
        self,
        service: str,
        computed_tokens: int,
        cached_tokens: int,
        output_tokens: int,
        longest_tokens: int,
    ) -> None:
        """Note what an answer took."""
        meter = self._meters.setdefault(service, _Meter())
        prompt_tokens = computed_tokens + cached_tokens
        if prompt_tokens:
            meter.computed_share += NEW_WEIGHT * (
                computed_tokens / prompt_tokens - meter.computed_share
            )
        if longest_tokens:
            meter.output_share += NEW_WEIGHT * (
                output_tokens / longest_tokens - meter.output_share
            )

    def output_share(self, service: str) -> float:
        """Return the share of tokens asked for that answers generate."""
        meter = self._meters.get(service)
        return meter.output_share if meter else 1.0

    def report(self, now_s: float) -> tuple[membership.ServiceDemand, ...]:
        """Return the demand since the last report, and begin anew."""
        length_s = max(now_s - self._since_s, 1e-3)
        self._since_s = now_s
        found = []
        for service, meter in self._meters.items():
            found.append(
                membership.ServiceDemand(
                    service=service,
                    prompt_tokens_per_s=round(
                        meter.prompt_tokens * meter.computed_share / length_s,
                        3,
                    ),
                    output_tokens_per_s=round(
                        meter.longest_tokens * meter.output_share / length_s,
                        3,
                    ),
                    requests_per_s=round(meter.requests / length_s, 3),
                )
            )
            meter.requests = 0
            meter.prompt_tokens = 0.0
            meter.longest_tokens = 0.0
        return tuple(found)
