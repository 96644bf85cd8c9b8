"""Decision systems that run over tables of entities, without any I/O."""

from ._entities import CircuitState
from ._entities import EndpointLoad
from ._entities import EndpointView
from ._entities import EntryView
from ._entities import OrganisationView
from ._entities import PendingRequest
from ._schedule import Schedule
from ._schedule import System
from ._tables import Entity
from ._tables import Table
from ._tables import Tables

__all__ = [
    "CircuitState",
    "EndpointLoad",
    "EndpointView",
    "Entity",
    "EntryView",
    "OrganisationView",
    "PendingRequest",
    "Schedule",
    "System",
    "Table",
    "Tables",
]
