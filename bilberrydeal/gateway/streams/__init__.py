"""Serves streaming requests from engines."""

from ._stream import StreamServer

__all__ = [
    "StreamServer",
]
