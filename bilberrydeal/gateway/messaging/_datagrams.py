"""Datagrams between gateways.

Most carry a hint or repeat state of their sender, so that the next one makes
up for a lost one. An origin of a stream is sent once; it never changes, and
what is lost is asked for or read from the store.
"""

import asyncio
import collections.abc
import typing

import attrs
import msgspec

from ... import decoding
from ... import telemetry
from ...systems import placement
from ...systems import quarantine
from ...systems import quotas
from . import _quarantine_wire

LOG = telemetry.logger("datagrams")

#: Bytes of the Ethernet, IP and UDP headers of a packet.
PACKET_HEADER_BYTES = 42

#: Flags of a prefill: whether the engine only prefilled, whether it had a
#: queue, and whether the prefill was not finished.
_SEPARATE = 1
_QUEUED = 2
_UNFINISHED = 4

#: Host and port at which a gateway receives datagrams.
Address = tuple[str, int]
#: Returns the addresses of all other gateways, or of some recipients.
Peers = collections.abc.Callable[[], tuple[Address, ...]]


@attrs.frozen
class LoadReport:
    """Load that a gateway has in flight at the engines."""

    #: Increases with each datagram of an incarnation.
    sequence: int
    #: Load in flight by engine.
    engine_loads: tuple[placement.GatewayEngineLoad, ...]


@attrs.frozen
class WindowCounts:
    """Requests that a gateway counted in one usage window."""

    #: Number of the window.
    window: int
    #: Requests that began, by organisation.
    counts: dict[str, int]
    #: The store's clock when they were sent, in seconds.
    told_s: float


@attrs.frozen
class TableHint:
    """What a gateway knows of a table of the store."""

    #: Name of the table.
    table: str
    #: Version of the store at the last change that matters.
    changed_version: int
    #: Time since the store confirmed that there is no later one, in seconds.
    age_s: float
    #: Era of the store of that version, ``None`` if the store tells none.
    era: int | None = None


@attrs.frozen
class SettledWindow:
    """Counts of a usage window that will be, or have been, reported."""

    #: Number of the window.
    window: int
    #: Requests that began, by organisation.
    counts: dict[str, int]


@attrs.frozen
class EndpointLimitReport:
    """The request limit that an endpoint names."""

    endpoint_id: str
    #: Start of the endpoint's process, in Unix milliseconds.
    started_ms: int
    #: Requests a second of all gateways, infinite if it names no limit.
    limit_per_s: float
    #: Time since it said so, in seconds.
    age_s: float

    @property
    def valid(self) -> bool:
        """Return whether the figures can be true."""
        return self.limit_per_s >= 0.0 and self.age_s >= 0.0


@attrs.frozen
class EngineCapabilityReport:
    """The permanent factor of an engine relative to its service."""

    endpoint_id: str
    #: Start of the engine's process, in Unix milliseconds.
    started_ms: int
    #: Its times over those that are usual in its service.
    factor: float


@attrs.frozen
class StreamOriginReport:
    """What a stream is bound to."""

    #: Digest of the id of its request.
    stream: bytes
    service: str
    #: Id of the engine to which it was sent.
    endpoint_id: str
    #: Start of the engine's process, in Unix milliseconds.
    started_ms: int
    software_version: str


@attrs.frozen
class StreamOriginQuestion:
    """Asks other gateways what streams are bound to."""

    #: Address to which the answer goes.
    reply_to: str
    #: Digests of the ids of their requests.
    streams: tuple[bytes, ...]


@attrs.frozen
class Datagram:
    """A message from one gateway to others."""

    #: Incarnation of the sender.
    gateway: str
    load: LoadReport | None = None
    counts: WindowCounts | None = None
    #: Engines that are changing their roles on the sender's order.
    changing: tuple[str, ...] = ()
    #: Tables of the store as the sender knows them.
    hints: tuple[TableHint, ...] = ()
    #: What the sender tells of prompt parts that crash engines.
    news: quarantine.News | None = None
    #: Address to which the sender, which has started, asks others to send it
    #: all such news.
    asks: str = ""
    #: Usage windows that the sender settled.
    settled: tuple[SettledWindow, ...] = ()
    #: Request limits that endpoints name.
    limits: tuple[EndpointLimitReport, ...] = ()
    #: Quotas of organisations.
    quota: quotas.Message | None = None
    #: Permanent factors of engines.
    capabilities: tuple[EngineCapabilityReport, ...] = ()
    #: What streams are bound to.
    origins: tuple[StreamOriginReport, ...] = ()
    #: Streams of which the sender asks this.
    origin_question: StreamOriginQuestion | None = None
    #: Whether the store has taken a row of the sender again, which others may
    #: have taken for dead.
    rejoined: bool = False


class _WireEngineLoad(msgspec.Struct, array_like=True):
    """The load of an engine, encoded without field names to save bytes."""

    engine_id: str
    urgent_tokens: int
    deferred_tokens: int
    requests: list[int]
    prompts: list[list[tuple[bytes, int]]]
    #: Prefills: flags, tokens and microseconds.
    samples: list[tuple[int, int, int]] = []


class _WireDatagram(msgspec.Struct, array_like=True):
    """A datagram as encoded; a sequence of 0 means that it has no load."""

    gateway: str
    sequence: int
    engine_loads: list[_WireEngineLoad]
    counts: WindowCounts | None
    changing: tuple[str, ...]
    hints: tuple[TableHint, ...] = ()
    news: _quarantine_wire.WireNews | None = None
    asks: str = ""
    settled: tuple[SettledWindow, ...] = ()
    limits: tuple[EndpointLimitReport, ...] = ()
    quota: quotas.Message | None = None
    #: Engine, start of its process in Unix milliseconds, and factor.
    capabilities: list[tuple[str, int, float]] = []
    #: Stream, service, engine, start of its process in Unix milliseconds, and
    #: software version.
    origins: list[tuple[bytes, str, str, int, str]] = []
    #: Address to which the answer goes, and streams.
    origin_question: tuple[str, list[bytes]] | None = None
    rejoined: bool = False


