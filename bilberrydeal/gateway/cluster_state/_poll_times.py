"""How long polls of a table may take, from the time that changes have."""

import attrs

#: Shares of the time within which a change has to be applied. A poll whose
#: connection is silent ends after its wait and margin; the rest is for the
#: poll that follows and the transfer of the rows.
CONFIGURATION_WAIT_SHARE = 0.4
ENDPOINTS_WAIT_SHARE = 0.15
ENDPOINTS_PAUSE_SHARE = 0.45
MARGIN_SHARE = 0.2
#: Share without any response after which the store counts as silent: the wait
#: and the margin of a poll of the configuration.
SILENCE_SHARE = CONFIGURATION_WAIT_SHARE + MARGIN_SHARE
#: Longest wait of a poll of the endpoints, in seconds.
ENDPOINTS_WAIT_S = 1.0
#: Longest pause between polls of the endpoints, whose rows change constantly,
#: in seconds.
ENDPOINTS_PAUSE_S = 0.85
#: Share for the pause between reads that have no response.
BACKOFF_SHARE = 0.2
#: Most reads that are under way beside one whose response is late.
READS_BESIDE = 4
#: Longest time that the head of a response may take beyond the wait, for a
#: store that is slow, in seconds. Other reads are sent beside such a one.
SLOW_MARGIN_S = 2.7


@attrs.frozen
class PollTimes:
    """Times of the polls of one table.

    Example::

        times = configuration_times(apply_limit_s=3.0)
        times.wait_s + times.margin_s  # ends a poll over a silent connection
    """

    #: Longest time that a poll waits for a change, in seconds.
    wait_s: float
    #: Time that the head of a response may take beyond that until it is late,
    #: in seconds.
    margin_s: float
    #: Pause before the next poll, in seconds.
    pause_s: float = 0.0
    #: Longest pause between reads that have no response, in seconds.
    backoff_limit_s: float = 0.4

    @property
    def slow_margin_s(self) -> float:
        """Return for how long a late response is waited for."""
        return max(SLOW_MARGIN_S, self.margin_s)

    @property
    def repeated_limit_s(self) -> float:
        """Return for how long a read beside a late one is waited for.

        So many others follow it meanwhile that they take the place of it.
        """
        return READS_BESIDE * self.margin_s

    def repeated_after_s(self, beside: int) -> float:
        """Return the time to the next read after some without a response.

        A store that answers none of them is asked less often.
        """
        if beside < READS_BESIDE:
            return self.margin_s
        return self.margin_s + self.backoff_limit_s

    @property
    def confirmed_within_s(self) -> float:
        """Return the longest time between two responses.

        That holds while the store is reached, and allows for a poll without a
        response.
        """
        return 2 * (self.wait_s + self.margin_s) + self.pause_s

    def wait_after_s(self, arrival_s: float) -> float:
        """Return the wait of a poll that follows a response.

        What took long to arrive is as old when it has, so that the next poll
        has to confirm it the sooner.
        """
        return max(self.wait_s - arrival_s, 0.0)

    def is_slow(self, delay_s: float) -> bool:
        """Return whether reads can't wait for the ones before them.

        What is known would be older than that by the time for which a poll
        waits for a change, which is not left for it.
        """
        return delay_s > self.wait_s

    def due_after_s(self, wait_s: float, delay_s: float) -> float:
        """Return after which time the response to a poll is late.

        The next one may take as long as the last one, out of the time that
        would have been waited for a change, unless the store is slow.
        """
        if self.is_slow(delay_s):
            return wait_s + self.margin_s
        return wait_s + self.margin_s + delay_s


def silence_s(apply_limit_s: float) -> float:
    """Return after which time without a response the store is silent."""
    return SILENCE_SHARE * apply_limit_s


def configuration_times(apply_limit_s: float) -> PollTimes:
    """Return the times of polls of the configuration."""
    return PollTimes(
        wait_s=CONFIGURATION_WAIT_SHARE * apply_limit_s,
        margin_s=MARGIN_SHARE * apply_limit_s,
        backoff_limit_s=BACKOFF_SHARE * apply_limit_s,
    )


def endpoints_times(apply_limit_s: float) -> PollTimes:
    """Return the times of polls of the endpoints."""
    return PollTimes(
        wait_s=min(ENDPOINTS_WAIT_SHARE * apply_limit_s, ENDPOINTS_WAIT_S),
        margin_s=MARGIN_SHARE * apply_limit_s,
        backoff_limit_s=BACKOFF_SHARE * apply_limit_s,
        pause_s=min(ENDPOINTS_PAUSE_SHARE * apply_limit_s, ENDPOINTS_PAUSE_S),
    )
