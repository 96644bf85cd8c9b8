"""Early refusal of work that cannot be served in time."""

from ._base import ADMISSION
from ._base import AdmissionControl
from ._base import Verdict
from ._bounded import BoundedAdmission

__all__ = ["ADMISSION", "AdmissionControl", "BoundedAdmission", "Verdict"]
