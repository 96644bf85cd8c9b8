"""Paced, retried access to the platform's table service."""

from ._client import CHANGED
from ._client import MarkerUnchecked
from ._client import StoreClient
from ._codec import decode
from ._codec import encode
from ._codec import RowInvalid
from ._pacer import Pacer

__all__ = [
    "CHANGED",
    "MarkerUnchecked",
    "Pacer",
    "RowInvalid",
    "StoreClient",
    "decode",
    "encode",
]
