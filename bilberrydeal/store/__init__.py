"""Rate-limited client of the platform's table service, with retries."""

from ._client import MarkerUnchecked
from ._client import STALE_VERSION
from ._client import StoreClient
from ._codec import decode
from ._codec import decode_rows
from ._codec import encode
from ._codec import RowInvalid
from ._token_bucket import TokenBucket

__all__ = [
    "STALE_VERSION",
    "MarkerUnchecked",
    "RowInvalid",
    "StoreClient",
    "TokenBucket",
    "decode",
    "decode_rows",
    "encode",
]
