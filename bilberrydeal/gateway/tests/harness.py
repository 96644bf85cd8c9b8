"""Runs a gateway's request path on loopback with scripted endpoints."""

import asyncio
import collections.abc
import contextlib
import random
import re
import time
import typing

import attrs

from ... import catalogue
from ... import http1
from ... import periodic
from ... import ports
from ... import settings
from ... import store
from ... import telemetry
from ...systems import health
from ...systems import placement
from ...systems import quarantine
from ...systems import quotas
from ...systems import retries
from .. import _uplink
from .. import core
from .. import origins
from ..accounting import _usage
from ..cluster_state import _cluster_state
from ..cluster_state import _store_sync
from ..core import _metrics
from ..messaging import _datagrams
from ..quotas import _service
from ..sending import _quarantine
from ..sending import _retry_policy
from ..sending import _sending
from ..serving import _admission
from ..serving import _plain
from ..serving import _request_handler
from ..streams import _stream
from . import memory

KEY = b"k1"
#: Prompt parts of streaming requests in tests, as id and tokens.
PARTS = b"aa:2000,bb:3000,cc:1000"

Script = collections.abc.Callable[
    ["Call"], collections.abc.Awaitable[bytes | None]
]


@attrs.frozen
class Call:
    """A request as an endpoint received it."""

    endpoint_id: str
    head: bytes
    body: bytes
    writer: asyncio.StreamWriter

    def field(self, name: str) -> bytes | None:
        """Return the value of a header field."""
        found = re.search(
            rb"(?mi)^" + name.encode() + rb": ?([^\r\n]*)", self.head
        )
        return found.group(1) if found else None

    @property
    def request_id(self) -> bytes:
        """Return the id of the request."""
        return self.field("request-id") or b""

    @property
    def prefill(self) -> bool:
        """Return whether the request is a prefill."""
        return self.field("serving-stage") == b"prefill"

    async def send(self, data: bytes) -> None:
        """Send a part of the response ahead of the rest."""
        self.writer.write(data)
        await self.writer.drain()


@attrs.define(eq=False)
class Endpoint:
    """An endpoint whose responses are scripted."""

    endpoint_id: str
    script: Script
    role: ports.EngineRole | None = None
    service: str = "shop"
    software_version: str = ""
    port: int = 0
    calls: list[Call] = attrs.field(factory=list)
    #: Requests whose connection was closed before their response was complete.
    aborted_count: int = 0
    arrived: asyncio.Event = attrs.field(factory=asyncio.Event)
    disconnected: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve connections until the caller or the test ends them."""
        try:
            await self._serve_requests(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.transport.abort()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head)
            size = int(length.group(1)) if length else 0
            body = await reader.readexactly(size)
            call = Call(self.endpoint_id, head, body, writer)
            self.calls.append(call)
            self.arrived.set()
            response = await self._respond(reader, call)
            if response is None:
                return
            writer.write(response)
            await writer.drain()

    async def _respond(
        self, reader: asyncio.StreamReader, call: Call
    ) -> bytes | None:
        """Return the script's response; detect a caller that disconnects."""
        script = asyncio.ensure_future(self.script(call))
        disconnected = asyncio.ensure_future(reader.read(1))
        await asyncio.wait(
            [script, disconnected], return_when=asyncio.FIRST_COMPLETED
        )
        aborted = not script.done()
        script.cancel()
        disconnected.cancel()
        # Both may also fail because the caller has reset the connection.
        result, _read = await asyncio.gather(
            script, disconnected, return_exceptions=True
        )
        if aborted:
            self.aborted_count += 1
            self.disconnected.set()
            return None
        if isinstance(result, BaseException):
            raise result
        return result


