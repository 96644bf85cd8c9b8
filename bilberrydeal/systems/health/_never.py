"""A health system that ejects no endpoints."""

import typing

from .. import _tables
from . import _base


@_base.HEALTH.register("never")
class NeverEject:
    """Leaves all circuits closed: the baseline."""

    reads: typing.ClassVar[tuple[type, ...]] = ()
    writes: typing.ClassVar[tuple[type, ...]] = ()

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def observe(self, observation: _base.Observation, now_s: float) -> None:
        """Ignore the observation."""

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Leave the circuit states unchanged."""

    def probes(self, tables: _tables.Tables, now_s: float) -> list[str]:
        """Return no endpoints."""
        return []
