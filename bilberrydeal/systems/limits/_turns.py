"""Divides a rate limit between processes without messages, by turns."""

import math

import attrs

from . import _account
from . import _bucket
from . import _home_selection

#: Requests beyond the rate that all processes together may send at once,
#: besides those of ``BURST_S``.
BURST_REQUESTS = 2.0
#: Least rate, in requests per second: without any request nobody would learn
#: that a limit has ended.
MIN_RATE_PER_S = 0.1
#: Requests that a process may send in a turn, and the shortest turn.
TURN_REQUESTS = 4.0
MIN_TURN_S = 4.0
#: Wait that is reported while the processes are not known, in seconds.
UNKNOWN_WAIT_S = 1.0


@attrs.define
class ProcessGroup:
    """The processes that share limits, and the clock that they agree on."""

    #: This process.
    own: str = ""
    #: All live processes in order, this one included; empty until known.
    names: tuple[str, ...] = ()
    #: The agreed clock minus this process's steady clock, in seconds.
    clock_offset_s: float = 0.0


@attrs.frozen
class _Division:
    """How a rate is divided."""

    #: Requests per second of each holder.
    rate_per_s: float
    #: Requests that a holder may send at once, at least one.
    burst: float
    #: Processes that hold a part of the rate at a time.
    holders: int
    #: Time for which they hold it, in seconds.
    turn_s: float


@attrs.define(eq=False)
class TurnShare:
    """This process's part of a rate limit that a group of processes shares.

    A part of less than a request is of no use, and one whole request for each
    process of a large group may be more than the limit allows. So only as
    many processes as the limit has room for hold a part at a time; rendezvous
    hashing names them anew for each turn. All processes know the limit, each
    other and the time, so no messages are needed. In any span of t seconds
    they send at most ``rate * (t + BURST_S) + BURST_REQUESTS`` requests.

    Example::

        share = TurnShare("endpoint-1", group)
        share.set_rate(5.4, now_s)
        if share.take(now_s):
            ...  # send a request
    """

    #: Names the limit, the same in all processes.
    name: str
    group: ProcessGroup
    #: The limit of all processes, in requests per second.
    rate_per_s: float = math.inf
    #: Requests that may be sent, while this process holds a part.
    _tokens: _bucket.Bucket = attrs.field(
        factory=lambda: _bucket.Bucket(0.0, -math.inf)
    )
    #: The newest turn in which this process was seen to hold a part.
    _held_turn: int | None = None
    #: The turn and group for which it is known who holds a part.
    _known: tuple[int, int, tuple[str, ...]] | None = None
    _holds: bool = False

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Set the limit; a new one begins without requests to send."""
        if math.isinf(self.rate_per_s):
            self._tokens = _bucket.Bucket(0.0, now_s)
            self._held_turn = None
        self.rate_per_s = rate_per_s

    def wait_s(self, now_s: float) -> float:
        """Return the time until a request may be sent, in seconds.

        It is 0 if one may be sent now. While others hold the parts it is not
        more than the time in which a holder gains a request.
        """
        if math.isinf(self.rate_per_s):
            return 0.0
        if not self.group.names:
            return UNKNOWN_WAIT_S
        division = _divide(self.rate_per_s, len(self.group.names))
        shared_s = now_s + self.group.clock_offset_s
        turn = int(shared_s // division.turn_s)
        if not self._holds_part(turn, division.holders):
            self._held_turn = None
            # A caller that is told to wait so long may meet a holder then.
            ends_s = (turn + 1) * division.turn_s
            return min(ends_s - shared_s, 1.0 / division.rate_per_s)
        self._refill(turn, division, now_s)
        missing = 1.0 - self._tokens.level
        return max(missing / division.rate_per_s, 0.0)

    def available(self, now_s: float) -> float:
        """Return how many requests may be sent now, infinite for no limit."""
        if self.wait_s(now_s):
            return 0.0
        if math.isinf(self.rate_per_s):
            return math.inf
        return float(int(self._tokens.level))

    def take(self, now_s: float) -> bool:
        """Take a request from this process's part; return whether it may."""
        if self.wait_s(now_s):
            return False
        if math.isfinite(self.rate_per_s):
            self._tokens.level -= 1.0
        return True

    def _holds_part(self, turn: int, holders: int) -> bool:
        group = self.group
        key = (turn, holders, group.names)
        if key != self._known:
            self._known = key
            self._holds = holders >= len(group.names) or (
                group.own
                in _home_selection.first_entries(
                    f"{self.name}\0{turn}", group.names, holders
                )
            )
        return self._holds

    def _refill(self, turn: int, division: _Division, now_s: float) -> None:
        began_s = turn * division.turn_s - self.group.clock_offset_s
        if division.holders < len(self.group.names) and (
            self._held_turn is None or turn - self._held_turn > 1
        ):
            # Others may have used the rate in between.
            since_s = max(began_s, self._tokens.refilled_at_s)
            self._tokens = _bucket.Bucket(0.0, min(since_s, now_s))
        self._held_turn = turn
        self._tokens.refill(division.rate_per_s, division.burst, now_s)


def _divide(rate_per_s: float, processes: int) -> _Division:
    rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
    burst = rate_per_s * _account.BURST_S + BURST_REQUESTS
    holders = min(processes, int(burst))
    turn_s = max(MIN_TURN_S, TURN_REQUESTS * holders / rate_per_s)
    return _Division(
        rate_per_s / holders,
        burst / holders,
        holders,
        # Processes that know slightly different limits have the same turns.
        2.0 ** math.ceil(math.log2(turn_s)),
    )
