"""Tells other gateways what streams are bound to, and asks them."""

import asyncio
import collections.abc

import attrs

from ... import decoding
from ... import telemetry
from ...systems import limits
from .. import core
from .. import messaging
from . import _memory
from . import _version_history

LOG = telemetry.logger("origins")
#: Other gateways that are told of a stream.
REPLICAS = 8
#: Most streams of a service that are told of at a time.
ANNOUNCED_AT_ONCE = 100
#: Other gateways that are asked again: lists of gateways differ for a while
#: after some have started or ended.
ASKED_AGAIN = 16
#: Share of the wait for an answer after which a question is asked again.
ASK_AGAIN_SHARE = 1 / 3
#: Most streams of which a gateway asks at a time.
WAITING_LIMIT = 1_000
#: Most streams of one received announcement or question; the others are
#: dropped.
MESSAGE_STREAMS_LIMIT = 8
#: Most streams of which a gateway answers questions a second.
ANSWERS_PER_S = 1_000.0
#: Most characters of a text of an announcement that is received.
TEXT_LIMIT = 200
#: Shortest interval between log lines that tell of too many questions, in
#: seconds.
LOG_INTERVAL_S = 1.0

Clock = collections.abc.Callable[[], float]


@attrs.frozen
class OriginPeers:
    """How a gateway reaches the others."""

    datagrams: messaging.Datagrams
    #: Address at which this gateway receives datagrams.
    address: str
    #: Returns the addresses of all others by incarnation, ``None`` until they
    #: are known.
    others: collections.abc.Callable[
        [], collections.abc.Mapping[str, str] | None
    ]


@attrs.define(eq=False)
class _Waiting:
    """Requests that wait for the answer to one question."""

    answer: asyncio.Future[core.StreamOrigin]
    count: int = 0


