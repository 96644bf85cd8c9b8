"""Gateways on virtual time, and engines that crash and start again."""

import asyncio
import bisect
import collections
import collections.abc
import ipaddress
import math
import random
import zlib

import attrs

from ... import catalogue
from ... import errors
from ... import http1
from ... import periodic
from ... import settings
from ... import telemetry
from ...systems import health
from ...systems import placement
from ...systems import quarantine
from ...systems import retries
from .. import _uplink
from ..cluster_state import _cluster_state
from ..core import _metrics
from ..core import _requests
from ..messaging import _datagrams
from ..peer_exchange import _limit_broadcast
from ..sending import _quarantine
from ..sending import _retry_policy
from ..sending import _sending
from ..serving import _plain
from ..streams import _stream
from . import configurations
from . import harness
from . import memory
from . import scripted

SERVICE = "llm"
LIMITS = retries.WindowLimits(window_s=10.0, ratio=0.2, base_allowance=52.0)
#: Time to open a connection, or to learn that it is refused, in seconds.
CONNECT_S = 0.001
#: Time from the start of a run until it crashes its engine, in seconds.
CRASH_S = 0.02
#: Time between two events of a stream that crashes its engine, in seconds.
EVENT_PAUSE_S = 0.15
#: Time from a crash until the registration is gone, in seconds.
LEASE_S = 2.6
#: Time of a prefill and until the first event of a stream, in seconds.
PREFILL_S = 0.3
DECODE_S = 0.05
ORGANISATION = catalogue.Organisation("o1", None)


@attrs.frozen
class Arrival:
    """A request that reached an engine."""

    at_s: float
    request_id: bytes
    prefill: bool
    #: Gateway that sent it.
    gateway: str
    #: Engine that it reached.
    engine: str


@attrs.define
class Traffic:
    """What callers sent and what reached engines."""

    #: When each request was sent, in order.
    requests: list[float] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    #: Requests by the status of their response.
    statuses: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )

    def extra_arrivals(self) -> list[float]:
        """Return when arrivals beyond a prefill and a decode occurred."""
        seen = set()
        extra = []
        for arrival in self.arrivals:
            key = (arrival.request_id, arrival.prefill)
            if key in seen:
                extra.append(arrival.at_s)
            seen.add(key)
        return extra

    def excess(self) -> float:
        """Return by how much the fullest window exceeds the allowance."""
        extra = self.extra_arrivals()
        return max(
            (
                _count(extra, at_s)
                - LIMITS.ratio * _count(self.requests, at_s)
                - LIMITS.base_allowance
                for at_s in extra
            ),
            default=0.0,
        )


def _count(times: list[float], from_s: float) -> int:
    """Return how many times are in the window that begins at ``from_s``."""
    end = bisect.bisect_right(times, from_s + LIMITS.window_s)
    return end - bisect.bisect_left(times, from_s)


@attrs.define(eq=False)
class Engine:
    """A scripted engine process."""

    endpoint: catalogue.Endpoint
    traffic: Traffic
    crashed: asyncio.Event = attrs.field(factory=asyncio.Event)
    #: Body of requests that crash it once it begins to run them.
    crashing_body: bytes | None = None
    #: Time from the start of a run until it crashes the engine, in seconds.
    crash_s: float = CRASH_S
    #: Time from which on they do so, and are answered before.
    crashes_from_s: float = 0.0
    #: Requests a second that it says it takes, infinite if it says nothing.
    limit_per_s: float = math.inf
    #: When it first named a limit to each gateway.
    told_s: dict[str, float] = attrs.field(factory=dict)

    def response_headers(
        self, gateway: str, now_s: float
    ) -> tuple[http1.Header, ...]:
        """Return the headers of a response to a gateway."""
        signature = (b"server-signature", b"s")
        if math.isinf(self.limit_per_s):
            return (signature,)
        self.told_s.setdefault(gateway, now_s)
        return (signature, (b"server-limit", b"%.1f" % self.limit_per_s))


