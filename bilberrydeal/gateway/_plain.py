"""Serves requests to plain services."""

import collections.abc

import attrs

from .. import http1
from .. import platform
from . import _knowledge
from . import _repeating
from . import _sending
from . import _usage
from . import _work

#: Largest answer that is held until it is whole, in bytes.
HELD_LIMIT_BYTES = 1_048_576

Clock = collections.abc.Callable[[], float]


class PlainServer:
    """Sends each request to the endpoint with the fewest of ours."""

    def __init__(
        self,
        knowledge: _knowledge.Knowledge,
        sender: _sending.Sender,
        repeater: _repeating.Repeater,
        begun: _usage.BegunCounter,
        failure_domain: str,
        clock: Clock,
    ) -> None:
        self._knowledge = knowledge
        self._sender = sender
        self._repeater = repeater
        self._begun = begun
        self._failure_domain = failure_domain
        self._clock = clock

    async def serve(
        self,
        work: _work.Work,
        journey: _work.Journey,
        responder: http1.Responder,
    ) -> None:
        """Answer a request; raises ``Refusal``."""
        failure: _Answered | None = None
        reason = "no endpoint takes requests"
        while known := self._choose(work, journey):
            try:
                answered = await self._send(work, journey, known)
            except _sending.NotOffered as error:
                journey.tried.append(known.endpoint.endpoint_id)
                reason = f"not offered, {error}"
                continue
            except _sending.Rejected as error:
                _note_tried(journey, known)
                reason = f"rejected, {error}"
            except _sending.Lost as error:
                _note_tried(journey, known)
                self._begun.count_once(work, journey)
                reason = f"lost, {error}"
                if not work.route.idempotent:
                    break
            else:
                _note_tried(journey, known)
                if answered.verdict is platform.Verdict.ANSWER:
                    _answer(responder, answered)
                    return
                failure = answered
                reason = f"status {answered.head.status}"
                if not work.route.idempotent:
                    break
            if not self._repeater.granted(work, journey, reason):
                break
        if failure is None:
            raise _work.failed(journey, reason)
        _answer(responder, failure)

    def _choose(
        self, work: _work.Work, journey: _work.Journey
    ) -> _knowledge.Known | None:
        now_s = self._clock()
        able = [
            known
            for known in self._knowledge.of_service(work.service)
            if known.usable(now_s)
            and known.endpoint.endpoint_id not in journey.tried
        ]
        if not able:
            return None
        domain = self._failure_domain
        return min(
            able,
            key=lambda known: (
                known.pool.busy,
                known.endpoint.failure_domain != domain,
            ),
        )

    async def _send(
        self, work: _work.Work, journey: _work.Journey, known: _knowledge.Known
    ) -> "_Answered":
        """Return a whole answer."""
        left_s = work.deadline_s - self._clock()
        fields = platform.SendFields(
            endpoint_id=known.endpoint.endpoint_id,
            left_s=left_s,
            organisation=work.organisation_name,
        )
        async with self._sender.exchange(
            work, journey, known, fields, left_s
        ) as exchange:
            body = await exchange.connection.body(HELD_LIMIT_BYTES)
        self._begun.count_once(work, journey)
        answered = exchange.verdict is platform.Verdict.ANSWER
        self._knowledge.observe(known, answered, self._clock())
        return _Answered(exchange.head, exchange.verdict, body)


@attrs.frozen
class _Answered:
    """A whole answer of an endpoint."""

    head: http1.ResponseHead
    verdict: platform.Verdict
    body: bytes


def _answer(responder: http1.Responder, answered: _Answered) -> None:
    head = answered.head
    responder.send(head.status, platform.passed_on(head), answered.body)


def _note_tried(journey: _work.Journey, known: _knowledge.Known) -> None:
    journey.tried.append(known.endpoint.endpoint_id)
    journey.attempts += 1
