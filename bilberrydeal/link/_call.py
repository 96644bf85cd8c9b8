"""One request as the entry sees it."""

import asyncio
import collections
import collections.abc

import attrs

from . import _failures
from . import _messages

Event = _messages.Chunk | _messages.Finished | _messages.Refused
#: Chunks consumed before they are acknowledged without waiting.
ACK_EVERY = 64


class Call:
    """A request handed to an agent, and its answer.

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
        #: What was asked.
        self.submit = submit
        #: When it was handed over, monotonic seconds.
        self.submitted_at_s = submitted_at_s
        #: Whether it may have left this process.
        self.sent = False
        #: Number of the last part that arrived.
        self.arrived = 0
        #: Tokens in the parts that arrived.
        self.tokens = 0
        #: Number of the last part that came from former agents.
        self.inherited = 0
        #: Whether a former agent of the endpoint had this.
        self.moved = False
        #: Whether the present agent is still to be asked to take this over.
        self.moving = False
        #: Number of the last part that the consumer has taken.
        self.consumed = 0
        #: Number of the last part that was acknowledged.
        self.acknowledged = 0
        #: Whether a gap was reported and not closed yet.
        self.gap_reported = False
        #: Whether the last part has arrived or none will come.
        self.ended = False
        self._acknowledge = acknowledge
        self._events: collections.deque[Event] = collections.deque()
        self._failure: _failures.CallLost | _failures.CallExpired | None = None
        self._abandoned = False
        self._arrival = asyncio.Event()

    @property
    def sequence(self) -> int:
        """Sequence of the request."""
        return self.submit.number.sequence

    def remaining(self, now_s: float) -> _messages.Submit:
        """Return what was asked with the time that is left of it."""
        passed_s = now_s - self.submitted_at_s
        return attrs.evolve(
            self.submit, time_left_s=self.submit.time_left_s - passed_s
        )

    @property
    def movable(self) -> bool:
        """Whether a successor of the agent may go on with this."""
        generates = self.submit.model and not self.submit.prefill_only
        return bool(generates) and not self._abandoned and not self.ended

    def move(self) -> None:
        """Leave an agent that died: its successor is to go on."""
        self.moved = self.moving = True
        self.inherited = self.arrived
        self.gap_reported = False

    def take_over(self, now_s: float) -> _messages.TakeOver:
        """Return what asks a successor to go on."""
        return _messages.TakeOver(
            submit=self.remaining(now_s),
            chunk=self.arrived,
            tokens=self.tokens,
        )

    async def events(self) -> collections.abc.AsyncGenerator[Event, None]:
        """Yield the parts of the answer in order, each once.

        The last is :class:`Finished` or :class:`Refused`. Raises
        :class:`CallLost` when the rest of the answer will not come. Parts
        that nobody takes are not acknowledged, which slows the agent down.
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
        """Let the rest of the answer be dropped on arrival.

        It does not end the request: see :meth:`AgentLink.cancel`.
        """
        self._abandoned = True
        self._events.clear()
        self.consumed = self.arrived

    def deliver(self, event: Event) -> bool:
        """Take a part if it is the next one; say whether it was."""
        if event.chunk != self.arrived + 1 or self.ended:
            return False
        self.arrived = event.chunk
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
        """Let :meth:`events` raise :class:`CallExpired` from now on.

        One timer for each call costs far less than one for each part.
        """
        if not self.ended:
            self._failure = _failures.CallExpired(sequence=self.sequence)
            self._arrival.set()

    def fail(self, started: bool, agent_replaced: bool = False) -> None:
        """End the call without an answer."""
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
        if last or self.consumed - self.acknowledged >= ACK_EVERY:
            self._acknowledge(self)