class Connection:
    """A connection to a scripted engine."""

    def __init__(self, engine: Engine, gateway: str) -> None:
        self.done = True
        self._gateway = gateway
        self.responding = False
        self.delimited_by_eof = False
        self.reused = False
        self._engine = engine
        self._prefill = False
        self._chunks = [b"", scripted.event(1)]
        self._crashing = False
        self._last_event = 0

    def send(self, head: bytes, body: bytes, request_id: bytes = b"") -> None:
        """Record the arrival of a request."""
        self.done = False
        self._prefill = b"serving-stage: prefill" in head.lower()
        if request_id:
            now_s = asyncio.get_running_loop().time()
            self._engine.traffic.arrivals.append(
                Arrival(
                    now_s,
                    request_id,
                    self._prefill,
                    self._gateway,
                    self._engine.endpoint.endpoint_id,
                )
            )
        loop = asyncio.get_running_loop()
        if (
            body == self._engine.crashing_body
            and not self._prefill
            and loop.time() >= self._engine.crashes_from_s
        ):
            self._crashing = True
            loop.call_later(self._engine.crash_s, self._engine.crashed.set)

    async def head(self) -> http1.ResponseHead:
        """Return a head unless the engine crashes before."""
        if self._crashing and self._engine.endpoint.role is None:
            await self._engine.crashed.wait()
            raise http1.IncompleteResponse
        try:
            async with asyncio.timeout(
                PREFILL_S if self._prefill else DECODE_S
            ):
                await self._engine.crashed.wait()
            raise http1.IncompleteResponse
        except TimeoutError:
            self.responding = True
            now_s = asyncio.get_running_loop().time()
            return http1.ResponseHead(
                200, self._engine.response_headers(self._gateway, now_s)
            )

    async def body(self, _limit_bytes: int) -> bytes:
        """Return a KV handle."""
        self.done = True
        return b'{"kv_handle":"h","tokens":1}'

    async def chunk(self) -> bytes:
        """Return the next event, then the end."""
        if self._crashing:
            return await self._event_until_crash()
        data = self._chunks.pop()
        self.done = not data
        return data

    async def _event_until_crash(self) -> bytes:
        """Return an event now and then until the engine crashes."""
        try:
            async with asyncio.timeout(EVENT_PAUSE_S):
                await self._engine.crashed.wait()
            raise http1.IncompleteResponse
        except TimeoutError:
            self._last_event += 1
            return scripted.event(self._last_event)


class Pool(http1.Pool):
    """Opens connections to a scripted engine."""

    def __init__(self, engine: Engine, gateway: str) -> None:
        super().__init__("127.0.0.1", 1)
        self._engine = engine
        self._gateway = gateway
        self.limit = 360

    async def acquire(
        self, now_s: float, timeout_s: float = 1.0
    ) -> http1.ClientConnection:
        """Open a connection; one that has crashed refuses it."""
        self.busy += 1
        await asyncio.sleep(CONNECT_S)
        if self._engine.crashed.is_set():
            self.busy -= 1
            raise http1.NotSent("connection refused")
        return Connection(  # type: ignore[return-value]
            self._engine, self._gateway
        )

    def release(
        self, connection: http1.ClientConnection, now_s: float
    ) -> None:
        """Close a connection."""
        self.busy -= 1


class _Transport:
    """Drops what is sent to a caller."""

    def send(self, data: bytes) -> None:
        pass

    async def drain(self) -> None:
        pass

    def abort(self) -> None:
        pass

    def connection_headers(self, _keep_alive: bool) -> list[http1.Header]:
        return []


class Network:
    """Delivers datagrams between gateways, some of them late or never."""

    def __init__(self, seed: int = 1, lost_share: float = 0.1) -> None:
        self.nodes: dict[_datagrams.Address, Node] = {}
        self._random = random.Random(seed)
        self._lost_share = lost_share

    def send(self, data: bytes, address: _datagrams.Address) -> None:
        """Deliver a datagram unless it is lost or nobody is there."""
        node = self.nodes.get(address)
        if node is None or self._random.random() < self._lost_share:
            return
        asyncio.get_running_loop().call_later(
            self._random.uniform(0.001, 0.02),
            node.datagram_received,
            data,
            address,
        )


class Node(_datagrams.Datagrams):
    """The datagrams of one gateway."""

    def __init__(self, network: Network, name: str) -> None:
        super().__init__()
        self._network = network
        network.nodes[address_of(name)] = self

    def send(
        self,
        datagram: _datagrams.Datagram,
        addresses: collections.abc.Iterable[_datagrams.Address],
    ) -> int:
        """Send a datagram to gateways."""
        data = self.encode(datagram)
        for address in addresses:
            self._network.send(data, address)
        return len(data)


def address_of(name: str) -> _datagrams.Address:
    """Return the address of a gateway on the network."""
    number = zlib.crc32(name.encode()) % 2**24
    return (str(ipaddress.ip_address("10.0.0.0") + number), 1)


