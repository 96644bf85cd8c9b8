"""A TCP relay between two loopback addresses that can go wrong."""

import asyncio
import collections.abc
import contextlib
import enum
import functools

ADDRESS = "127.0.0.2"
READ_BYTES = 65536


class Way(enum.Enum):
    """A direction of the bytes."""

    TO_AGENT = "to_agent"
    TO_ENTRY = "to_entry"


class Relay:
    """Relays ports of one loopback address to the same ports of another.

    A fault befalls the connections there are; new ones work.
    """

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []
        self._pairs: list[_Pair] = []
        #: Whether new connections are refused.
        self.refusing = False

    async def listen(self, ports: collections.abc.Iterable[int]) -> None:
        """Relay some ports."""
        for port in ports:
            take = functools.partial(self._take, port)
            self._servers.append(
                await asyncio.start_server(take, ADDRESS, port)
            )

    def silence(self, *ways: Way) -> None:
        """Swallow all that comes from now on, also the end."""
        for pair in self._pairs:
            pair.silent.update(ways)

    def stall(self, way: Way) -> None:
        """Stop reading in one direction, like a stopped process."""
        for pair in self._pairs:
            pair.flowing[way].clear()

    def cut(self) -> None:
        """Close all connections."""
        for pair in self._pairs:
            pair.close()

    async def close(self) -> None:
        """Stop."""
        for server in self._servers:
            server.close()
        self.cut()
        for pair in self._pairs:
            await pair.ended()

    async def _take(
        self,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.refusing:
            writer.close()
            return
        try:
            onward = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            writer.close()
            return
        self._pairs.append(_Pair((reader, writer), onward))


class _Pair:
    def __init__(
        self,
        entry: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        agent: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        self.silent: set[Way] = set()
        self.flowing = {way: asyncio.Event() for way in Way}
        for event in self.flowing.values():
            event.set()
        self._writers = (entry[1], agent[1])
        self._tasks = [
            asyncio.create_task(self._pump(entry[0], agent[1], Way.TO_AGENT)),
            asyncio.create_task(self._pump(agent[0], entry[1], Way.TO_ENTRY)),
        ]

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Way,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self.flowing[way].wait()
                if way not in self.silent:
                    writer.write(data)
                    await writer.drain()
        if way not in self.silent:
            writer.close()

    def close(self) -> None:
        for writer in self._writers:
            writer.close()
        for task in self._tasks:
            task.cancel()

    async def ended(self) -> None:
        await asyncio.gather(*self._tasks, return_exceptions=True)
