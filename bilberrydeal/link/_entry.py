"""The entry's end of a link."""

import asyncio
import collections
import collections.abc
import math
import random
import typing

from .. import settings
from . import _call
from . import _failures
from . import _hello
from . import _liveness
from . import _messages
from . import _session
from . import _transport

#: Bounds of the delay between two dials.
MIN_REDIAL_DELAY_S = 0.02
MAX_REDIAL_DELAY_S = 1.0
#: Maximum requests abandoned without a link and cancelled on the next one.
DEFERRED_CANCELS_LIMIT = 4096

Answer = typing.TypeVar("Answer")


class AgentLink:
    """Dials an agent, keeps the link alive and carries requests over it.

    Example::

        link = AgentLink("127.0.0.1", 7000, "entry-1", "d1", settings, clock)
        task = asyncio.create_task(link.run())
        async for event in link.submit(submit).events():
            ...
    """

    def __init__(
        self,
        address: str,
        control_port: int,
        entry: str,
        failure_domain: str,
        settings: settings.LinkSettings,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self.address = address
        self.control_port = control_port
        #: Incarnation of the agent; empty before the first hello.
        self.agent = ""
        #: Endpoint that the agent serves; empty before the first hello.
        self.endpoint_id = ""
        #: Why the agent refused the last hello; empty if it did not.
        self.refusal = ""
        #: Last status received from the agent, and when.
        self.status: _messages.EndpointStatus | None = None
        self.status_at_s = 0.0
        #: Called after each status.
        self.on_status: collections.abc.Callable[[AgentLink], None] | None = (
            None
        )
        #: Called with changes of the prefix cache.
        self.on_cache: (
            collections.abc.Callable[[AgentLink, _messages.CacheChanges], None]
            | None
        ) = None
        #: Called with usage to settle; records may be repeated.
        self.on_usage: (
            collections.abc.Callable[[AgentLink, _messages.UsageRecords], None]
            | None
        ) = None
        self._hello = _messages.Hello(
            protocol_version=_messages.PROTOCOL_VERSION,
            entry=entry,
            failure_domain=failure_domain,
        )
        self._settings = settings
        self._clock = clock
        self._random = random.Random(entry + address)
        self._session: _session.Session | None = None
        self._down_since_s = clock()
        self._closed = asyncio.Event()
        self._calls: dict[int, _call.Call] = {}
        self._paused_calls: list[_call.Call] = []
        #: When the last echo of a heartbeat arrived.
        self.last_echo_at_s = -math.inf
        self._deferred_cancels: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._cancel_waiters: dict[
            int, asyncio.Future[_messages.CancelOutcome]
        ] = {}
        self._queries: dict[int, _PendingQuery] = {}
        self._last_query_id = 0

    @property
    def connected(self) -> bool:
        """Whether the session is established and the agent not silent."""
        session = self._session
        return (
            session is not None
            and session.established
            and session.alive(self._clock())
        )

    async def run(self) -> None:
        """Maintain the link until :meth:`close` or cancellation."""
        delay_s = MIN_REDIAL_DELAY_S
        try:
            while not self._closed.is_set():
                if await self._run_session():
                    delay_s = MIN_REDIAL_DELAY_S
                self._fail_expired_calls(self._clock())
                await self._wait_before_redial(
                    self._random.uniform(0.0, delay_s)
                )
                delay_s = min(2 * delay_s, MAX_REDIAL_DELAY_S)
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the link and fail its calls."""
        self._closed.set()
        if self._session is not None:
            self._session.close()
        for call in list(self._calls.values()):
            self._fail(call)

    def submit(self, request: _messages.Submit) -> _call.Call:
        """Submit a request to the agent.

        Raises :class:`LinkDown` or :class:`LinkFull`, after which the
        request certainly does not run here. On a link that was idle, the
        request waits until the agent has echoed a heartbeat; without an
        echo it fails as not started.
        """
        session = self._session
        if session is None or not self.connected:
            raise _failures.LinkDown(
                address=self.address, control_port=self.control_port
            )
        if not session.has_room(len(request.prompt) + len(request.body)):
            raise _failures.LinkFull(
                waiting=session.waiting, waiting_bytes=session.waiting_bytes
            )
        now_s = self._clock()
        call = _call.Call(request, now_s, self._acknowledge)
        if not self._calls:
            session.pause_if_idle(now_s)
        self._calls[call.sequence] = call
        call.sent = not session.paused
        if session.paused:
            self._paused_calls.append(call)
        session.send(request, urgent=True)
        return call

    def request_heartbeat(self) -> None:
        """Request a heartbeat; its echo updates :attr:`last_echo_at_s`."""
        if self._session is not None:
            self._session.request_heartbeat()

    async def cancel(
        self, sequence: int, timeout_s: float
    ) -> _messages.CancelOutcome | None:
        """Cancel a request; return ``None`` if no reply arrives in time.

        After ``NOT_STARTED`` the request never runs at this agent.
        """
        waiter = self._cancel_waiters.get(sequence)
        if waiter is None:
            waiter = asyncio.get_running_loop().create_future()
            self._cancel_waiters[sequence] = waiter
        self._send(_messages.Cancel(sequence=sequence), urgent=True)
        try:
            return await _wait_for(waiter, timeout_s)
        finally:
            if self._cancel_waiters.get(sequence) is waiter:
                del self._cancel_waiters[sequence]

    async def query(
        self,
        number: _messages.RequestNumber,
        timeout_s: float,
        agent: str = "",
    ) -> _messages.QueryResult | None:
        """Query the outcome of a request that is not idempotent.

        ``agent`` is the incarnation of the agent to which the request was
        submitted, if known. Returns ``None`` if no reply arrives in time.
        """
        self._last_query_id += 1
        query_id = self._last_query_id
        query = _PendingQuery(
            _messages.Query(query_id=query_id, number=number, agent=agent)
        )
        self._queries[query_id] = query
        self._send(query.message, urgent=True)
        try:
            return await _wait_for(query.answer, timeout_s)
        finally:
            del self._queries[query_id]

    def acknowledge_usage(self, records: tuple[int, ...]) -> None:
        """Notify the agent that usage records have been stored."""
        self._send(_messages.Settled(records=records))

    def announce_order(self, order_version: int) -> None:
        """Notify the agent that an order row was committed."""
        self._send(
            _messages.OrderHint(order_version=order_version), urgent=True
        )

    async def _run_session(self) -> bool:
        """Run one session; return whether it was ever established."""
        try:
            reply = await _hello.send_hello(
                self.address,
                self.control_port,
                self._hello,
                self._settings.hello_timeout_s,
            )
        except _failures.HelloFailed:
            return False
        self.refusal = reply.refusal
        if reply.port == 0 or self._closed.is_set():
            return False
        self._update_agent(reply)
        socket = _transport.PairSocket(self._settings.silent_bound_s)
        session = _session.Session(
            socket,
            self._settings,
            self._clock,
            self._handle,
            _liveness.HeartbeatSender(
                self._settings, lambda: bool(self._calls), self._clock()
            ),
        )
        session.send(
            _messages.Open(
                entry=self._hello.entry,
                agent=reply.agent,
                session=reply.session,
            )
        )
        socket.dial(self.address, reply.port)
        self._session = session
        self._resume_requests(session)
        try:
            await session.run()
        finally:
            session.close()
            self._session = None
            self._fail_paused_calls()
            if session.established:
                self._down_since_s = self._clock()
        return session.established

    def _update_agent(self, reply: _messages.HelloReply) -> None:
        """Record the agent's identity and handle a new incarnation.

        A new incarnation knows no calls. Generations continue on it, since
        the engine outlives its agent; all other calls are lost.
        """
        if self.agent and reply.agent != self.agent:
            for call in list(self._calls.values()):
                if reply.takes_over and call.can_be_taken_over:
                    call.prepare_takeover()
                else:
                    self._fail(call, agent_replaced=True)
            self._deferred_cancels.clear()
        self.agent = reply.agent
        self.endpoint_id = reply.endpoint_id

    def _resume_requests(self, session: _session.Session) -> None:
        """Send again all that a previous session may have lost."""
        for sequence in self._deferred_cancels:
            session.send(_messages.Cancel(sequence=sequence))
        self._deferred_cancels.clear()
        for sequence in self._cancel_waiters:
            session.send(_messages.Cancel(sequence=sequence))
        for query in self._queries.values():
            session.send(query.message)
        for call in self._calls.values():
            session.send(self._resume_message(call))

    def _resume_message(self, call: _call.Call) -> _messages.Message:
        if not call.takeover_pending:
            return _messages.Resume(
                sequence=call.sequence, chunk=call.last_received_chunk
            )
        # Sent only once: if it is lost, the agent replies with Missing.
        call.takeover_pending = False
        return call.takeover_message(self._clock())

    def _fail_expired_calls(self, now_s: float) -> None:
        """Fail the calls of a link that is down past the resume window."""
        if now_s - self._down_since_s <= self._settings.resume_window_s:
            return
        for call in list(self._calls.values()):
            if call.submit.idempotent:
                self._deferred_cancels[call.sequence] = None
            self._fail(call)
        while len(self._deferred_cancels) > DEFERRED_CANCELS_LIMIT:
            self._deferred_cancels.popitem(last=False)

    def _fail(self, call: _call.Call, agent_replaced: bool = False) -> None:
        self._calls.pop(call.sequence, None)
        call.fail(started=call.sent, agent_replaced=agent_replaced)

    async def _wait_before_redial(self, delay_s: float) -> None:
        try:
            async with asyncio.timeout(delay_s):
                await self._closed.wait()
        except TimeoutError:
            pass

    def _send(self, message: _messages.Message, urgent: bool = False) -> None:
        if self._session is not None:
            self._session.send(message, urgent)

    def _handle(self, message: _messages.Message) -> None:
        match message:
            case (
                _messages.Chunk() | _messages.Finished() | _messages.Refused()
            ):
                self._deliver(message)
            case _messages.Echo():
                self._handle_echo()
            case _messages.EndpointStatus():
                self._handle_status(message)
            case _messages.CacheChanges():
                if self.on_cache is not None:
                    self.on_cache(self, message)
            case _messages.Missing():
                self._resubmit(message.sequence)
            case _messages.CancelResult():
                _resolve(
                    self._cancel_waiters.get(message.sequence), message.outcome
                )
            case _messages.QueryResult():
                query = self._queries.get(message.query_id)
                _resolve(query.answer if query else None, message)
            case _messages.UsageRecords():
                if self.on_usage is not None:
                    self.on_usage(self, message)
            case _:
                pass  # No other message is addressed to an entry.

    def _deliver(self, event: _call.Event) -> None:
        call = self._calls.get(event.sequence)
        if call is None:
            self._acknowledge_unclaimed(event)
        elif call.deliver(event):
            if call.ended:
                del self._calls[event.sequence]
        elif event.chunk > call.last_received_chunk and not call.gap_reported:
            call.gap_reported = True
            self._send(
                _messages.Resume(
                    sequence=call.sequence, chunk=call.last_received_chunk
                )
            )

    def _acknowledge_unclaimed(self, event: _call.Event) -> None:
        """Acknowledge the last part of an answer without a call."""
        if not isinstance(event, _messages.Chunk):
            self._send(
                _messages.Ack(sequence=event.sequence, chunk=event.chunk)
            )

    def _handle_echo(self) -> None:
        self.last_echo_at_s = self._clock()
        for call in self._paused_calls:
            call.sent = True
        self._paused_calls.clear()

    def _fail_paused_calls(self) -> None:
        """Fail the calls that were waiting for an echo as never sent."""
        for call in self._paused_calls:
            self._fail(call)
        self._paused_calls.clear()

    def _handle_status(self, status: _messages.EndpointStatus) -> None:
        self.status = status
        self.status_at_s = self._clock()
        if self.on_status is not None:
            self.on_status(self)

    def _resubmit(self, sequence: int) -> None:
        call = self._calls.get(sequence)
        if call is None:
            return
        if call.last_received_chunk > call.takeover_chunk:
            # The agent lost a request that it had started.
            self._fail(call)
        elif call.taken_over:
            self._send(call.takeover_message(self._clock()), urgent=True)
        else:
            self._send(call.with_time_left(self._clock()), urgent=True)

    def _acknowledge(self, call: _call.Call) -> None:
        call.acknowledged = call.consumed
        self._send(_messages.Ack(sequence=call.sequence, chunk=call.consumed))


class _PendingQuery:
    """A query that waits for its result."""

    def __init__(self, message: _messages.Query) -> None:
        self.message = message
        self.answer: asyncio.Future[_messages.QueryResult] = (
            asyncio.get_running_loop().create_future()
        )


def _resolve(waiter: asyncio.Future[Answer] | None, answer: Answer) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(answer)


async def _wait_for(
    waiter: asyncio.Future[Answer], timeout_s: float
) -> Answer | None:
    done, _ = await asyncio.wait([waiter], timeout=timeout_s)
    return waiter.result() if done else None