def _to_wire(datagram: Datagram) -> _WireDatagram:
    load = datagram.load or LoadReport(0, ())
    return _WireDatagram(
        datagram.gateway,
        load.sequence,
        [
            _WireEngineLoad(
                engine_load.engine_id,
                engine_load.urgent_tokens,
                engine_load.deferred_tokens,
                engine_load.requests,
                [_parts(prompt) for prompt in engine_load.prompts],
                [_sample_to_wire(each) for each in engine_load.samples],
            )
            for engine_load in load.engine_loads
        ],
        datagram.counts,
        datagram.changing,
        datagram.hints,
        _quarantine_wire.to_wire(datagram.news),
        datagram.asks,
        datagram.settled,
        datagram.limits,
        datagram.quota,
        [
            (report.endpoint_id, report.started_ms, report.factor)
            for report in datagram.capabilities
        ],
        [
            (
                report.stream,
                report.service,
                report.endpoint_id,
                report.started_ms,
                report.software_version,
            )
            for report in datagram.origins
        ],
        _question_to_wire(datagram.origin_question),
        datagram.rejoined,
    )


def _question_to_wire(
    question: StreamOriginQuestion | None,
) -> tuple[str, list[bytes]] | None:
    if question is None:
        return None
    return question.reply_to, list(question.streams)


def _question_from_wire(
    wire: tuple[str, list[bytes]] | None,
) -> StreamOriginQuestion | None:
    if wire is None:
        return None
    reply_to, asked = wire
    return StreamOriginQuestion(reply_to, tuple(asked))


def _parts(prompt: placement.Prompt) -> list[tuple[bytes, int]]:
    return [(part.part_id, part.tokens) for part in prompt.parts]


def _from_wire(wire: _WireDatagram) -> Datagram:
    engine_loads = tuple(
        placement.GatewayEngineLoad(
            engine_load.engine_id,
            engine_load.urgent_tokens,
            engine_load.deferred_tokens,
            engine_load.requests,
            tuple(map(_prompt, engine_load.prompts)),
            tuple(map(_sample_from_wire, engine_load.samples)),
        )
        for engine_load in wire.engine_loads
    )
    load = LoadReport(wire.sequence, engine_loads) if wire.sequence else None
    return Datagram(
        wire.gateway,
        load,
        wire.counts,
        wire.changing,
        wire.hints,
        _quarantine_wire.from_wire(wire.news),
        wire.asks,
        settled=wire.settled,
        limits=wire.limits,
        quota=wire.quota,
        capabilities=tuple(
            EngineCapabilityReport(*each) for each in wire.capabilities
        ),
        origins=tuple(StreamOriginReport(*each) for each in wire.origins),
        origin_question=_question_from_wire(wire.origin_question),
        rejoined=wire.rejoined,
    )


def _prompt(parts: list[tuple[bytes, int]]) -> placement.Prompt:
    return placement.Prompt(
        tuple(placement.PromptPart(*part) for part in parts), 0
    )


def _sample_to_wire(
    measured: placement.PrefillSample,
) -> tuple[int, int, int]:
    sample = measured.sample
    flags = (
        measured.separate * _SEPARATE
        + sample.queued * _QUEUED
        + (not measured.finished) * _UNFINISHED
    )
    return (flags, int(sample.tokens), int(sample.took_s * 1e6))


def _sample_from_wire(
    wire: tuple[int, int, int],
) -> placement.PrefillSample:
    flags, tokens, took_us = wire
    sample = placement.TimeSample(
        max(tokens, 0), max(took_us, 0) / 1e6, bool(flags & _QUEUED)
    )
    return placement.PrefillSample(
        bool(flags & _SEPARATE), sample, not flags & _UNFINISHED
    )


Handler = collections.abc.Callable[[Datagram], None]


class Datagrams(asyncio.DatagramProtocol):
    """Sends datagrams and dispatches received ones to all handlers."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_WireDatagram)
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: list[Handler] = []

    def subscribe(self, handler: Handler) -> None:
        """Register a handler for received datagrams."""
        self._handlers.append(handler)

    async def listen(self, host: str, port: int) -> None:
        """Bind the socket and start to receive datagrams."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def send(
        self,
        datagram: Datagram,
        addresses: collections.abc.Iterable[Address],
    ) -> int:
        """Send a datagram to gateways; return the total bytes on the wire."""
        if self._transport is None:
            return 0
        data = self.encode(datagram)
        sent_bytes = 0
        for address in addresses:
            self._transport.sendto(data, address)
            sent_bytes += len(data) + PACKET_HEADER_BYTES
        return sent_bytes

    def encode(self, datagram: Datagram) -> bytes:
        """Return a datagram as bytes."""
        return self._encoder.encode(_to_wire(datagram))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Decode a datagram and pass it to all handlers."""
        try:
            datagram = _from_wire(self._decoder.decode(data))
        except decoding.DECODE_ERRORS as error:
            LOG.warning(
                "Datagram unreadable.", sender=addr[0], reason=str(error)
            )
            return
        for handler in self._handlers:
            try:
                handler(datagram)
            except Exception:
                # One datagram must not end the process nor other handlers.
                LOG.exception("Datagram not handled.", sender=addr[0])
