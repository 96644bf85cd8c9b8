"""Counts what callers got in one run."""

import collections

import attrs
from hdrh import histogram

from bilberrydeal.systems import queueing

from . import _experiments
from . import _loads

#: Longest time that a histogram holds, in microseconds.
LONGEST_US = 600_000_000
MICROSECONDS = 1_000_000


@attrs.define
class Account:
    """What one organisation offered and got."""

    #: Cost of what it asked for.
    offered: float = 0.0
    #: Cost of what was answered in time.
    served: float = 0.0


class Scores:
    """Takes the outcome of each request; the warm-up does not count."""

    def __init__(self, end_s: float, exact_outputs: bool) -> None:
        self.accounts: dict[int, Account] = collections.defaultdict(Account)
        self.counts: collections.Counter[str] = collections.Counter()
        self.in_time: collections.Counter[str] = collections.Counter()
        self._end_s = end_s
        self._exact_outputs = exact_outputs
        self._first = histogram.HdrHistogram(1, LONGEST_US, 3)
        self._between = histogram.HdrHistogram(1, LONGEST_US, 3)

    def offered(self, arrival: _loads.Arrival) -> None:
        """Note a request."""
        if self._counts(arrival):
            self.counts["offered"] += 1
            self.accounts[arrival.organisation].offered += _cost(arrival)

    def limited(self, arrival: _loads.Arrival) -> None:
        """Note a request past a limit."""
        self._count(arrival, "limited")

    def refused(self, arrival: _loads.Arrival) -> None:
        """Note a request refused as not run."""
        self._count(arrival, "refused")

    def failed(self, arrival: _loads.Arrival) -> None:
        """Note a request that may have run, without an answer."""
        self._count(arrival, "failed")

    def retried(self) -> None:
        """Note a retry."""
        self.counts["retried"] += 1

    def first_token(self, arrival: _loads.Arrival, now_s: float) -> None:
        """Note a first token."""
        if self._counts(arrival):
            wait_s = now_s - arrival.at_s
            self._first.record_value(max(1, int(wait_s * MICROSECONDS)))

    def between_tokens(self, gap_s: float, tokens: int) -> None:
        """Note the time between tokens."""
        self._between.record_value(max(1, int(gap_s * MICROSECONDS)), tokens)

    def ended(self, arrival: _loads.Arrival, now_s: float) -> None:
        """Note a whole answer."""
        if not self._counts(arrival):
            return
        if now_s <= arrival.at_s + arrival.kind.deadline_s:
            self.counts["in_time"] += 1
            self.in_time[arrival.kind.name] += 1
            self.accounts[arrival.organisation].served += _cost(arrival)
        else:
            self.counts["late"] += 1

    def expected_output(self, arrival: _loads.Arrival) -> int:
        """Return the output that an entry expects."""
        if self._exact_outputs:
            return arrival.output_tokens
        expected = arrival.kind.output_tokens * _loads.EXPECTED_FACTOR
        return int(expected)

    def figures(self) -> tuple[_experiments.Figure, ...]:
        """Return all figures of the run."""
        window_s = self._end_s - _loads.WARM_UP_S
        offered = max(1, self.counts["offered"])
        figure = _experiments.Figure
        first_us = self._first.get_value_at_percentile(95)
        between_us = self._between.get_value_at_percentile(95)
        return (
            figure("goodput_per_s", self.counts["in_time"] / window_s),
            figure("offered_per_s", offered / window_s),
            figure("in_time_share", self.counts["in_time"] / offered),
            figure("late_share", self.counts["late"] / offered),
            figure("refused_share", self.counts["refused"] / offered),
            figure("failed_share", self.counts["failed"] / offered),
            figure("retried_share", self.counts["retried"] / offered),
            figure("first_token_p95_s", first_us / MICROSECONDS),
            figure("between_tokens_p95_s", between_us / MICROSECONDS),
            *self._kinds(),
            *self._accounts(),
        )

    def _kinds(self) -> list[_experiments.Figure]:
        return [
            _experiments.Figure(f"in_time_{kind}", float(count))
            for kind, count in self.in_time.items()
        ]

    def _accounts(self) -> list[_experiments.Figure]:
        found = []
        for number, account in self.accounts.items():
            found += [
                _experiments.Figure(f"offered_cost_{number}", account.offered),
                _experiments.Figure(f"served_cost_{number}", account.served),
            ]
        return found

    def _count(self, arrival: _loads.Arrival, name: str) -> None:
        if self._counts(arrival):
            self.counts[name] += 1

    def _counts(self, arrival: _loads.Arrival) -> bool:
        last_s = self._end_s
        return _loads.WARM_UP_S <= arrival.at_s < last_s


def _cost(arrival: _loads.Arrival) -> float:
    return queueing.cost(arrival.prompt_tokens, arrival.output_tokens)
