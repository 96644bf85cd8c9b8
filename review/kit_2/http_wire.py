"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio
import collections.abc
import dataclasses
import json

Handler = collections.abc.Callable[
    ["Request"], collections.abc.Awaitable["Response | None"]
]


@dataclasses.dataclass
class Request:
    """A request with its whole body."""

    method: str
    target: str
    #: Header fields, names in lower case.
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    def json(self) -> dict:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


@dataclasses.dataclass
class Response:
    """A whole response."""

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes of the response."""
        lines = [f"HTTP/1.1 {self.status} Status"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return Response(status, headers, json.dumps(value).encode())


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the start line and the fields of a message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _colon, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return start, fields


async def read_body(
    reader: asyncio.StreamReader, fields: dict[str, str]
) -> bytes:
    """Return the body of a message that has a length or chunks."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def serve(handler: Handler, address: str, port: int) -> asyncio.Server:
    """Serve requests, one at a time on a connection."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                start, fields = head
                method, target, _version = start.split(" ")
                body = await read_body(reader, fields)
                request = Request(method, target, fields, body, reader, writer)
                response = await handler(request)
                if response is None:
                    break
                writer.write(response.encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, address, port, limit=1 << 20)


async def call(
    address: str,
    port: int,
    method: str,
    target: str,
    value: object = None,
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Make one call on a channel of its own; raises ``OSError``."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port)
            try:
                body = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                head = await read_head(reader)
                if head is None:
                    raise ConnectionResetError("no response")
                start, fields = head
                return int(start.split(" ")[1]), await read_body(
                    reader, fields
                )
            finally:
                writer.transport.abort()
    except (TimeoutError, asyncio.IncompleteReadError) as error:
        raise OSError(str(error)) from error
