"""Counts the outcomes of the requests of one run."""

import collections

import attrs
from hdrh import histogram

from bilberrydeal.systems import queueing

from . import _experiments
from . import _loads

#: Largest value of the histograms, in microseconds.
MAX_RECORDED_US = 600_000_000
MICROSECONDS_PER_S = 1_000_000


@attrs.define
class OrganisationCosts:
    """Costs of the requests of one organisation."""

    #: Cost of all its requests.
    offered: float = 0.0
    #: Cost of the requests answered in time.
    served: float = 0.0


class OutcomeRecorder:
    """Records the outcome of each request that arrives after the warm-up."""

    def __init__(self, end_s: float, exact_outputs: bool) -> None:
        self.organisation_costs: dict[int, OrganisationCosts] = (
            collections.defaultdict(OrganisationCosts)
        )
        self.counts: collections.Counter[str] = collections.Counter()
        self.in_time: collections.Counter[str] = collections.Counter()
        self._end_s = end_s
        self._exact_outputs = exact_outputs
        self._first_token_us = histogram.HdrHistogram(1, MAX_RECORDED_US, 3)
        self._between_tokens_us = histogram.HdrHistogram(1, MAX_RECORDED_US, 3)

    def record_offered(self, arrival: _loads.Arrival) -> None:
        """Record the arrival of a request."""
        if self._is_counted(arrival):
            self.counts["offered"] += 1
            self.organisation_costs[arrival.organisation].offered += _cost(
                arrival
            )

    def record_limited(self, arrival: _loads.Arrival) -> None:
        """Record a request rejected by a limit."""
        self._increment(arrival, "limited")

    def record_refused(self, arrival: _loads.Arrival) -> None:
        """Record a request refused before it was run."""
        self._increment(arrival, "refused")

    def record_failed(self, arrival: _loads.Arrival) -> None:
        """Record a request that may have run but was not answered."""
        self._increment(arrival, "failed")

    def record_retried(self) -> None:
        """Record a retry."""
        self.counts["retried"] += 1

    def record_first_token(
        self, arrival: _loads.Arrival, now_s: float
    ) -> None:
        """Record the time to the first token."""
        if self._is_counted(arrival):
            wait_s = now_s - arrival.at_s
            self._first_token_us.record_value(
                max(1, int(wait_s * MICROSECONDS_PER_S))
            )

    def record_token_gap(self, gap_s: float, tokens: int) -> None:
        """Record the time between tokens."""
        self._between_tokens_us.record_value(
            max(1, int(gap_s * MICROSECONDS_PER_S)), tokens
        )

    def record_answer(self, arrival: _loads.Arrival, now_s: float) -> None:
        """Record a complete answer."""
        if not self._is_counted(arrival):
            return
        if now_s <= arrival.at_s + arrival.kind.deadline_s:
            self.counts["in_time"] += 1
            self.in_time[arrival.kind.name] += 1
            self.organisation_costs[arrival.organisation].served += _cost(
                arrival
            )
        else:
            self.counts["late"] += 1

    def expected_output(self, arrival: _loads.Arrival) -> int:
        """Return the output length that an entry expects."""
        if self._exact_outputs:
            return arrival.output_tokens
        expected = arrival.kind.output_tokens * _loads.EXPECTED_OUTPUT_FACTOR
        return int(expected)

    def figures(self) -> tuple[_experiments.Figure, ...]:
        """Return all figures of the run."""
        window_s = self._end_s - _loads.WARM_UP_S
        offered = max(1, self.counts["offered"])
        figure = _experiments.Figure
        first_us = self._first_token_us.get_value_at_percentile(95)
        between_us = self._between_tokens_us.get_value_at_percentile(95)
        return (
            figure("goodput_per_s", self.counts["in_time"] / window_s),
            figure("offered_per_s", offered / window_s),
            figure("in_time_share", self.counts["in_time"] / offered),
            figure("late_share", self.counts["late"] / offered),
            figure("refused_share", self.counts["refused"] / offered),
            figure("failed_share", self.counts["failed"] / offered),
            figure("retried_share", self.counts["retried"] / offered),
            figure("first_token_p95_s", first_us / MICROSECONDS_PER_S),
            figure("between_tokens_p95_s", between_us / MICROSECONDS_PER_S),
            *self._kind_figures(),
            *self._cost_figures(),
        )

    def _kind_figures(self) -> list[_experiments.Figure]:
        return [
            _experiments.Figure(f"in_time_{kind}", float(count))
            for kind, count in self.in_time.items()
        ]

    def _cost_figures(self) -> list[_experiments.Figure]:
        figures = []
        for number, costs in self.organisation_costs.items():
            figures += [
                _experiments.Figure(f"offered_cost_{number}", costs.offered),
                _experiments.Figure(f"served_cost_{number}", costs.served),
            ]
        return figures

    def _increment(self, arrival: _loads.Arrival, name: str) -> None:
        if self._is_counted(arrival):
            self.counts[name] += 1

    def _is_counted(self, arrival: _loads.Arrival) -> bool:
        last_s = self._end_s
        return _loads.WARM_UP_S <= arrival.at_s < last_s


def _cost(arrival: _loads.Arrival) -> float:
    return queueing.cost(arrival.prompt_tokens, arrival.output_tokens)
