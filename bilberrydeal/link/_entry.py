"""The entry's end of one link."""

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
from . import _messages
from . import _pulse
from . import _session
from . import _transport

#: Bounds of the pause between two dials.
SHORTEST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0
#: Requests given up without a link that are cancelled on the next one.
GIVEN_UP_LIMIT = 4096

Answer = typing.TypeVar("Answer")


class AgentLink:
    """Dials one agent, keeps the link alive and carries requests over it.

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
        #: Incarnation of the agent, empty before the first hello.
        self.agent = ""
        #: Endpoint that the agent serves, empty before the first hello.
        self.endpoint_id = ""
        #: Why the agent refused the last hello, empty when it did not.
        self.refusal = ""
        #: What the agent reported last, and when that came.
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
        #: Called with usage to settle; a record may come again.
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
        self._held: list[_call.Call] = []
        #: When the agent last echoed a heartbeat.
        self.heard_at_s = -math.inf
        self._given_up: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._cancels: dict[int, asyncio.Future[_messages.CancelOutcome]] = {}
        self._queries: dict[int, _Query] = {}
        self._last_query_id = 0

    @property
    def connected(self) -> bool:
        """Whether the agent has answered and is not known to be silent."""
        session = self._session
        return (
            session is not None
            and session.established
            and session.alive(self._clock())
        )

    async def run(self) -> None:
        """Keep a link until :meth:`close` or cancellation."""
        pause_s = SHORTEST_PAUSE_S
        try:
            while not self._closed.is_set():
                if await self._run_session():
                    pause_s = SHORTEST_PAUSE_S
                self._give_up(self._clock())
                await self._pause(self._random.uniform(0.0, pause_s))
                pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
        finally:
            await self.close()

    async def close(self) -> None:
        """End the link; the answers of its calls are lost."""
        self._closed.set()
        if self._session is not None:
            self._session.close()
        for call in list(self._calls.values()):
            self._fail(call)

    def submit(self, request: _messages.Submit) -> _call.Call:
        """Hand a request over.

        Raises :class:`LinkDown` or :class:`LinkFull`, after which the
        request certainly does not run here. On a link that was idle it
        waits until the agent has echoed a heartbeat; without an echo it
        fails as not started.
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
            session.prove(now_s)
        self._calls[call.sequence] = call
        call.sent = not session.holding
        if session.holding:
            self._held.append(call)
        session.send(request, urgent=True)
        return call

    def check(self) -> None:
        """Ask the agent for a sign of life; see :attr:`heard_at_s`."""
        if self._session is not None:
            self._session.check()

    async def cancel(
        self, sequence: int, timeout_s: float
    ) -> _messages.CancelOutcome | None:
        """End a request; ``None`` when no answer came in time.

        After ``NOT_STARTED`` the request never runs at this agent.
        """
        waiter = self._cancels.get(sequence)
        if waiter is None:
            waiter = asyncio.get_running_loop().create_future()
            self._cancels[sequence] = waiter
        self._send(_messages.Cancel(sequence=sequence), urgent=True)
        try:
            return await _in_time(waiter, timeout_s)
        finally:
            if self._cancels.get(sequence) is waiter:
                del self._cancels[sequence]

    async def query(
        self,
        number: _messages.RequestNumber,
        timeout_s: float,
        agent: str = "",
    ) -> _messages.QueryResult | None:
        """Ask what became of a request that is not idempotent.

        ``agent`` is the incarnation of the agent that the request was
        handed to, where it is known. Returns ``None`` when no answer came
        in time.
        """
        self._last_query_id += 1
        query_id = self._last_query_id
        query = _Query(
            _messages.Query(query_id=query_id, number=number, agent=agent)
        )
        self._queries[query_id] = query
        self._send(query.message, urgent=True)
        try:
            return await _in_time(query.answer, timeout_s)
        finally:
            del self._queries[query_id]

    def settled(self, records: tuple[int, ...]) -> None:
        """Tell the agent that usage records are in the table."""
        self._send(_messages.Settled(records=records))

    def hint(self, order_version: int) -> None:
        """Tell the agent that an order row was committed."""
        self._send(
            _messages.OrderHint(order_version=order_version), urgent=True
        )

    async def _run_session(self) -> bool:
        """Dial once and stay while the link lives; say if it ever did."""
        try:
            reply = await _hello.ask(
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
        self._meet(reply)
        socket = _transport.PairSocket(self._settings.silent_bound_s)
        session = _session.Session(
            socket,
            self._settings,
            self._clock,
            self._handle,
            _pulse.Asker(
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
        self._resume(session)
        try:
            await session.run()
        finally:
            session.close()
            self._session = None
            self._drop_held()
            if session.established:
                self._down_since_s = self._clock()
        return session.established

    def _meet(self, reply: _messages.HelloReply) -> None:
        """Take the agent's names; a new incarnation knows no call.

        Generations go on under it, since the engine outlives its agent;
        everything else is lost.
        """
        if self.agent and reply.agent != self.agent:
            for call in list(self._calls.values()):
                if reply.takes_over and call.movable:
                    call.move()
                else:
                    self._fail(call, agent_replaced=True)
            self._given_up.clear()
        self.agent = reply.agent
        self.endpoint_id = reply.endpoint_id

    def _resume(self, session: _session.Session) -> None:
        """Ask again for all that a former session may have lost."""
        for sequence in self._given_up:
            session.send(_messages.Cancel(sequence=sequence))
        self._given_up.clear()
        for sequence in self._cancels:
            session.send(_messages.Cancel(sequence=sequence))
        for query in self._queries.values():
            session.send(query.message)
        for call in self._calls.values():
            session.send(self._resumption(call))

    def _resumption(self, call: _call.Call) -> _messages.Message:
        if not call.moving:
            return _messages.Resume(sequence=call.sequence, chunk=call.arrived)
        # Once is enough: what is lost on the way, the agent reports missing.
        call.moving = False
        return call.take_over(self._clock())

    def _give_up(self, now_s: float) -> None:
        """Fail calls whose link stays away past the resume window."""
        if now_s - self._down_since_s <= self._settings.resume_window_s:
            return
        for call in list(self._calls.values()):
            if call.submit.idempotent:
                self._given_up[call.sequence] = None
            self._fail(call)
        while len(self._given_up) > GIVEN_UP_LIMIT:
            self._given_up.popitem(last=False)

    def _fail(self, call: _call.Call, agent_replaced: bool = False) -> None:
        self._calls.pop(call.sequence, None)
        call.fail(started=call.sent, agent_replaced=agent_replaced)

    async def _pause(self, pause_s: float) -> None:
        try:
            async with asyncio.timeout(pause_s):
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
                self._take_echo()
            case _messages.EndpointStatus():
                self._take_status(message)
            case _messages.CacheChanges():
                if self.on_cache is not None:
                    self.on_cache(self, message)
            case _messages.Missing():
                self._submit_again(message.sequence)
            case _messages.CancelResult():
                _answer(self._cancels.get(message.sequence), message.outcome)
            case _messages.QueryResult():
                query = self._queries.get(message.query_id)
                _answer(query.answer if query else None, message)
            case _messages.UsageRecords():
                if self.on_usage is not None:
                    self.on_usage(self, message)
            case _:
                pass  # Nothing else is for an entry.

    def _deliver(self, event: _call.Event) -> None:
        call = self._calls.get(event.sequence)
        if call is None:
            self._forget(event)
        elif call.deliver(event):
            if call.ended:
                del self._calls[event.sequence]
        elif event.chunk > call.arrived and not call.gap_reported:
            call.gap_reported = True
            self._send(
                _messages.Resume(sequence=call.sequence, chunk=call.arrived)
            )

    def _forget(self, event: _call.Event) -> None:
        """Let the agent drop the end of a request that nobody waits for."""
        if not isinstance(event, _messages.Chunk):
            self._send(
                _messages.Ack(sequence=event.sequence, chunk=event.chunk)
            )

    def _take_echo(self) -> None:
        self.heard_at_s = self._clock()
        for call in self._held:
            call.sent = True
        self._held.clear()

    def _drop_held(self) -> None:
        """Fail the calls that waited for an echo: they never left."""
        for call in self._held:
            self._fail(call)
        self._held.clear()

    def _take_status(self, status: _messages.EndpointStatus) -> None:
        self.status = status
        self.status_at_s = self._clock()
        if self.on_status is not None:
            self.on_status(self)

    def _submit_again(self, sequence: int) -> None:
        call = self._calls.get(sequence)
        if call is None:
            return
        if call.arrived > call.inherited:
            # The agent forgot what it had begun: it can only be lost.
            self._fail(call)
        elif call.moved:
            self._send(call.take_over(self._clock()), urgent=True)
        else:
            self._send(call.remaining(self._clock()), urgent=True)

    def _acknowledge(self, call: _call.Call) -> None:
        call.acknowledged = call.consumed
        self._send(_messages.Ack(sequence=call.sequence, chunk=call.consumed))


class _Query:
    """A question that waits for its answer."""

    def __init__(self, message: _messages.Query) -> None:
        self.message = message
        self.answer: asyncio.Future[_messages.QueryResult] = (
            asyncio.get_running_loop().create_future()
        )


def _answer(waiter: asyncio.Future[Answer] | None, answer: Answer) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(answer)


async def _in_time(
    waiter: asyncio.Future[Answer], timeout_s: float
) -> Answer | None:
    done, _ = await asyncio.wait([waiter], timeout=timeout_s)
    return waiter.result() if done else None