class GatewayProcess:
    """One process of a gateway: what it knows, its budget and its policy."""

    def __init__(
        self,
        clock: collections.abc.Callable[[], float],
        name: str = "g1",
        network: Network | None = None,
        quarantine_system: str = "never",
    ) -> None:
        self.clock = clock
        self.name = name
        self._peers: tuple[_datagrams.Address, ...] = ()
        datagrams = Node(network or Network(), name)
        self.cluster = _cluster_state.ClusterState(
            health.HEALTH.get("outlier")(1)
        )
        self.cluster.set_configuration(configurations.configuration())
        self.budget = retries.WindowBudget(LIMITS, clock())
        self.policy = _retry_policy.RetryPolicy(
            self.cluster, self.budget, clock
        )
        uplink = _uplink.Uplink(1_000.0, clock)
        self.tracing = telemetry.Tracing(settings.TraceSettings(), "gateway")
        host, port = address_of(name)
        self._quarantine = _quarantine.RequestQuarantine(
            quarantine.QUARANTINES.get(quarantine_system)(),
            datagrams,
            name,
            f"{host}:{port}",
            lambda: self._peers,
            lambda: False,
            _metrics.GatewayMetrics(),
            random.Random(1),
            clock,
        )
        self._limit_broadcast = _limit_broadcast.LimitBroadcast(
            datagrams, self.cluster, name, lambda: self._peers, clock
        )
        self.cluster.subscribe_restarts(self._quarantine.endpoint_restarted)
        self.cluster.subscribe_lapses(self._quarantine.endpoint_gone)
        sender = _sending.Sender(
            self.cluster,
            self.policy,
            uplink,
            self.tracing,
            self._quarantine,
            clock,
        )
        self.stream = _stream.StreamServer(
            self.cluster,
            sender,
            self.policy,
            harness.FakeUsageCounter(),
            placement.PLACERS.get("two_stage")(),
            uplink,
            "d1",
            self._quarantine,
            harness.new_origins(
                memory.MemoryStore(),
                name,
                self.cluster,
                _metrics.GatewayMetrics(),
                clock,
            ).resolver,
            clock,
        )
        self.plain = _plain.PlainServer(
            self.cluster,
            sender,
            self.policy,
            harness.FakeUsageCounter(),
            "d1",
            self._quarantine,
            clock,
        )
        self.running: set[asyncio.Task[int]] = set()

    def join(self, gateways: collections.abc.Sequence[str]) -> None:
        """Learn which gateways there are, this one included."""
        self.cluster.set_gateways(self.name, gateways)
        self._peers = tuple(
            address_of(each) for each in gateways if each != self.name
        )

    async def run(self) -> None:
        """Decide and exchange datagrams until cancelled."""
        await asyncio.gather(
            periodic.run_periodically(
                "limits",
                lambda: _limit_broadcast.LIMIT_BROADCAST_INTERVAL_S,
                self._limit_broadcast.run_once,
            ),
            periodic.run_periodically(
                "quarantine",
                lambda: _quarantine.QUARANTINE_INTERVAL_S,
                self._quarantine.run_once,
            ),
        )

    def add(self, engine: Engine) -> None:
        """Learn of an engine."""
        self.cluster.set_endpoint(engine.endpoint)
        upstream = self.cluster.endpoints[engine.endpoint.endpoint_id]
        upstream.pool = Pool(engine, self.name)

    async def serve(
        self, request_id: bytes, route: str = "chat", body: bytes = b"b"
    ) -> int:
        """Serve a request; return the status."""
        now_s = self.clock()
        request = http1.Request(
            b"POST", f"/{route}/1".encode(), (), body, True, now_s, now_s
        )
        found = next(
            each for each in configurations.ROUTES if each.name == route
        )
        is_stream = found.kind is catalogue.RouteKind.STREAM
        admitted = _requests.AdmittedRequest(
            request=request,
            request_id=request_id,
            route=found,
            service=found.splits[0].service,
            organisation=ORGANISATION,
            deadline_s=now_s + 2.0,
            prompt=_prompt(request_id) if is_stream else None,
            last_event=b"",
            configuration_version=1,
        )
        progress = _requests.RequestProgress()
        self.policy.record_request(admitted.service)
        responder = http1.Responder(_Transport(), True)
        try:
            async with asyncio.timeout(2.0):
                server = self.stream if is_stream else self.plain
                await server.serve(admitted, progress, responder)
        except errors.Refusal as refusal:
            return refusal.status
        except TimeoutError:
            return 504
        finally:
            self.policy.release(admitted, progress)
        return 200

    def start(
        self, request_id: bytes, route: str = "chat", body: bytes = b"b"
    ) -> asyncio.Task[int]:
        """Serve a request in a task."""
        task = asyncio.get_running_loop().create_task(
            self.serve(request_id, route, body)
        )
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    def kill(self) -> None:
        """Cancel what is running."""
        for task in self.running:
            task.cancel()


def _prompt(request_id: bytes) -> placement.Prompt:
    parts = (
        placement.PromptPart(b"shared", 2_000),
        placement.PromptPart(request_id, 3_000),
    )
    return placement.Prompt(parts, 6_000)