def signed_response(
    call: Call, status: int = 200, body: bytes = b"ok", **fields: str
) -> bytes:
    """Return a signed response to a call."""
    lines = [
        b"HTTP/1.1 %d X" % status,
        b"request-id: " + call.request_id,
        b"server-signature: s." + call.endpoint_id.encode(),
        b"content-length: %d" % len(body),
    ]
    for name, value in fields.items():
        lines.append(f"{name.replace('_', '-')}: {value}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def not_run(call: Call, status: int = 503) -> bytes:
    """Return the response of an endpoint that did not run a call."""
    return (
        b"HTTP/1.1 %d X\r\nrequest-id: %b\r\nnot-executed: 1\r\n"
        b"content-length: 0\r\n\r\n" % (status, call.request_id)
    )


def stream_head(call: Call) -> bytes:
    """Return the response head of a signed stream."""
    return (
        b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\nserver-signature: s.%b\r\n"
        b"content-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
        % (call.request_id, call.endpoint_id.encode())
    )


def chunk(data: bytes) -> bytes:
    """Return data in chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return one server-sent event."""
    return b"id: %d\ndata: e%d\n\n" % (number, number)


def rest_of_stream(first: int, last: int) -> bytes:
    """Return the events from ``first`` to ``last`` and the stream's end."""
    events = b"".join(chunk(event(n)) for n in range(first, last + 1))
    return events + chunk(b"")


def complete_stream(call: Call, first: int, last: int) -> bytes:
    """Return a complete stream of events from ``first`` to ``last``."""
    return stream_head(call) + rest_of_stream(first, last)


def handle(call: Call) -> bytes:
    """Return the response to a prefill, with a KV handle."""
    return signed_response(
        call, body=b'{"kv_handle":"h%b","tokens":1}' % call.request_id
    )


@attrs.frozen
class Reply:
    """A response as a caller received it."""

    status: int
    head: bytes
    body: bytes
    #: Whether the response is complete according to its framing.
    complete: bool

    def field(self, name: str) -> bytes | None:
        """Return the value of a header field."""
        found = re.search(
            rb"(?mi)^" + name.encode() + rb": ?([^\r\n]*)", self.head
        )
        return found.group(1) if found else None


@attrs.define(eq=False)
class RequestPath:
    """A running request path, and a client for it."""

    quota: _service.Quotas
    cluster: _cluster_state.ClusterState
    budget: retries.WindowBudget
    server: http1.HttpServer
    usage_counter: "FakeUsageCounter"
    quarantine: _quarantine.RequestQuarantine
    shutdown: core.ShutdownState
    origins: origins.Origins
    last_id: int = 0

    async def send(
        self,
        path: str = "/once/1",
        method: str = "POST",
        body: bytes = b"b",
        deadline_ms: int = 2000,
        wait_s: float = 4.0,
        piece_bytes: int = 0,
        pause_s: float = 0.0,
        **fields: str,
    ) -> Reply:
        """Send one request and return the response.

        With a ``piece_bytes`` it is sent in pieces, with pauses between them.
        """
        self.last_id += 1
        headers = {
            "host": "h.example",
            "request-id": f"r{self.last_id}",
            "key": KEY.decode(),
            "deadline-ms": str(deadline_ms),
            "connection": "close",
            "content-length": str(len(body)),
            **{name.replace("_", "-"): v for name, v in fields.items()},
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )
        size = piece_bytes or len(data)
        try:
            for start in range(0, len(data), size):
                writer.write(data[start : start + size])
                await asyncio.sleep(pause_s)
            async with asyncio.timeout(wait_s):
                received = await reader.read()
        finally:
            writer.close()
        return _reply(received)

    async def stream(
        self, path: str = "/chat/1", **fields: typing.Any
    ) -> Reply:
        """Send a streaming request."""
        headers = {
            "token_usage": "6000,10",
            "prefix_hash": PARTS.decode(),
            **fields,
        }
        return await self.send(path, **headers)

    def set_peer_tokens(self, engine_id: str, tokens: int) -> None:
        """Let other gateways have sent so many tokens to an engine.

        It is chosen after those with fewer tokens.
        """
        load = self.cluster.load_of(engine_id)
        assert load is not None
        load.peer_tokens.urgent = tokens


def _reply(received: bytes) -> Reply:
    head, _blank, rest = received.partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    if b"transfer-encoding: chunked" in head:
        body = b""
        while True:
            size_text, _end, rest = rest.partition(b"\r\n")
            if not size_text:
                return Reply(status, head, body, False)
            size = int(size_text, 16)
            if size == 0:
                return Reply(status, head, body, True)
            body += rest[:size]
            rest = rest[size + 2 :]
    found = re.search(rb"content-length: (\d+)", head)
    length = int(found.group(1)) if found else -1
    return Reply(status, head, rest, length == len(rest))


class FakeUsageCounter(_usage.UsageCounter):
    """Counts requests by organisation, without windows."""

    def __init__(self) -> None:
        self.by_organisation: dict[str, int] = {}

    def count(self, organisation: str | None) -> None:
        """Count a request."""
        if organisation is not None:
            before = self.by_organisation.get(organisation, 0)
            self.by_organisation[organisation] = before + 1


def route(
    path_prefix: bytes,
    kind: catalogue.RouteKind,
    max_attempts: int,
    service: str,
    resumable: bool = False,
    public: bool = False,
    timeout_s: float = 2.0,
) -> catalogue.Route:
    """Return a route with defaults for tests."""
    return catalogue.Route(
        name=path_prefix.strip(b"/").decode(),
        host=b"h.example",
        path_prefix=path_prefix,
        kind=kind,
        max_attempts=max_attempts,
        timeout_s=timeout_s,
        target_latency_s=0.5,
        priority=1,
        splits=(catalogue.TrafficSplit(service, 1.0),),
        public=public,
        resumable=resumable,
        target_gap_s=0.2,
        stall_limit_s=2.0,
    )


_KINDS = catalogue.RouteKind
ROUTES = (
    route(b"/once/", _KINDS.ONCE, 2, "shop"),
    route(b"/once-one/", _KINDS.ONCE, 1, "shop"),
    route(b"/read/", _KINDS.IDEMPOTENT, 2, "shop"),
    route(b"/read-one/", _KINDS.IDEMPOTENT, 1, "shop"),
    route(b"/open/", _KINDS.IDEMPOTENT, 2, "shop", public=True),
    route(b"/brief/", _KINDS.ONCE, 1, "shop", timeout_s=0.2),
    route(b"/chat/", _KINDS.STREAM, 2, "llm", resumable=True),
    route(
        b"/chat-long/",
        _KINDS.STREAM,
        2,
        "llm",
        resumable=True,
        timeout_s=10.0,
    ),
    route(b"/chat-once/", _KINDS.STREAM, 2, "llm"),
    route(b"/chat-one/", _KINDS.STREAM, 1, "llm"),
)


def configuration(version: int = 1) -> catalogue.Configuration:
    """Return a configuration with a route of each kind."""
    return catalogue.Configuration(
        version=version,
        routes=ROUTES,
        services={
            "shop": catalogue.Service("shop", "/healthz", 40, None),
            "llm": catalogue.Service(
                "llm",
                "/healthz",
                40,
                catalogue.EngineLimits(
                    slots=16,
                    kv_capacity_tokens=1_000_000,
                    kv_token_bytes=160_000,
                    kv_link_mbps=1_600_000.0,
                    kv_hold_s=5.0,
                    role_switch_s=3.0,
                ),
            ),
        },
        limits=catalogue.CallerLimits(16_384, 1_000_000, 3.0, 15.0),
        organisations={KEY: catalogue.Organisation("o1", None)},
    )


def new_quarantine(
    system: str,
    clock: collections.abc.Callable[[], float],
    datagrams: _datagrams.Datagrams,
    name: str = "g1",
    peers: tuple[_datagrams.Address, ...] = (),
    may_probe: bool = False,
    metrics: _metrics.GatewayMetrics | None = None,
) -> _quarantine.RequestQuarantine:
    """Return the quarantine of a gateway."""
    return _quarantine.RequestQuarantine(
        quarantine.QUARANTINES.get(system)(),
        datagrams,
        name,
        "127.0.0.1:1",
        lambda: peers,
        lambda: may_probe,
        metrics or _metrics.GatewayMetrics(),
        random.Random(1),
        clock,
    )


def new_quotas(
    cluster: _cluster_state.ClusterState,
    datagrams: _datagrams.Datagrams,
    name: str = "g1",
    others: collections.abc.Mapping[str, str] | None = None,
    metrics: _metrics.GatewayMetrics | None = None,
    clock: collections.abc.Callable[[], float] = time.monotonic,
) -> _service.Quotas:
    """Return the quotas of a gateway."""
    listing = _service.Listing(others or {}, True, 1e9, 9.0)
    return _service.Quotas(
        datagrams,
        cluster,
        name,
        "127.0.0.1:1",
        lambda: listing,
        quotas.FallbackBounds(8.0, 0.1, 120_000.0),
        metrics or _metrics.GatewayMetrics(),
        clock,
    )


def new_origins(
    table: memory.MemoryStore,
    name: str,
    cluster: _cluster_state.ClusterState,
    metrics: _metrics.GatewayMetrics,
    clock: collections.abc.Callable[[], float],
) -> origins.Origins:
    """Return what a gateway knows, stores and reads of streams."""
    return origins.Origins(
        store.StoreClient(table, 0.1, 1_000.0, era=lambda: table.era),
        name,
        cluster,
        metrics,
        clock,
        lambda: True,
        clock,
    )


@contextlib.asynccontextmanager
async def running(
    *endpoints: Endpoint,
    uplink_mbps: float = 1_000.0,
    trace: settings.TraceSettings | None = None,
    datagrams: _datagrams.Datagrams | None = None,
    name: str = "g1",
    peers: tuple[_datagrams.Address, ...] = (),
    may_probe: bool = False,
    table: memory.MemoryStore | None = None,
) -> collections.abc.AsyncIterator[RequestPath]:
    """Run the request path with some endpoints, on the time of the loop."""
    clock = asyncio.get_running_loop().time
    cluster = _cluster_state.ClusterState(health.HEALTH.get("outlier")(1))
    cluster.set_configuration(configuration())
    cluster.endpoints_loaded = True
    cluster.set_gateways(name, ())
    servers = []
    for endpoint in endpoints:
        listening = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
        servers.append(listening)
        endpoint.port = listening.sockets[0].getsockname()[1]
        cluster.set_endpoint(registration(endpoint))
    usage_counter = FakeUsageCounter()
    budget = retries.WindowBudget(retries.WindowLimits(10.0, 0.2, 58.0))
    retry_policy = _retry_policy.RetryPolicy(cluster, budget, clock)
    uplink = _uplink.Uplink(uplink_mbps, clock)
    tracing = telemetry.Tracing(trace or settings.TraceSettings(), "gateway")
    metrics = _metrics.GatewayMetrics()
    shutdown = core.ShutdownState()
    request_quarantine = new_quarantine(
        "crash_counts",
        clock,
        datagrams or _datagrams.Datagrams(),
        name,
        peers,
        may_probe,
        metrics,
    )
    quota = new_quotas(
        cluster, datagrams or _datagrams.Datagrams(), name, clock=clock
    )
    stream_origins = new_origins(
        table or memory.MemoryStore(), name, cluster, metrics, clock
    )
    sender = _sending.Sender(
        cluster, retry_policy, uplink, tracing, request_quarantine, clock
    )
    handler = _request_handler.RequestHandler(
        admission=_admission.Admission(cluster, random.Random(1)),
        cluster=cluster,
        plain=_plain.PlainServer(
            cluster,
            sender,
            retry_policy,
            usage_counter,
            "d1",
            request_quarantine,
            clock,
        ),
        stream=_stream.StreamServer(
            cluster,
            sender,
            retry_policy,
            usage_counter,
            placement.PLACERS.get("two_stage")(),
            uplink,
            "d1",
            request_quarantine,
            stream_origins.resolver,
            clock,
        ),
        retry_policy=retry_policy,
        quota=quota,
        metrics=metrics,
        tracing=tracing,
        connectivity=_store_sync.StoreConnectivity(clock()),
        shutdown=shutdown,
        clock=clock,
    )
    limits = http1.ServerLimits(16_384, 1_000_000, 3.0, 15.0)
    server = http1.HttpServer(handler.handle, lambda: limits, clock)
    await server.listen("127.0.0.1", 0)
    deciding = asyncio.ensure_future(
        periodic.run_periodically(
            "quarantine",
            lambda: _quarantine.QUARANTINE_INTERVAL_S,
            request_quarantine.run_once,
        )
    )
    try:
        yield RequestPath(
            quota,
            cluster,
            budget,
            server,
            usage_counter,
            request_quarantine,
            shutdown,
            stream_origins,
        )
    finally:
        deciding.cancel()
        server.stop_accepting()
        server.abort()
        tracing.close()
        for server_socket in servers:
            server_socket.close()


def registration(endpoint: Endpoint, ready: bool = True) -> catalogue.Endpoint:
    """Return the registration of an endpoint."""
    return catalogue.Endpoint(
        endpoint_id=endpoint.endpoint_id,
        service=endpoint.service,
        host="127.0.0.1",
        port=endpoint.port,
        failure_domain="d1",
        slots=16,
        ready=ready,
        role=endpoint.role,
        started_ms=1,
        software_version=endpoint.software_version,
    )


def plain(endpoint_id: str, script: Script) -> Endpoint:
    """Return an endpoint of a plain service."""
    return Endpoint(endpoint_id, script)


def engine(endpoint_id: str, role: str, script: Script) -> Endpoint:
    """Return an engine of a role."""
    return Endpoint(endpoint_id, script, ports.EngineRole(role), "llm")
