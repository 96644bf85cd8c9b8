"""Typed ports to the platform, engines and plain services.

Each port is a protocol class. The adapters in :mod:`bilberrydeal.adapters`
implement one wire protocol each and are registered by name.
"""

from ._endpoints import EndpointInterface
from ._endpoints import EndpointRecord
from ._endpoints import PurchaseOrder
from ._endpoints import ReleaseOrder
from ._engine import CacheEvent
from ._engine import CacheEvents
from ._engine import CANCELLED
from ._engine import Engine
from ._engine import EngineEvent
from ._engine import EngineFailure
from ._engine import EngineOrder
from ._engine import EngineRequest
from ._engine import EngineRole
from ._engine import EngineState
from ._engine import LoadReport
from ._engine import OrderRefused
from ._engine import role_or_none
from ._engine import Sampling
from ._feed import Change
from ._feed import ChangeFeed
from ._feed import Changes
from ._feed import ClockReading
from ._feed import OnRows
from ._feed import StoreVersion
from ._feed import Transfer
from ._hosts import HostList
from ._hosts import HostRecord
from ._hosts import HostState
from ._objects import ObjectStore
from ._plain import PlainFailure
from ._plain import PlainRequest
from ._plain import PlainResponse
from ._plain import PlainService
from ._table import Check
from ._table import Committed
from ._table import Row
from ._table import RowKey
from ._table import TableService
from ._table import Transaction
from ._table import Write
from ._usage import OrganisationFigures
from ._usage import ReportConflict
from ._usage import UsageInterface
from ._usage import UsageReport
from ._weights import WeightsBusy
from ._weights import WeightStore

__all__ = [
    "CANCELLED",
    "CacheEvent",
    "CacheEvents",
    "Change",
    "ChangeFeed",
    "Changes",
    "Check",
    "ClockReading",
    "Committed",
    "EndpointInterface",
    "EndpointRecord",
    "Engine",
    "EngineEvent",
    "EngineFailure",
    "EngineOrder",
    "EngineRequest",
    "EngineRole",
    "EngineState",
    "HostList",
    "HostRecord",
    "HostState",
    "LoadReport",
    "ObjectStore",
    "OnRows",
    "OrderRefused",
    "OrganisationFigures",
    "PlainFailure",
    "PlainRequest",
    "PlainResponse",
    "PlainService",
    "PurchaseOrder",
    "ReleaseOrder",
    "ReportConflict",
    "Row",
    "RowKey",
    "Sampling",
    "StoreVersion",
    "TableService",
    "Transaction",
    "Transfer",
    "UsageInterface",
    "UsageReport",
    "WeightStore",
    "WeightsBusy",
    "Write",
    "role_or_none",
]
