"""The interface of health systems."""

import collections.abc
import typing

import attrs

from ... import registry
from .. import _tables


@attrs.frozen
class Observation:
    """The outcome of one request or probe."""

    #: The endpoint that was called.
    endpoint_id: str
    #: Whether the call succeeded; a refusal because of load is no failure.
    succeeded: bool
    #: Time to first token or response over the expected time; 0 if unknown.
    slowness: float = 0.0
    #: Whether the call was a probe.
    probe: bool = False
    #: Whether it failed because nothing came from the endpoint in time.
    silent: bool = False


class HealthSystem(typing.Protocol):
    """Sets the circuit state of each endpoint from observations.

    Example::

        health = HEALTH.get("outlier")(seed)
        health.observe(Observation("endpoint1", succeeded=True), now_s)
        health.run(tables, now_s)
        for endpoint_id in health.probes(tables, now_s):
            ...  # probe it and observe the outcome
    """

    reads: typing.ClassVar[tuple[type, ...]]
    writes: typing.ClassVar[tuple[type, ...]]

    def observe(self, observation: Observation, now_s: float) -> None:
        """Record an observation."""

    def run(self, tables: _tables.Tables, now_s: float) -> None:
        """Set the circuit states."""

    def probes(self, tables: _tables.Tables, now_s: float) -> list[str]:
        """Return the endpoints to probe now."""


#: Health systems by their names in settings; called with a seed.
HEALTH: registry.Registry[collections.abc.Callable[[int], HealthSystem]] = (
    registry.Registry("health system")
)
