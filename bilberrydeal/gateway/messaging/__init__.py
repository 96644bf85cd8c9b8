"""Datagrams between gateways."""

from ._datagrams import Address
from ._datagrams import Datagram
from ._datagrams import Datagrams
from ._datagrams import EndpointLimitReport
from ._datagrams import EngineCapabilityReport
from ._datagrams import LoadReport
from ._datagrams import Peers
from ._datagrams import SettledWindow
from ._datagrams import StreamOriginQuestion
from ._datagrams import StreamOriginReport
from ._datagrams import TableHint
from ._datagrams import WindowCounts

__all__ = [
    "Address",
    "Datagram",
    "Datagrams",
    "EndpointLimitReport",
    "EngineCapabilityReport",
    "LoadReport",
    "Peers",
    "SettledWindow",
    "StreamOriginQuestion",
    "StreamOriginReport",
    "TableHint",
    "WindowCounts",
]
