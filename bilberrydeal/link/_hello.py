"""Hellos, which open a link: asked by entries, answered by agents."""

import collections.abc

import msgspec

from . import _failures
from . import _frames
from . import _messages
from . import _requests

_ENCODER = msgspec.msgpack.Encoder()
_HELLO = msgspec.msgpack.Decoder(_messages.Hello)
_REPLY = msgspec.msgpack.Decoder(_messages.HelloReply)

#: Answers one hello.
Answer = collections.abc.Callable[[_messages.Hello], _messages.HelloReply]


async def ask(
    address: str, port: int, hello: _messages.Hello, timeout_s: float
) -> _messages.HelloReply:
    """Send a hello and return the answer.

    Raises :class:`HelloFailed` when none comes in time. A hello may arrive
    twice: the session that nobody dials ends by its silence.
    """
    try:
        reply = await _requests.ask(
            address, port, _ENCODER.encode(hello), timeout_s
        )
        return _REPLY.decode(reply)
    except (_requests.RequestFailed, msgspec.MsgspecError) as error:
        raise _failures.HelloFailed(detail=str(error)) from error


def answering(
    answer: Answer,
) -> collections.abc.Callable[[bytes], bytes]:
    """Return what a responder on the control port answers with."""

    def serve(question: bytes) -> bytes:
        try:
            hello = _HELLO.decode(question)
        except msgspec.MsgspecError as error:
            raise _frames.FrameInvalid(detail=str(error)) from error
        return _ENCODER.encode(answer(hello))

    return serve
