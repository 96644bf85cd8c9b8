"""A TCP proxy that injects faults.

It fronts a whole host: it listens on another loopback address with the same
ports as the host, so that other processes connect to the host only through it.
"""

import asyncio
import collections.abc
import enum
import functools
import socket
import struct

import attrs

from bilberrydeal import endings

from . import _network_link

#: Maximum bytes read from a socket at once.
CHUNK_BYTES = 65_536
#: Interval between two checks for a reset after an end, in seconds.
RESET_CHECK_S = 0.002
#: Linger option that makes a closed socket send a reset, unread bytes or not.
_NO_LINGER = struct.pack("ii", 1, 0)


class Direction(enum.StrEnum):
    """A direction of a proxied connection."""

    #: From the client to the host behind the proxy.
    FORWARD = "forth"
    #: From the host behind the proxy to the client.
    BACKWARD = "back"


@attrs.frozen
class Conditions:
    """Faults applied to traffic; the default applies none."""

    #: Delay of each chunk.
    delay_s: float = 0.0
    #: Hold all data until this is reset; no byte is lost.
    stall: bool = False
    #: Reset new connections at once.
    refuse: bool = False
    #: Drop all data, for good on connections that are open or are opened
    #: meanwhile.
    silent: bool = False


@attrs.define(eq=False)
class _Connection:
    """One proxied connection."""

    port: int
    client: asyncio.StreamWriter
    upstream: asyncio.StreamWriter
    #: Directions whose data is dropped for good.
    blackholed: set[Direction] = attrs.field(factory=set)
    #: Whether a request is or was held at the proxy.
    held: bool = False
    #: Set once the host has answered or closed the connection.
    answered: asyncio.Event = attrs.field(factory=asyncio.Event)
    #: Directions that have ended.
    ended: set[Direction] = attrs.field(factory=set)

    def reset(self) -> None:
        _reset(self.client)
        _reset(self.upstream)
        self.ended.update(Direction)

    def close(self) -> None:
        self.client.close()
        self.upstream.close()

    def source(self, direction: Direction) -> asyncio.StreamWriter:
        """Return the side that sends in a direction."""
        if direction is Direction.FORWARD:
            return self.client
        return self.upstream


