"""What every health system does."""

import collections.abc
import typing

import attrs

from ... import registry
from .. import _tables


@attrs.frozen
class Observation:
    """What this process saw of one request, or of one probe."""

    #: The endpoint that was used.
    endpoint_id: str
    #: Whether it did its work; a refusal for load is no failure.
    succeeded: bool
    #: Time to the first token or answer over what was expected; 0 without.
    slowness: float = 0.0
    #: Whether it was a probe.
    probe: bool = False


class HealthSystem(typing.Protocol):
    """Sets the circuit of each endpoint from what is observed.

    Example::

        health = HEALTH.get("outlier")(seed)
        health.observe(Observation("endpoint1", succeeded=True), now_s)
        health.run(tables, now_s)
        for endpoint_id in health.probes(tables, now_s):
            ...  # check it and observe the outcome
    """

    reads: typing.ClassVar[tuple[type, ...]]
    writes: typing.ClassVar[tuple[type, ...]]

    def observe(self, observation: Observation, now_s: float) -> None:
        """Take what was seen."""

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Set the circuits."""

    def probes(self, tables: _tables.Tables, now_s: float) -> list[str]:
        """Return endpoints to be probed now."""


#: Health systems by the names that settings use; made with a seed.
HEALTH: registry.Registry[collections.abc.Callable[[int], HealthSystem]] = (
    registry.Registry("health system")
)
