"""Measures the deciding systems against small fake engines.

``python -m bench`` runs all registered experiments. An experiment is a class
registered in :data:`EXPERIMENTS`; the modules that register are imported
below.
"""

from ._experiments import Case
from ._experiments import Experiment
from ._experiments import EXPERIMENTS
from ._experiments import Figure
from ._experiments import Measured
from ._experiments import Target
from ._request_path import RequestPath

__all__ = [
    "Case",
    "EXPERIMENTS",
    "Experiment",
    "Figure",
    "Measured",
    "RequestPath",
    "Target",
]
