"""Fake platform services."""

from ._app import build
from ._app import PlatformLimits
from ._endpoints import Endpoints
from ._endpoints import Hosts
from ._endpoints import Ordered
from ._faults import ALL
from ._faults import Fault
from ._memory import MemoryTable
from ._usage import Reported

__all__ = [
    "ALL",
    "Endpoints",
    "Fault",
    "Hosts",
    "MemoryTable",
    "Ordered",
    "PlatformLimits",
    "Reported",
    "build",
]
