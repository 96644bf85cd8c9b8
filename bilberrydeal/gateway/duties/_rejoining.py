"""Lets gateways know each other soon after some had lost the store."""

import collections.abc
import random

from ... import periodic
from ... import telemetry
from .. import messaging

LOG = telemetry.logger("duties")
#: The store counts as back with a response after so long without any, in
#: seconds. Polls of its tables have responses more often.
RETURN_SILENCE_S = 2.0
#: Shortest time over which the calls of all gateways after its return are
#: spread, in seconds.
SPREAD_S = 0.5
#: Most of them of all gateways together a second.
CALLS_PER_S = 40.0

Clock = collections.abc.Callable[[], float]


class Rejoining:
    """Decides when a gateway writes and reads rows as the store is back.

    Gateways that the store serves take others for dead whose rows are not
    written for long. Once these are written again, they are told and read
    them. All may be served again at the same moment, so that each waits for a
    random time.
    """

    def __init__(
        self,
        datagrams: messaging.Datagrams,
        incarnation: str,
        others: collections.abc.Callable[[], collections.abc.Container[str]],
        members: collections.abc.Callable[[], int],
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._datagrams = datagrams
        self._incarnation = incarnation
        self._others = others
        self._members = members
        self._rng = rng
        self._clock = clock
        #: Last response of the store, by the clock, in seconds.
        self._response_s = clock()
        #: When the last read of all rows began, by the clock, in seconds.
        self._read_began_s = float("-inf")
        #: Whether the last write of the row had no response.
        self._row_failed = False
        #: The store's clock at the row before a gap that others may have
        #: noticed, in seconds; ``None`` without such a gap.
        self.gap_began_s: float | None = None
        #: Lets the row be written.
        self.row_wakeup = periodic.Wakeup()
        #: Lets the rows of all gateways be read.
        self.members_wakeup = periodic.Wakeup()
        datagrams.subscribe(self._on_datagram)

    def note_response(self) -> None:
        """Record a response of the store to any call."""
        now_s = self._clock()
        silent_s = now_s - self._response_s
        self._response_s = now_s
        if self._row_failed and silent_s >= RETURN_SILENCE_S:
            self.row_wakeup.wake_in(self._wait_s())

    def note_row_failed(self) -> None:
        """Record that the row could not be written."""
        self._row_failed = True

    def note_row_written(self, gap_began_s: float | None) -> None:
        """Record that the store took the row.

        ``gap_began_s`` is the store's clock at the row before it, if that was
        so old that others may have taken this gateway for dead.
        """
        self._row_failed = False
        if gap_began_s is not None:
            self.gap_began_s = gap_began_s
            self._read_members_soon()

    def note_read_began(self) -> None:
        """Record that the rows of all gateways are being read."""
        self._read_began_s = self._clock()

    def note_members(
        self,
        missed: bool,
        addresses: collections.abc.Collection[messaging.Address],
    ) -> None:
        """Record that the rows of all gateways were read after the gap.

        ``missed`` tells whether others, at ``addresses``, may have taken this
        gateway for dead. They are told that its row is there again.
        """
        self.gap_began_s = None
        if missed:
            LOG.info("Row written after a gap.", told=len(addresses))
            self._datagrams.send(
                messaging.Datagram(self._incarnation, rejoined=True), addresses
            )

    def _on_datagram(self, datagram: messaging.Datagram) -> None:
        if datagram.rejoined and datagram.gateway not in self._others():
            self._read_members_soon()

    def _read_members_soon(self) -> None:
        """Let the rows be read, not much sooner than after the last time."""
        pause_s = self._read_began_s + self._spread_s() - self._clock()
        self.members_wakeup.wake_in(max(self._wait_s(), pause_s))

    def _wait_s(self) -> float:
        """Return the time until this gateway's call, a random one."""
        return self._rng.uniform(0.0, self._spread_s())

    def _spread_s(self) -> float:
        """Return the time over which the calls of all gateways are spread."""
        return max(SPREAD_S, self._members() / CALLS_PER_S)
