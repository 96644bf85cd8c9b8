"""Errors of the decoders."""

import msgspec

#: Whatever a decoder raises for bytes that it cannot read. Values that are
#: nested deeper than the interpreter's stack are no decode error by type.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
