"""Connections of the client library that take no early end for a sound one."""

import asyncio
import contextvars

import aiohttp
import aiohttp.client_proto

from .. import endings

#: Size of the body of the call for which a connection is opened.
REQUEST_BYTES: contextvars.ContextVar[int] = contextvars.ContextVar(
    "request_bytes", default=0
)


class EndingProtocol(aiohttp.client_proto.ResponseHandler):
    """Stays open after the end of a body until it is known to be sound.

    By default the client library closes a connection as soon as its peer has
    ended it, after which nothing tells of a reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        #: Whether the connection was reset after its peer had ended it.
        self.reset_after_end = False
        self._request_bytes = REQUEST_BYTES.get()

    def eof_received(self) -> bool:  # type: ignore[override]
        """Watch the connection if a body is under way."""
        super().eof_received()
        payload = self._payload
        if self.transport is None or payload is None or payload.is_eof():
            return False
        watch = endings.EndWatch(
            self.transport, self._request_bytes, self._close, self._reset
        )
        return watch.start()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def _reset(self) -> None:
        self.reset_after_end = True
        if self.transport is not None:
            self.transport.abort()


class EndingConnector(aiohttp.TCPConnector):
    """Opens such connections, each for one call only.

    There is no public way to choose the protocol of connections.
    """

    def __init__(self, connection_limit: int) -> None:
        super().__init__(limit=connection_limit, force_close=True)
        self._factory = self._new_protocol  # type: ignore[assignment]

    def _new_protocol(self) -> EndingProtocol:
        return EndingProtocol(self._loop)


def reset_after_end(protocol: aiohttp.client_proto.ResponseHandler) -> bool:
    """Return whether a connection was reset after its peer had ended it."""
    return isinstance(protocol, EndingProtocol) and protocol.reset_after_end
