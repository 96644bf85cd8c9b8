"""Reads what other processes wrote, which may be anything."""

from ._addresses import AddressInvalid
from ._addresses import split_address
from ._errors import DECODE_ERRORS

__all__ = [
    "AddressInvalid",
    "DECODE_ERRORS",
    "split_address",
]
