"""A TCP relay between two loopback addresses that injects faults."""

import asyncio
import collections.abc
import contextlib
import enum
import functools

ADDRESS = "127.0.0.2"
READ_BYTES = 65536


class Direction(enum.Enum):
    """Direction of the relayed bytes."""

    TO_AGENT = "to_agent"
    TO_ENTRY = "to_entry"


class Relay:
    """Relays ports of one loopback address to the same ports of another.

    A fault affects the existing connections; new ones work.
    """

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []
        self._pairs: list[_ConnectionPair] = []
        #: Whether new connections are refused.
        self.refusing = False

    async def listen(self, ports: collections.abc.Iterable[int]) -> None:
        """Relay some ports."""
        for port in ports:
            accept = functools.partial(self._accept, port)
            self._servers.append(
                await asyncio.start_server(accept, ADDRESS, port)
            )

    def silence(self, *directions: Direction) -> None:
        """Discard all further bytes, and the end of the stream."""
        for pair in self._pairs:
            pair.silent.update(directions)

    def stall(self, direction: Direction) -> None:
        """Stop forwarding in one direction, like a stopped process."""
        for pair in self._pairs:
            pair.flowing[direction].clear()

    def cut(self) -> None:
        """Close all connections."""
        for pair in self._pairs:
            pair.close()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for server in self._servers:
            server.close()
        self.cut()
        for pair in self._pairs:
            await pair.ended()

    async def _accept(
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
        self._pairs.append(_ConnectionPair((reader, writer), onward))


class _ConnectionPair:
    def __init__(
        self,
        entry: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        agent: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        self.silent: set[Direction] = set()
        self.flowing = {direction: asyncio.Event() for direction in Direction}
        for event in self.flowing.values():
            event.set()
        self._writers = (entry[1], agent[1])
        self._tasks = [
            asyncio.create_task(
                self._forward(entry[0], agent[1], Direction.TO_AGENT)
            ),
            asyncio.create_task(
                self._forward(agent[0], entry[1], Direction.TO_ENTRY)
            ),
        ]

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self.flowing[direction].wait()
                if direction not in self.silent:
                    writer.write(data)
                    await writer.drain()
        if direction not in self.silent:
            writer.close()

    def close(self) -> None:
        for writer in self._writers:
            writer.close()
        for task in self._tasks:
            task.cancel()

    async def ended(self) -> None:
        await asyncio.gather(*self._tasks, return_exceptions=True)