class OriginAnnouncer:
    """Keeps the origins of streams at several gateways.

    Each stream has its own order of all gateways, and the first of them are
    told what it is bound to before its first event is sent. So a gateway that
    is asked to resume it knows which others to ask. A stream's version never
    changes once it was announced: an old copy is as good as a new one.

    Example::

        memory.note(b"r1", origin, now_s)
        announcer.announce(now_s)
        origin = await announcer.ask(_memory.digest(b"r1"), 0.15)
    """

    def __init__(
        self,
        peers: OriginPeers,
        gateway: str,
        memory: _memory.OriginMemory,
        history: _version_history.VersionHistory,
        metrics: core.GatewayMetrics,
        clock: Clock,
    ) -> None:
        self._peers = peers
        self._gateway = gateway
        self._memory = memory
        self._history = history
        self._metrics = metrics
        self._clock = clock
        #: Open questions by the stream's digest.
        self._waiting: dict[str, _Waiting] = {}
        #: Answers that may be given now.
        self._answers = limits.Bucket(ANSWERS_PER_S, clock())
        #: Questions that were not answered since the last log line.
        self._dropped = 0
        self._logged_s = float("-inf")
        peers.datagrams.subscribe(self._on_datagram)

    def announce(self, now_s: float) -> None:
        """Tell others of streams that began, while several versions serve.

        Streams that began before the second version came are told then, and
        those that began before the others were known once they are.
        """
        if not self._peers.others():
            return
        for service in self._history.mixed_services(now_s):
            waiting = self._memory.unannounced(
                service, now_s, ANNOUNCED_AT_ONCE
            )
            for stream, origin in waiting:
                self._announce_stream(stream, origin)

    def _announce_stream(self, stream: str, origin: core.StreamOrigin) -> None:
        recipients = self._ranked(stream, REPLICAS)
        self._send(recipients, origins=(_report(stream, origin),))
        self._metrics.count_origin_message("announced")

    async def ask(
        self, stream: str, limit_s: float
    ) -> core.StreamOrigin | None:
        """Return what others say that a stream is bound to.

        Returns ``None`` if none has said so within a time, or there are none.
        """
        if limit_s <= 0.0 or not self._ranked(stream, 1):
            return None
        waiting = self._waiting.get(stream)
        asks = waiting is None
        if waiting is None:
            if len(self._waiting) >= WAITING_LIMIT:
                self._metrics.count_origin_message("not asked")
                return None
            loop = asyncio.get_running_loop()
            waiting = _Waiting(loop.create_future())
            self._waiting[stream] = waiting
        waiting.count += 1
        try:
            return await self._answer(stream, waiting, asks, limit_s)
        finally:
            waiting.count -= 1
            if not waiting.count:
                del self._waiting[stream]

    async def _answer(
        self, stream: str, waiting: _Waiting, asks: bool, limit_s: float
    ) -> core.StreamOrigin | None:
        """Wait for an answer; with ``asks`` send the question first."""
        first_s = limit_s * ASK_AGAIN_SHARE
        for wait_s, count in (
            (first_s, REPLICAS),
            (limit_s - first_s, ASKED_AGAIN),
        ):
            if asks and wait_s > 0.0:
                self._send_question(stream, count)
            await asyncio.wait([waiting.answer], timeout=wait_s)
            if waiting.answer.done():
                self._metrics.count_origin_message("told")
                return waiting.answer.result()
        self._metrics.count_origin_message("not told")
        if asks:
            LOG.info(
                "Origin not told.",
                stream=stream,
                gateways=len(self._peers.others() or ()),
                waited_s=round(limit_s, 3),
            )
        return None

    def _send_question(self, stream: str, count: int) -> None:
        question = messaging.StreamOriginQuestion(
            self._peers.address, (bytes.fromhex(stream),)
        )
        self._send(self._ranked(stream, count), origin_question=question)
        self._metrics.count_origin_message("asked")

    def _ranked(self, stream: str, count: int) -> list[messaging.Address]:
        """Return the addresses of the first gateways for a stream."""
        others = self._peers.others()
        if not others:
            return []
        return [
            decoding.split_address(others[incarnation])
            for incarnation in limits.first_entries(
                stream, tuple(others), count
            )
        ]

    def _send(
        self,
        recipients: collections.abc.Iterable[messaging.Address],
        origins: tuple[messaging.StreamOriginReport, ...] = (),
        origin_question: messaging.StreamOriginQuestion | None = None,
    ) -> None:
        self._peers.datagrams.send(
            messaging.Datagram(
                self._gateway,
                origins=origins,
                origin_question=origin_question,
            ),
            recipients,
        )

    def _on_datagram(self, datagram: messaging.Datagram) -> None:
        for report in datagram.origins[:MESSAGE_STREAMS_LIMIT]:
            if _is_valid(report):
                self._learn(report)
        if datagram.origin_question is not None:
            self._reply(datagram.origin_question)

    def _learn(self, report: messaging.StreamOriginReport) -> None:
        stream = report.stream.hex()
        origin = core.StreamOrigin(
            report.service,
            report.endpoint_id,
            report.started_ms,
            report.software_version,
        )
        self._memory.learn_stream(stream, origin, self._clock())
        self._metrics.count_origin_message("learned")
        waiting = self._waiting.get(stream)
        if waiting is not None and not waiting.answer.done():
            waiting.answer.set_result(origin)

    def _reply(self, question: messaging.StreamOriginQuestion) -> None:
        """Send what is known of the streams of a question."""
        now_s = self._clock()
        asked = question.streams[:MESSAGE_STREAMS_LIMIT]
        if not self._take_answers(len(asked), now_s):
            return
        known = []
        for each in asked:
            origin = self._memory.find_stream(each.hex(), now_s)
            if origin is not None:
                known.append(_report(each.hex(), origin))
        if not known:
            return
        try:
            recipient = decoding.split_address(question.reply_to)
        except decoding.AddressInvalid as error:
            LOG.warning("Asking gateway unreachable.", reason=str(error))
            return
        self._send((recipient,), origins=tuple(known))
        self._metrics.count_origin_message("answered")

    def _take_answers(self, count: int, now_s: float) -> bool:
        """Return whether so many streams may be looked up now."""
        self._answers.refill(ANSWERS_PER_S, ANSWERS_PER_S, now_s)
        if self._answers.level >= count:
            self._answers.level -= count
            return True
        self._metrics.count_origin_message("not answered")
        self._dropped += 1
        if now_s - self._logged_s >= LOG_INTERVAL_S:
            LOG.warning(
                "Questions for origins not answered.", count=self._dropped
            )
            self._logged_s = now_s
            self._dropped = 0
        return False


def _report(
    stream: str, origin: core.StreamOrigin
) -> messaging.StreamOriginReport:
    return messaging.StreamOriginReport(
        bytes.fromhex(stream),
        origin.service,
        origin.endpoint_id,
        origin.started_ms,
        origin.software_version,
    )


def _is_valid(report: messaging.StreamOriginReport) -> bool:
    """Return whether a report can be true, and isn't large."""
    texts = (report.service, report.endpoint_id, report.software_version)
    return (
        len(report.stream) == _memory.DIGEST_BYTES
        and bool(report.service)
        and report.started_ms >= 0
        and all(len(each) <= TEXT_LIMIT for each in texts)
    )
