"""A TCP proxy that injects faults.

It stands in front of a whole host: it listens on another loopback address
with the host's own ports, so that processes reach the host only through it.
"""

import asyncio
import enum
import functools

import attrs

#: Bytes taken from a socket at once.
CHUNK_BYTES = 65_536


class Way(enum.StrEnum):
    """A direction of a proxied connection."""

    #: From the side that dialled.
    FORTH = "forth"
    #: From the host behind the proxy.
    BACK = "back"


@attrs.frozen
class Weather:
    """What happens to traffic; the default passes everything."""

    #: Each chunk waits so long.
    delay_s: float = 0.0
    #: Nothing passes until this is lifted; no byte is lost.
    stall: bool = False
    #: New connections are closed at once.
    refuse: bool = False


@attrs.define(eq=False)
class _Pipe:
    """One proxied connection."""

    port: int
    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    #: Directions whose bytes vanish for good.
    silent: set[Way] = attrs.field(factory=set)
    #: Whether a request waits at the proxy, or did.
    held: bool = False
    #: Set once the host behind has answered or closed.
    answered: asyncio.Event = attrs.field(factory=asyncio.Event)

    def abort(self) -> None:
        self.near.transport.abort()
        self.far.transport.abort()


class Proxy:
    """Fronts one host.

    Example::

        proxy = Proxy("127.0.1.1", "127.0.0.1", (8000, 8001))
        await proxy.start()
        proxy.hush(Way.BACK)
    """

    def __init__(
        self, address: str, target: str, ports: tuple[int, ...]
    ) -> None:
        self.address = address
        self._target = target
        self._ports = ports
        self._servers: list[asyncio.Server] = []
        self._pipes: set[_Pipe] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._weather: dict[int, Weather] = {}
        self._lifted = asyncio.Event()
        self._lifted.set()
        self._answers_to_lose: dict[int, int] = {}
        self._holds: set[bytes] = set()
        self._released = asyncio.Event()
        self._held = 0

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
        self.set_weather(Weather())
        self.release()
        self.cut()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def set_weather(self, weather: Weather, port: int | None = None) -> None:
        """Set what happens on one port or on all."""
        for each in self._chosen(port):
            self._weather[each] = weather
        if any(weather.stall for weather in self._weather.values()):
            self._lifted.clear()
        else:
            self._lifted.set()

    def cut(self, port: int | None = None) -> None:
        """Reset the connections that are open now."""
        for pipe in self._open(port):
            pipe.abort()

    def hush(self, way: Way, port: int | None = None) -> None:
        """Lose one direction of the open connections for good.

        Neither end sees an error, and new connections work.
        """
        for pipe in self._open(port):
            pipe.silent.add(way)

    def lose_answers(self, port: int, count: int = 1) -> None:
        """Reset the next connections when their answer comes."""
        self._answers_to_lose[port] = count

    def hold(self, start: bytes) -> None:
        """Hold back requests whose first bytes are ``start``.

        The request still goes on its way when the side that sent it has
        given up, or is dead, before :meth:`release`.

        Example::

            proxy.hold(b"POST /v1/usage/report")
        """
        self._holds.add(start)

    def hold_no_more(self) -> None:
        """Let new requests pass; those held back go on waiting."""
        self._holds.clear()

    def release(self) -> None:
        """Let all held requests go, and hold no more."""
        self.hold_no_more()
        self._released.set()
        self._released = asyncio.Event()
        self._held = 0

    @property
    def held(self) -> int:
        """Return how many requests are held back now."""
        return self._held

    def _chosen(self, port: int | None) -> tuple[int, ...]:
        return self._ports if port is None else (port,)

    def _open(self, port: int | None) -> list[_Pipe]:
        chosen = self._chosen(port)
        return [pipe for pipe in self._pipes if pipe.port in chosen]

    def _at(self, port: int) -> Weather:
        return self._weather.get(port, Weather())

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
        near_reader: asyncio.StreamReader,
        near: asyncio.StreamWriter,
    ) -> None:
        if self._at(port).refuse:
            near.transport.abort()
            return
        try:
            far_reader, far = await asyncio.open_connection(self._target, port)
        except OSError:
            near.transport.abort()
            return
        pipe = _Pipe(port=port, near=near, far=far)
        self._pipes.add(pipe)
        try:
            await asyncio.gather(
                self._pump(pipe, Way.FORTH, near_reader, far),
                self._pump(pipe, Way.BACK, far_reader, near),
            )
        finally:
            pipe.abort()
            self._pipes.discard(pipe)

    async def _pump(
        self,
        pipe: _Pipe,
        way: Way,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if way is Way.FORTH:
                    await self._wait_held(pipe, data)
                await self._pass(pipe, way, data, writer)
                if way is Way.BACK:
                    pipe.answered.set()
            if way is Way.FORTH and pipe.held:
                # A server drops a request whose connection ends before it.
                await pipe.answered.wait()
            if way not in pipe.silent:
                writer.write_eof()
        except (OSError, RuntimeError):
            # The event loop raises RuntimeError on a closed transport.
            pipe.abort()
        finally:
            if way is Way.BACK:
                pipe.answered.set()

    async def _wait_held(self, pipe: _Pipe, data: bytes) -> None:
        """Wait until a request that is held back is released."""
        if data.startswith(tuple(self._holds)):
            pipe.held = True
            self._held += 1
            await self._released.wait()

    async def _pass(
        self,
        pipe: _Pipe,
        way: Way,
        data: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        weather = self._at(pipe.port)
        if weather.delay_s:
            await asyncio.sleep(weather.delay_s)
        while self._at(pipe.port).stall:
            await self._lifted.wait()
        if way is Way.BACK and self._takes_answer(pipe.port):
            pipe.abort()
        if way in pipe.silent:
            return
        writer.write(data)
        await writer.drain()

    def _takes_answer(self, port: int) -> bool:
        left = self._answers_to_lose.get(port, 0)
        self._answers_to_lose[port] = max(0, left - 1)
        return left > 0
