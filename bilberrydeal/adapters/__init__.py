"""Port adapters, one per wire protocol, registered by name.

Each adapter is constructed with a session of :func:`open_session` and a base
URL.

Example::

    table = adapters.TABLES.get("http_json")(session, "http://127.0.0.1:9000")
"""

from ._endpoints import HttpEndpoints
from ._engines import HttpEngine
from ._exchange import open_session
from ._hosts import HttpHosts
from ._objects import HttpObjects
from ._plain import HttpPlain
from ._platform import connect
from ._platform import Platform
from ._registries import ENDPOINTS
from ._registries import ENGINES
from ._registries import HOSTS
from ._registries import OBJECTS
from ._registries import PLAIN
from ._registries import TABLES
from ._registries import USAGE
from ._registries import WEIGHTS
from ._tables import HttpTable
from ._usage import HttpUsage
from ._weights import HttpWeights

__all__ = [
    "ENDPOINTS",
    "ENGINES",
    "HOSTS",
    "HttpEndpoints",
    "HttpEngine",
    "HttpHosts",
    "HttpObjects",
    "HttpPlain",
    "HttpTable",
    "HttpUsage",
    "HttpWeights",
    "OBJECTS",
    "PLAIN",
    "Platform",
    "TABLES",
    "USAGE",
    "WEIGHTS",
    "connect",
    "open_session",
]
