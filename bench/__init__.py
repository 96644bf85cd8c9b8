"""Benchmarks the control systems in simulation and as real daemons.

``python -m bench`` runs all registered experiments. An experiment is a class
registered in :data:`EXPERIMENTS`. Importing this package imports the modules
that register one.
"""

from ._experiments import Case
from ._experiments import Experiment
from ._experiments import EXPERIMENTS
from ._experiments import Figure
from ._experiments import Measurement
from ._experiments import Target
from ._limits import Limits
from ._overload import Overload
from ._request_path import RequestPath
from .daemons import Daemons
from .fleet_experiments import FleetSize
from .fleet_experiments import Recovery
from .fleet_experiments import Roles
from .fleet_experiments import Subsets
from .path_cost import PathCost

__all__ = [
    "Case",
    "Daemons",
    "EXPERIMENTS",
    "Experiment",
    "Figure",
    "FleetSize",
    "Limits",
    "Measurement",
    "Overload",
    "PathCost",
    "Recovery",
    "RequestPath",
    "Roles",
    "Subsets",
    "Target",
]
