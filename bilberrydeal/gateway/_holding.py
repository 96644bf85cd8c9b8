"""Requests that wait at this gateway until an engine has time for them."""

import asyncio
import bisect
import collections
import collections.abc
import contextlib
import itertools
import math
import random

import attrs

#: Time until a request that is not the first is considered again, in seconds.
NOT_FIRST_CHECK_S = 0.03
#: Largest share by which a wait varies, so that gateways do not all send to
#: an engine at the moment when it becomes idle.
JITTER = 0.3


#: Weight of the latest hold in the mean time that requests are held.
HOLD_WEIGHT = 0.2
#: Time after which a mean without new holds has lost most of its meaning, in
#: seconds.
HOLD_DECAY_S = 1.0


@attrs.define
class _HoldTime:
    """Mean time for which requests of a service were held lately."""

    mean_s: float = 0.0
    updated_s: float = 0.0

    def at(self, now_s: float) -> float:
        """Return the mean, which fades without new holds."""
        age_s = now_s - self.updated_s
        return self.mean_s * math.exp(-age_s / HOLD_DECAY_S)

    def add(self, held_s: float, now_s: float) -> None:
        """Add the time of a hold that has ended."""
        mean_s = self.at(now_s)
        self.mean_s = mean_s + (held_s - mean_s) * HOLD_WEIGHT
        self.updated_s = now_s


@attrs.frozen(order=True)
class Ticket:
    """Place of a held request in the order in which they are sent."""

    #: Priority of the request; 0 is the most urgent.
    rank: int
    #: Number of the request in the order of arrival.
    number: int
    #: Size of its prompt.
    tokens: int = attrs.field(order=False)


class HeldRequests:
    """Orders held requests of each service by rank, then by arrival.

    Example::

        with held.hold("llm", rank=1, tokens=900) as ticket:
            await held.wait(0.05)
            if held.is_first("llm", ticket): ...
    """

    def __init__(
        self, rng: random.Random, clock: collections.abc.Callable[[], float]
    ) -> None:
        self._rng = rng
        self._clock = clock
        self._hold_times: dict[str, _HoldTime] = collections.defaultdict(
            _HoldTime
        )
        self._numbers = itertools.count()
        self._by_service: dict[str, list[Ticket]] = collections.defaultdict(
            list
        )

    @contextlib.contextmanager
    def hold(
        self, service: str, rank: int, tokens: int
    ) -> collections.abc.Iterator[Ticket]:
        """Hold a request while the context lasts."""
        ticket = Ticket(rank, next(self._numbers), tokens)
        tickets = self._by_service[service]
        bisect.insort(tickets, ticket)
        began_s = self._clock()
        try:
            yield ticket
        finally:
            tickets.remove(ticket)
            now_s = self._clock()
            self._hold_times[service].add(now_s - began_s, now_s)

    def expected_s(self, service: str) -> float:
        """Return for how long a request that is held now may expect to be.

        Requests that were given up count with the time for which they waited.
        """
        return self._hold_times[service].at(self._clock())

    def is_first(self, service: str, ticket: Ticket) -> bool:
        """Return whether a held request is the next to be sent."""
        return self._by_service[service][0] == ticket

    def tokens_before(
        self, service: str, rank: int, ticket: Ticket | None = None
    ) -> int:
        """Return the prompt tokens that are sent before a request.

        Without a ticket the request is one that arrives now.
        """
        tickets = self._by_service[service]
        if ticket is not None:
            before = itertools.takewhile(lambda each: each < ticket, tickets)
        else:
            before = itertools.takewhile(
                lambda each: each.rank <= rank, tickets
            )
        return sum(each.tokens for each in before)

    async def wait(self, check_after_s: float) -> None:
        """Wait before a held request is placed again."""
        spread = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        await asyncio.sleep(check_after_s * spread)
