"""Reads what other processes wrote, which may be anything."""

from ._addresses import AddressInvalid
from ._addresses import split_address
from ._errors import DECODE_ERRORS
from ._event_stream import EVENT_LIMIT_BYTES
from ._event_stream import EventBuffer
from ._event_stream import EventTooLarge

__all__ = [
    "AddressInvalid",
    "DECODE_ERRORS",
    "EVENT_LIMIT_BYTES",
    "EventBuffer",
    "EventTooLarge",
    "split_address",
]
