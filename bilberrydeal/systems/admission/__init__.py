"""Early refusal of work that cannot be served in time."""

from ._base import ADMISSION
from ._base import AdmissionControl
from ._base import Verdict
from ._bounded import BoundedAdmission
from ._fair_shed import FairShed

__all__ = [
    "ADMISSION",
    "AdmissionControl",
    "BoundedAdmission",
    "FairShed",
    "Verdict",
]
