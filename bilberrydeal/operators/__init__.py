"""Request and response bodies of the operator API.

The entry serves them and the command line calls them."""

from ._bodies import AssignmentInput
from ._bodies import AssignmentList
from ._bodies import Committed
from ._bodies import EndpointList
from ._bodies import EndpointShown
from ._bodies import EntryShown
from ._bodies import KeyInput
from ._bodies import KeyIssued
from ._bodies import KeyList
from ._bodies import KeyShown
from ._bodies import LeaseList
from ._bodies import LeaseShown
from ._bodies import ModelInput
from ._bodies import ModelRows
from ._bodies import OrganisationInput
from ._bodies import OrganisationList
from ._bodies import RoleList
from ._bodies import RoleShown
from ._bodies import RouteInput
from ._bodies import RouteList
from ._bodies import ROW_NAME
from ._bodies import Status
from ._bodies import StatusLine
from ._bodies import Step
from ._bodies import Trace
from ._bodies import UsageList
from ._bodies import UsageShown

__all__ = [
    "AssignmentInput",
    "AssignmentList",
    "Committed",
    "EndpointList",
    "EndpointShown",
    "EntryShown",
    "KeyInput",
    "KeyIssued",
    "KeyList",
    "KeyShown",
    "LeaseList",
    "LeaseShown",
    "ModelInput",
    "ModelRows",
    "OrganisationInput",
    "OrganisationList",
    "ROW_NAME",
    "RoleList",
    "RoleShown",
    "RouteInput",
    "RouteList",
    "Status",
    "StatusLine",
    "Step",
    "Trace",
    "UsageList",
    "UsageShown",
]
