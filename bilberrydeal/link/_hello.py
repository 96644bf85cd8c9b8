"""The hello exchange that opens a link between an entry and an agent."""

import collections.abc

import msgspec

from .. import decoding
from . import _failures
from . import _frames
from . import _messages
from . import _requests

_ENCODER = msgspec.msgpack.Encoder()
_HELLO = msgspec.msgpack.Decoder(_messages.Hello)
_REPLY = msgspec.msgpack.Decoder(_messages.HelloReply)

#: Returns the reply to a hello.
Handler = collections.abc.Callable[[_messages.Hello], _messages.HelloReply]


async def send_hello(
    address: str, port: int, hello: _messages.Hello, timeout_s: float
) -> _messages.HelloReply:
    """Send a hello and return the reply.

    Raises :class:`HelloFailed` when none arrives in time. A hello may arrive
    twice: the extra session is never dialled and times out.
    """
    try:
        reply = await _requests.send_request(
            address, port, _ENCODER.encode(hello), timeout_s
        )
        return _REPLY.decode(reply)
    except (_requests.RequestFailed, *decoding.DECODE_ERRORS) as error:
        raise _failures.HelloFailed(detail=str(error)) from error


def make_handler(
    handler: Handler,
) -> collections.abc.Callable[[bytes], bytes]:
    """Return a handler of encoded hellos for a responder."""

    def handle(request: bytes) -> bytes:
        try:
            hello = _HELLO.decode(request)
        except decoding.DECODE_ERRORS as error:
            raise _frames.FrameInvalid(detail=str(error)) from error
        return _ENCODER.encode(handler(hello))

    return handle
