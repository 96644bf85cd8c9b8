"""HTTP/1.1 server and client of a proxy, on top of ``httptools``."""

from ._client import ClientConnection
from ._client import connect
from ._client import IncompleteResponse
from ._client import NotSent
from ._client import ResponseHead
from ._headers import end_to_end_headers
from ._headers import first_value
from ._headers import Header
from ._headers import Headers
from ._headers import render_head
from ._limits import ServerLimits
from ._peer_timeout import PeerTimeout
from ._pool import Pool
from ._request import Request
from ._responder import CallerGone
from ._responder import Responder
from ._server import HttpServer

__all__ = [
    "CallerGone",
    "ClientConnection",
    "Header",
    "Headers",
    "HttpServer",
    "IncompleteResponse",
    "NotSent",
    "PeerTimeout",
    "Pool",
    "Request",
    "Responder",
    "ResponseHead",
    "ServerLimits",
    "connect",
    "end_to_end_headers",
    "first_value",
    "render_head",
]
