"""Measures the offered load of each service for the planners."""

import attrs

from ... import membership

#: Weight of a new answer in the moving averages of shares.
SMOOTHING_FACTOR = 0.02


@attrs.define
class _ServiceCounts:
    """Counts since the last report, and moving averages, of one service."""

    requests: int = 0
    prompt_tokens: float = 0.0
    max_output_tokens: float = 0.0
    #: Average share of prompt tokens that were not cached.
    computed_share: float = 1.0
    #: Average share of the maximum output tokens that was generated.
    output_share: float = 1.0


class DemandMeter:
    """Counts all offered requests, whether served or not.

    The cost of a request is not known when it arrives, so the offered tokens
    are scaled by the shares observed in answers.
    """

    def __init__(self, now_s: float) -> None:
        self._counts: dict[str, _ServiceCounts] = {}
        self._last_report_s = now_s

    def offered(
        self, service: str, prompt_tokens: int, max_output_tokens: int
    ) -> None:
        """Count a received request."""
        counts = self._counts.setdefault(service, _ServiceCounts())
        counts.requests += 1
        counts.prompt_tokens += prompt_tokens
        counts.max_output_tokens += max_output_tokens

    def answered(
        self,
        service: str,
        computed_tokens: int,
        cached_tokens: int,
        output_tokens: int,
        max_output_tokens: int,
    ) -> None:
        """Update the averages with the tokens of an answer."""
        counts = self._counts.setdefault(service, _ServiceCounts())
        prompt_tokens = computed_tokens + cached_tokens
        if prompt_tokens:
            counts.computed_share += SMOOTHING_FACTOR * (
                computed_tokens / prompt_tokens - counts.computed_share
            )
        if max_output_tokens:
            counts.output_share += SMOOTHING_FACTOR * (
                output_tokens / max_output_tokens - counts.output_share
            )

    def output_share(self, service: str) -> float:
        """Return the average share of the output limit that is generated."""
        counts = self._counts.get(service)
        return counts.output_share if counts else 1.0

    def report(self, now_s: float) -> tuple[membership.ServiceDemand, ...]:
        """Return the demand since the last report and reset the counts."""
        length_s = max(now_s - self._last_report_s, 1e-3)
        self._last_report_s = now_s
        demands = []
        for service, counts in self._counts.items():
            demands.append(
                membership.ServiceDemand(
                    service=service,
                    prompt_tokens_per_s=round(
                        counts.prompt_tokens
                        * counts.computed_share
                        / length_s,
                        3,
                    ),
                    output_tokens_per_s=round(
                        counts.max_output_tokens
                        * counts.output_share
                        / length_s,
                        3,
                    ),
                    requests_per_s=round(counts.requests / length_s, 3),
                )
            )
            counts.requests = 0
            counts.prompt_tokens = 0.0
            counts.max_output_tokens = 0.0
        return tuple(demands)
