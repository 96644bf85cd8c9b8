"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import collections.abc
import dataclasses
import json
import socket
import urllib.parse

_HEAD_LIMIT = 262_144


@dataclasses.dataclass
class Request:
    """A request as a stand-in received it."""

    method: str
    target: str
    #: Header fields, names in lower case; the first field of a name counts.
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))

    def json(self) -> dict:
        """Return the JSON body."""
        return json.loads(self.body)


Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[None]]


def head(status: int, fields: dict[str, str]) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def answer(
    request: Request,
    status: int,
    body: bytes = b"",
    fields: dict[str, str] | None = None,
) -> None:
    """Write a complete response."""
    framed = {**(fields or {}), "Content-Length": str(len(body))}
    request.writer.write(head(status, framed) + body)
    await request.writer.drain()


async def answer_json(
    request: Request,
    status: int,
    value: object,
    fields: dict[str, str] | None = None,
) -> None:
    """Write a complete response with a JSON body."""
    typed = {"Content-Type": "application/json", **(fields or {})}
    await answer(request, status, json.dumps(value).encode(), typed)


class Server:
    """Serves requests, one at a time on each connection."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self.host = host
        self.port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=_HEAD_LIMIT
        )

    async def crash(self) -> None:
        """Stop listening and reset all connections, as a killed process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await _read(reader, writer)) is not None:
                await self._handler(request)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _read(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request | None:
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    line, *lines = text.split("\r\n")
    method, target, _version = line.split(" ")
    headers: dict[str, str] = {}
    for each in filter(None, lines):
        name, _colon, value = each.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body, writer)


@dataclasses.dataclass
class Answer:
    """What a client got for one request."""

    #: Status; 0 if no head arrived.
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    #: Whether the answer is complete by its framing.
    complete: bool = False
    #: Why it is not.
    reason: str = ""


async def read_answer(reader: asyncio.StreamReader, got: Answer) -> None:
    """Read one response into ``got``; what arrived stays if it breaks off."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *lines = text.split("\r\n")
    got.status = int(line.split(" ")[1])
    for each in filter(None, lines):
        name, _colon, value = each.partition(":")
        got.headers.setdefault(name.strip().lower(), value.strip())
    if got.headers.get("transfer-encoding", "").lower() == "chunked":
        await _read_chunks(reader, got)
    else:
        await _read_length(reader, got)
    got.complete = True


async def _read_chunks(reader: asyncio.StreamReader, got: Answer) -> None:
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        got.body += data[:-2]


async def _read_length(reader: asyncio.StreamReader, got: Answer) -> None:
    left = int(got.headers.get("content-length", "0"))
    while left:
        data = await reader.read(min(left, 65_536))
        if not data:
            raise asyncio.IncompleteReadError(got.body, left)
        got.body += data
        left -= len(data)


async def ask(
    host: str,
    port: int,
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection; return what came back."""
    got = Answer()
    writer: asyncio.StreamWriter | None = None
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    sent = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, limit=_HEAD_LIMIT
            )
            writer.write(sent)
            await read_answer(reader, got)
    except TimeoutError:
        got.reason = "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        got.reason = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return got
