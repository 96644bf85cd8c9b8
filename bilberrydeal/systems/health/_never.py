"""No ejections."""

import typing

from .. import _tables
from . import _base


@_base.HEALTH.register("never")
class NeverEject:
    """Leaves every circuit closed: the baseline."""

    reads: typing.ClassVar[tuple[type, ...]] = ()
    writes: typing.ClassVar[tuple[type, ...]] = ()

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def observe(self, observation: _base.Observation, now_s: float) -> None:
        """Keep nothing."""

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Change nothing."""

    def probes(self, tables: _tables.Tables, now_s: float) -> list[str]:
        """Return nothing."""
        return []
