"""Ejects endpoints that do worse than their peers."""

import typing

from .. import _entities
from .. import _tables
from . import _base


@_base.HEALTH.register("outlier")
class OutlierHealth:
    """Opens circuits of outliers."""

    reads: typing.ClassVar[tuple[type, ...]] = ()
    writes: typing.ClassVar[tuple[type, ...]] = (_entities.EndpointView,)

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def observe(self, observation: _base.Observation, now_s: float) -> None:
        """Take what was seen."""

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Set the circuits."""

    def probes(self, tables: _tables.Tables, now_s: float) -> list[str]:
        """Return endpoints to be probed now."""
        return []
