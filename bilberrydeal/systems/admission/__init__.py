"""Admission control: early refusal of requests that cannot be served."""

from ._base import ADMISSION
from ._base import AdmissionControl
from ._base import AdmissionDecision
from ._bounded import BoundedAdmission
from ._fair_shed import FairShed

__all__ = [
    "ADMISSION",
    "AdmissionControl",
    "AdmissionDecision",
    "BoundedAdmission",
    "FairShed",
]
