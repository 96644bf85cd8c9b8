"""Answers callers' requests."""

import asyncio
import collections.abc

import attrs

from .. import catalogue
from .. import errors
from .. import http1
from .. import platform
from .. import telemetry
from . import _following
from . import _gate
from . import _knowledge
from . import _metrics
from . import _plain
from . import _repeating
from . import _stream
from . import _work

LOG = telemetry.logger("request")
#: The caller closed its connection; no answer is sent.
GONE_STATUS = 499

Clock = collections.abc.Callable[[], float]


class Serving:
    """Takes each request from its first check to its last byte."""

    def __init__(
        self,
        gate: _gate.Gate,
        knowledge: _knowledge.Knowledge,
        plain: _plain.PlainServer,
        stream: _stream.StreamServer,
        repeater: _repeating.Repeater,
        metrics: _metrics.GatewayMetrics,
        tracing: telemetry.Tracing,
        contact: _following.Contact,
        clock: Clock,
    ) -> None:
        self._tracing = tracing
        self._contact = contact
        self._gate = gate
        self._knowledge = knowledge
        self._plain = plain
        self._stream = stream
        self._repeater = repeater
        self._metrics = metrics
        self._clock = clock

    async def handle(
        self, request: http1.Request, responder: http1.Responder
    ) -> None:
        """Answer one request."""
        caller = platform.decode_caller(request)
        try:
            work = self._gate.admit(request, caller)
        except errors.Refusal as refused:
            self._refuse(responder, caller.request_id, refused)
            self._log(caller.request_id, None, None, responder, refused)
            return
        with self._tracing.span("gateway", caller.traceparent) as span:
            span.note("request", caller.request_id.decode("latin-1"))
            journey = _work.Journey(traceparent=span.traceparent)
            await self._follow(work, journey, responder)

    async def _follow(
        self,
        work: _work.Work,
        journey: _work.Journey,
        responder: http1.Responder,
    ) -> None:
        """Serve a request and log how it ended, also if it is cancelled."""
        self._repeater.note_request(work.service)
        ended: errors.Refusal | None = None
        try:
            ended = await self._serve(work, journey, responder)
        finally:
            self._log(work.request_id, work, journey, responder, ended)

    async def _serve(
        self,
        work: _work.Work,
        journey: _work.Journey,
        responder: http1.Responder,
    ) -> errors.Refusal | None:
        """Serve a request; return the refusal that it ended with."""
        left_s = work.deadline_s - self._clock()
        try:
            async with asyncio.timeout(left_s):
                await self._carry(work, journey, responder)
            return None
        except errors.Refusal as raised:
            refusal = raised
        except TimeoutError:
            refusal = _late(journey)
        if responder.started:
            responder.abort()
        else:
            self._refuse(responder, work.request_id, refusal)
        return refusal

    async def _carry(
        self,
        work: _work.Work,
        journey: _work.Journey,
        responder: http1.Responder,
    ) -> None:
        if work.route.kind is catalogue.RouteKind.STREAM:
            await self._stream.serve(work, journey, responder)
        else:
            await self._plain.serve(work, journey, responder)

    def _refuse(
        self,
        responder: http1.Responder,
        request_id: bytes,
        refusal: errors.Refusal,
    ) -> None:
        headers: list[http1.Header] = []
        if request_id:
            headers.append(platform.echo_id(request_id))
        if refusal.retry_after_s is not None:
            headers.append(platform.retry_after(refusal.retry_after_s))
        responder.send(refusal.status, headers, b"")

    def _configuration_version(self, work: _work.Work | None) -> int | None:
        """Return the version that a request was decided by."""
        if work is not None:
            return work.configuration_version
        configuration = self._knowledge.configuration
        return configuration.version if configuration else None

    def _log(
        self,
        request_id: bytes,
        work: _work.Work | None,
        journey: _work.Journey | None,
        responder: http1.Responder,
        refusal: errors.Refusal | None,
    ) -> None:
        """Count a request and log how it ended."""
        status = responder.status if responder.finished else GONE_STATUS
        took_s = 0.0
        if work is not None:
            took_s = self._clock() - work.request.began_s
        route = work.route.name if work is not None else ""
        reason = refusal.reason.value if refusal else ""
        self._metrics.request(route, status, reason, took_s)
        if journey is not None:
            self._metrics.steps(journey.steps)
        LOG.info(
            "Request ended.",
            request=request_id.decode("latin-1"),
            route=route,
            status=status,
            reason=refusal.reason if refusal else None,
            detail=refusal.sentence if refusal else None,
            retry_after_s=refusal.retry_after_s if refusal else None,
            organisation=work.organisation_name if work else None,
            steps=_shown(journey),
            configuration=self._configuration_version(work),
            store_age_s=round(self._contact.age_s(self._clock()), 2),
            took_s=round(took_s, 4),
        )


def _shown(journey: _work.Journey | None) -> list[dict[str, object]]:
    """Return the sends of a request for a log line."""
    if journey is None:
        return []
    return [attrs.asdict(step) for step in journey.steps]


def _late(journey: _work.Journey) -> errors.Refusal:
    """Return the refusal of a request whose time is over."""
    if not journey.may_have_run:
        return _work.not_run(
            errors.ErrorCode.DEADLINE_EXCEEDED,
            "no endpoint began it in time",
            _work.FAILED_RETRY_S,
        )
    return errors.Refusal(
        reason=errors.ErrorCode.DEADLINE_EXCEEDED,
        sentence="the endpoint did not answer in time",
        status=504,
        executed=errors.Executed.UNKNOWN,
    )