class Proxy:
    """Proxies all ports of one host.

    Example::

        proxy = Proxy("127.0.1.1", "127.0.0.1", (8000, 8001))
        await proxy.start()
        proxy.blackhole(Direction.BACKWARD)
    """

    def __init__(
        self,
        address: str,
        target: str,
        ports: tuple[int, ...],
        links: collections.abc.Mapping[Direction, _network_link.NetworkLink]
        | None = None,
    ) -> None:
        self.address = address
        #: Links that carry the data of a direction.
        self._links = dict(links or {})
        self._target = target
        self._ports = ports
        self._servers: list[asyncio.Server] = []
        self._connections: set[_Connection] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._conditions: dict[int, Conditions] = {}
        self._unstalled = asyncio.Event()
        self._unstalled.set()
        self._answers_to_lose: dict[int, int] = {}
        self._held_prefixes: set[bytes] = set()
        self._released = asyncio.Event()
        self._held_count = 0

    async def start(self) -> None:
        """Listen on all ports."""
        for port in self._ports:
            self._servers.append(
                await asyncio.start_server(
                    functools.partial(self._accept, port),
                    self.address,
                    port,
                )
            )

    async def stop(self) -> None:
        """Close everything."""
        for server in self._servers:
            server.close()
        self.set_conditions(Conditions())
        self.release()
        self.reset_connections()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def set_conditions(
        self, conditions: Conditions, port: int | None = None
    ) -> None:
        """Set the conditions of one port or of all ports."""
        for each in self._select_ports(port):
            self._conditions[each] = conditions
        if conditions.silent:
            for direction in Direction:
                self.blackhole(direction, port)
        if any(conditions.stall for conditions in self._conditions.values()):
            self._unstalled.clear()
        else:
            self._unstalled.set()

    def reset_connections(self, port: int | None = None) -> None:
        """Reset the connections that are open now."""
        for connection in self._open_connections(port):
            connection.reset()

    def blackhole(self, direction: Direction, port: int | None = None) -> None:
        """Drop all data in one direction of the open connections.

        Neither end sees an error, and new connections work.
        """
        for connection in self._open_connections(port):
            connection.blackholed.add(direction)

    def lose_answers(self, port: int, count: int = 1) -> None:
        """Reset the next connections when their answer arrives."""
        self._answers_to_lose[port] = count

    def hold_requests(self, start: bytes) -> None:
        """Hold requests whose first bytes are ``start``.

        A held request is still delivered if its sender has given up or
        exited before :meth:`release`.

        Example::

            proxy.hold_requests(b"POST /v1/usage/report")
        """
        self._held_prefixes.add(start)

    def stop_holding(self) -> None:
        """Let new requests pass; requests already held stay held."""
        self._held_prefixes.clear()

    def release(self) -> None:
        """Release all held requests and hold no further ones."""
        self.stop_holding()
        self._released.set()
        self._released = asyncio.Event()
        self._held_count = 0

    @property
    def held(self) -> int:
        """Return how many requests are held."""
        return self._held_count

    def _select_ports(self, port: int | None) -> tuple[int, ...]:
        return self._ports if port is None else (port,)

    def _open_connections(self, port: int | None) -> list[_Connection]:
        selected = self._select_ports(port)
        return [
            connection
            for connection in self._connections
            if connection.port in selected
        ]

    def _conditions_at(self, port: int) -> Conditions:
        return self._conditions.get(port, Conditions())

    def _accept(
        self,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.create_task(self._serve(port, reader, writer))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(
        self,
        port: int,
        client_reader: asyncio.StreamReader,
        client: asyncio.StreamWriter,
    ) -> None:
        if self._conditions_at(port).refuse:
            _reset(client)
            return
        try:
            upstream_reader, upstream = await asyncio.open_connection(
                self._target, port
            )
        except OSError:
            _reset(client)
            return
        connection = _Connection(port=port, client=client, upstream=upstream)
        if self._conditions_at(port).silent:
            connection.blackholed.update(Direction)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._pump(
                    connection, Direction.FORWARD, client_reader, upstream
                ),
                self._pump(
                    connection, Direction.BACKWARD, upstream_reader, client
                ),
            )
        finally:
            connection.close()
            self._connections.discard(connection)

    async def _pump(
        self,
        connection: _Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        link = self._links.get(direction)
        size_bytes = CHUNK_BYTES if link is None else _network_link.PIECE_BYTES
        try:
            while data := await reader.read(size_bytes):
                if link is not None:
                    await link.carry(len(data))
                if direction is Direction.FORWARD:
                    await self._hold_if_matching(connection, data)
                await self._forward(connection, direction, data, writer)
                if direction is Direction.BACKWARD:
                    connection.answered.set()
            if direction is Direction.FORWARD and connection.held:
                # A server drops a request whose connection ends too early.
                await connection.answered.wait()
            if direction not in connection.blackholed:
                writer.write_eof()
            await self._pass_late_reset(connection, direction)
        except (OSError, RuntimeError):
            # The event loop raises RuntimeError on a closed transport.
            if direction is Direction.FORWARD and connection.held:
                await connection.answered.wait()
            connection.reset()
        finally:
            if direction is Direction.BACKWARD:
                connection.answered.set()

    async def _pass_late_reset(
        self, connection: _Connection, direction: Direction
    ) -> None:
        """Pass on a reset by a side that has ended its direction.

        The event loop no longer reads from its socket then.
        """
        if direction is Direction.BACKWARD:
            connection.answered.set()
        connection.ended.add(direction)
        transport = connection.source(direction).transport
        while len(connection.ended) < len(Direction):
            if endings.was_reset(transport):
                connection.reset()
            await asyncio.sleep(RESET_CHECK_S)

    async def _hold_if_matching(
        self, connection: _Connection, data: bytes
    ) -> None:
        """Hold a request with a matching prefix until it is released."""
        if data.startswith(tuple(self._held_prefixes)):
            connection.held = True
            self._held_count += 1
            await self._released.wait()

    async def _forward(
        self,
        connection: _Connection,
        direction: Direction,
        data: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        conditions = self._conditions_at(connection.port)
        if conditions.delay_s:
            await asyncio.sleep(conditions.delay_s)
        while self._conditions_at(connection.port).stall:
            await self._unstalled.wait()
        if direction is Direction.BACKWARD and self._loses_answer(
            connection.port
        ):
            connection.reset()
        if direction in connection.blackholed:
            return
        writer.write(data)
        await writer.drain()

    def _loses_answer(self, port: int) -> bool:
        left = self._answers_to_lose.get(port, 0)
        self._answers_to_lose[port] = max(0, left - 1)
        return left > 0


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, where an abort alone may send an ordinary end."""
    sock = writer.get_extra_info("socket")
    # A transport that is closed has none.
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
