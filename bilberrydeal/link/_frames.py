"""Frames: many messages coalesced into one send."""

import collections.abc
import typing

import attrs
import msgspec

from .. import errors
from . import _messages

_NUMBERS = {kind: number for number, kind in _messages.KINDS.items()}
_DECODERS: dict[int, msgspec.msgpack.Decoder[typing.Any]] = {
    number: msgspec.msgpack.Decoder(kind)
    for number, kind in _messages.KINDS.items()
}
_ENCODER = msgspec.msgpack.Encoder()
_FRAME = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])


@attrs.define(slots=False, eq=False)
class FrameInvalid(errors.BilberrydealError):
    """Bytes that are not a frame of this protocol."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.BAD_REQUEST

    #: What the codec said.
    detail: str


def encode_frame(
    messages: collections.abc.Sequence[_messages.Message],
) -> bytes:
    """Return one frame that carries ``messages`` in order.

    Example::

        >>> decode_frame(encode_frame([Ack(sequence=3, chunk=7)]))
        [Ack(sequence=3, chunk=7)]
    """
    return _ENCODER.encode([(_NUMBERS[type(m)], m) for m in messages])


def decode_frame(frame: bytes) -> list[_messages.Message]:
    """Return the messages of a frame, or raise :class:`FrameInvalid`.

    Messages of an unknown number are skipped, so that a newer peer can send
    hints that this version does not know.
    """
    try:
        return [
            _DECODERS[number].decode(body)
            for number, body in _FRAME.decode(frame)
            if number in _DECODERS
        ]
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise FrameInvalid(detail=str(error)) from error
