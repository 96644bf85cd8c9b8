"""One send of a request to one endpoint."""

import asyncio
import collections.abc
import contextlib

import attrs

from .. import http1
from .. import platform
from .. import telemetry
from ..systems import placement
from . import _knowledge
from . import _repeating
from . import _uplink
from . import _work

#: A rejection that comes sooner says that the endpoint takes nothing now,
#: in seconds; a later one that the request waited there in vain.
AT_ONCE_S = 0.05
#: Longest wait for the rest of an answer that nobody needs, in seconds.
DROP_TIMEOUT_S = 0.05
#: Largest such rest, in bytes.
DROP_LIMIT_BYTES = 65_536

Clock = collections.abc.Callable[[], float]


class NotOffered(Exception):
    """The endpoint never got the request."""


class Rejected(Exception):
    """The endpoint did not run the request and will not."""


class Lost(Exception):
    """The endpoint may have run the request; its answer did not come."""


@attrs.frozen
class Exchange:
    """A send whose answer has begun."""

    #: The connection that carries it.
    connection: http1.ClientConnection
    #: Head of the answer.
    head: http1.ResponseHead
    #: What the head says.
    verdict: platform.Verdict
    #: When its last byte should have left this host, monotonic seconds.
    sent_s: float


class Sender:
    """Sends requests and tells what became of them."""

    def __init__(
        self,
        knowledge: _knowledge.Knowledge,
        repeater: _repeating.Repeater,
        uplink: _uplink.Uplink,
        tracing: telemetry.Tracing,
        clock: Clock,
    ) -> None:
        self._tracing = tracing
        self._knowledge = knowledge
        self._uplink = uplink
        self._repeater = repeater
        self._clock = clock

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        work: _work.Work,
        journey: _work.Journey,
        known: _knowledge.Known,
        fields: platform.SendFields,
        head_timeout_s: float,
        placed: placement.Placement | None = None,
    ) -> collections.abc.AsyncIterator[Exchange]:
        """Send a request and wait for the head of its answer.

        Raises :class:`NotOffered`, :class:`Rejected` or :class:`Lost`. The
        connection is reset where the answer is not whole at the end. From
        the first byte sent the journey says that the request may have run,
        until the endpoint proves that it did not; only reading a prompt
        never runs a request.
        """
        with self._tracing.span("endpoint", journey.traceparent) as span:
            span.note("endpoint", known.endpoint.endpoint_id)
            span.note("step", "read" if fields.prefill else "serve")
            fields = attrs.evolve(fields, traceparent=span.traceparent)
            async with self._exchange(
                work, journey, known, fields, head_timeout_s, placed
            ) as exchange:
                yield exchange

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        work: _work.Work,
        journey: _work.Journey,
        known: _knowledge.Known,
        fields: platform.SendFields,
        head_timeout_s: float,
        placed: placement.Placement | None,
    ) -> collections.abc.AsyncIterator[Exchange]:
        step = self._step(work, known, fields, placed)
        journey.steps.append(step)
        size_bytes = len(work.request.body)
        rank = work.rank if fields.rank is None else fields.rank
        asked_s = self._clock()
        await self._uplink.turn(size_bytes, rank)
        waited_s = self._clock() - asked_s
        step.link_wait_ms = round(waited_s * 1000, 1)
        if not known.endpoint.ready:
            step.outcome = "not offered, the endpoint is leaving"
            raise NotOffered("the endpoint is leaving")
        try:
            connection = await known.pool.take(self._clock())
        except http1.Unsent as error:
            step.outcome = f"not offered, {error}"
            if not known.pool.full:
                self._knowledge.observe(known, False, self._clock())
            raise NotOffered(str(error)) from error
        sent_s = self._clock()
        left_s = work.deadline_s - sent_s
        fields = attrs.evolve(fields, left_s=left_s)
        self._repeater.note_send(work, journey)
        ran_before = journey.may_have_run
        journey.may_have_run = ran_before or not fields.prefill
        try:
            head = await self._head(
                connection, work, known, fields, head_timeout_s
            )
            verdict = platform.verdict(head)
            if fields.prefill:
                verdict = platform.read_prompt_verdict(head)
            if verdict is platform.Verdict.NOT_RUN:
                journey.may_have_run = ran_before
                known.misdirected |= platform.misdirected(head)
                if self._clock() - sent_s < AT_ONCE_S:
                    known.rejected(self._clock())
                await self._drop_body(connection)
                raise Rejected(str(head.status))
            if verdict is platform.Verdict.DEFECT:
                self._knowledge.observe(known, False, self._clock())
                raise Lost(f"status {head.status} without proof")
            known.accepted()
            if fields.prefill:
                self._repeater.note_read(work, journey)
            step.outcome = f"status {head.status}, cut"
            left_host_s = sent_s + self._uplink.transfer_s(size_bytes)
            yield Exchange(connection, head, verdict, left_host_s)
            step.outcome = f"status {head.status}"
        except NotOffered:
            journey.may_have_run = ran_before
            step.outcome = "not offered"
            raise
        except (Rejected, Lost) as error:
            step.outcome = f"{type(error).__name__.lower()}, {error}"
            raise
        except http1.Broken as error:
            step.outcome += ", connection broke"
            self._knowledge.observe(known, False, self._clock())
            raise Lost("connection broke") from error
        finally:
            known.pool.give_back(connection, self._clock())

    def _step(
        self,
        work: _work.Work,
        known: _knowledge.Known,
        fields: platform.SendFields,
        placed: placement.Placement | None,
    ) -> _work.Step:
        at_s = self._clock() - work.request.began_s
        step = _work.Step(
            kind="read" if fields.prefill else "serve",
            endpoint=known.endpoint.endpoint_id,
            at_ms=round(at_s * 1000, 1),
        )
        if placed is not None:
            step.expected_ms = round(placed.expected_s * 1000, 1)
            step.deferred = placed.deferred
        return step

    async def _head(
        self,
        connection: http1.ClientConnection,
        work: _work.Work,
        known: _knowledge.Known,
        fields: platform.SendFields,
        timeout_s: float,
    ) -> http1.ResponseHead:
        sent = platform.forward_head(work.request, fields)
        try:
            connection.send(sent, work.request.body, work.request_id)
        except http1.Unsent as error:
            raise NotOffered("connection closed") from error
        try:
            async with asyncio.timeout(timeout_s):
                return await connection.head()
        except TimeoutError as error:
            self._knowledge.observe(known, False, self._clock())
            raise Lost("no answer in time") from error

    async def _drop_body(self, connection: http1.ClientConnection) -> None:
        """Read the rest of an answer so that the connection can be kept."""
        with contextlib.suppress(http1.Broken, TimeoutError):
            async with asyncio.timeout(DROP_TIMEOUT_S):
                await connection.body(DROP_LIMIT_BYTES)
