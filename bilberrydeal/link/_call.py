"""A request on the entry's side of the link."""

import asyncio
import collections
import collections.abc

import attrs

from . import _failures
from . import _messages

Event = _messages.Chunk | _messages.Finished | _messages.Refused
#: Number of consumed chunks after which an acknowledgement is sent.
ACK_INTERVAL = 64


class Call:
    """A request submitted to an agent, and its answer.

    Example::

        call = link.submit(submit)
        async for event in call.events():
            ...
    """

    def __init__(
        self,
        submit: _messages.Submit,
        submitted_at_s: float,
        acknowledge: collections.abc.Callable[["Call"], None],
    ) -> None:
        #: The submitted request.
        self.submit = submit
        #: When the request was submitted, on the monotonic clock.
        self.submitted_at_s = submitted_at_s
        #: Whether the request may have left this process.
        self.sent = False
        #: Number of the last part received.
        self.last_received_chunk = 0
        #: Tokens in the parts received.
        self.tokens = 0
        #: Number of the last part received from previous agents.
        self.takeover_chunk = 0
        #: Whether the request was moved from a previous agent.
        self.taken_over = False
        #: Whether the takeover has yet to be sent to the current agent.
        self.takeover_pending = False
        #: Number of the last part consumed.
        self.consumed = 0
        #: Number of the last part acknowledged.
        self.acknowledged = 0
        #: Whether a gap in the parts was reported and is still open.
        self.gap_reported = False
        #: Whether no more parts will be accepted.
        self.ended = False
        self._acknowledge = acknowledge
        self._events: collections.deque[Event] = collections.deque()
        self._failure: _failures.CallLost | _failures.CallExpired | None = None
        self._abandoned = False
        self._arrival = asyncio.Event()

    @property
    def sequence(self) -> int:
        """Sequence number of the request."""
        return self.submit.number.sequence

    def with_time_left(self, now_s: float) -> _messages.Submit:
        """Return the request with the time left until its deadline."""
        passed_s = now_s - self.submitted_at_s
        return attrs.evolve(
            self.submit, time_left_s=self.submit.time_left_s - passed_s
        )

    @property
    def can_be_taken_over(self) -> bool:
        """Whether the agent's successor may continue the generation."""
        generates = self.submit.model and not self.submit.prefill_only
        return bool(generates) and not self._abandoned and not self.ended

    def prepare_takeover(self) -> None:
        """Prepare to continue on the successor of a dead agent."""
        self.taken_over = self.takeover_pending = True
        self.takeover_chunk = self.last_received_chunk
        self.gap_reported = False

    def takeover_message(self, now_s: float) -> _messages.TakeOver:
        """Return the message that asks the successor to continue."""
        return _messages.TakeOver(
            submit=self.with_time_left(now_s),
            chunk=self.last_received_chunk,
            tokens=self.tokens,
        )

    async def events(self) -> collections.abc.AsyncGenerator[Event, None]:
        """Yield the parts of the answer in order, each once.

        The last is :class:`Finished` or :class:`Refused`. Raises
        :class:`CallLost` when the rest of the answer will not arrive. Parts
        that are not consumed are not acknowledged, which applies
        backpressure to the agent.
        """
        try:
            while True:
                while self._events:
                    event = self._events.popleft()
                    self._consume(event)
                    yield event
                    if not isinstance(event, _messages.Chunk):
                        return
                if self._failure is not None:
                    raise self._failure
                self._arrival.clear()
                await self._arrival.wait()
        finally:
            self.abandon()

    def abandon(self) -> None:
        """Drop the rest of the answer on arrival.

        This does not cancel the request: see :meth:`AgentLink.cancel`.
        """
        self._abandoned = True
        self._events.clear()
        self.consumed = self.last_received_chunk

    def deliver(self, event: Event) -> bool:
        """Accept a part if it is the next one; return whether it was."""
        if event.chunk != self.last_received_chunk + 1 or self.ended:
            return False
        self.last_received_chunk = event.chunk
        self.gap_reported = False
        if isinstance(event, _messages.Chunk):
            self.tokens += event.tokens
        else:
            self.ended = True
        if self._abandoned:
            self._consume(event)
            return True
        self._events.append(event)
        self._arrival.set()
        return True

    def expire(self) -> None:
        """Make :meth:`events` raise :class:`CallExpired`.

        One timer per call costs far less than one per part.
        """
        if not self.ended:
            self._failure = _failures.CallExpired(sequence=self.sequence)
            self._arrival.set()

    def fail(self, started: bool, agent_replaced: bool = False) -> None:
        """End the call without a complete answer."""
        if self.ended:
            return
        self.ended = True
        self._failure = _failures.CallLost(
            sequence=self.sequence,
            started=started,
            agent_replaced=agent_replaced,
        )
        self._arrival.set()

    def _consume(self, event: Event) -> None:
        self.consumed = event.chunk
        last = not isinstance(event, _messages.Chunk)
        if last or self.consumed - self.acknowledged >= ACK_INTERVAL:
            self._acknowledge(self)
