"""Admits callers' requests, serves and logs them."""

from ._admission import Admission
from ._plain import PlainServer
from ._request_handler import RequestHandler

__all__ = [
    "Admission",
    "PlainServer",
    "RequestHandler",
]
