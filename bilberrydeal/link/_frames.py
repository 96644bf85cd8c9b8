"""Frames, which batch messages into one send."""

import collections.abc
import typing

import attrs
import msgspec

from .. import decoding
from .. import errors
from . import _messages

_TYPE_NUMBERS = {
    kind: number for number, kind in _messages.TYPES_BY_NUMBER.items()
}
_ENCODER = msgspec.msgpack.Encoder()
_FRAME = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])
_Decode: typing.TypeAlias = collections.abc.Callable[
    [msgspec.Raw], _messages.Message
]


@attrs.define(slots=False, eq=False)
class FrameInvalid(errors.BilberrydealError):
    """The bytes are not a valid frame of this protocol."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.BAD_REQUEST

    #: Error message of the codec.
    detail: str


def _decoder(kind: type) -> _Decode:
    """Return the decoder for one message type."""
    if kind not in _messages.ARRAY_ENCODED:
        return msgspec.msgpack.Decoder(kind).decode
    hints = typing.get_type_hints(kind)
    types = tuple(hints[field.name] for field in attrs.fields(kind))
    values = msgspec.msgpack.Decoder(tuple.__class_getitem__(types))
    return lambda body: typing.cast(
        _messages.Message, kind(*values.decode(body))
    )


_DECODERS = {
    number: _decoder(kind)
    for number, kind in _messages.TYPES_BY_NUMBER.items()
}


def encode_frame(
    messages: collections.abc.Sequence[_messages.Message],
) -> bytes:
    """Return one frame that carries ``messages`` in order.

    Example::

        >>> decode_frame(encode_frame([Ack(sequence=3, chunk=7)]))
        [Ack(sequence=3, chunk=7)]
    """
    return _ENCODER.encode(
        [(_TYPE_NUMBERS[type(m)], _encodable(m)) for m in messages]
    )


def decode_frame(frame: bytes) -> list[_messages.Message]:
    """Return the messages of a frame, or raise :class:`FrameInvalid`.

    Messages with an unknown type number are skipped, so that a newer peer
    can send hints that this version does not know.
    """
    try:
        return [
            _DECODERS[number](body)
            for number, body in _FRAME.decode(frame)
            if number in _DECODERS
        ]
    except decoding.DECODE_ERRORS as error:
        raise FrameInvalid(detail=str(error)) from error


def _encodable(message: _messages.Message) -> object:
    """Return the object that the codec encodes for a message."""
    if type(message) not in _messages.ARRAY_ENCODED:
        return message
    values = attrs.astuple(message, recurse=False)
    return [_compact(value) for value in values]


def _compact(value: object) -> object:
    """Convert an integral float to an integer, which takes fewer bytes."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value
