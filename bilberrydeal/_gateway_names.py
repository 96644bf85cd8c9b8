"""Checks that the settings of a gateway name only what exists.

It loads nothing that a gateway does not use.
"""

from . import _choices
from . import settings
from .systems import placement


def problems(
    chosen: settings.GatewaySettings,
) -> tuple[settings.Problem, ...]:
    """Return a problem for each name that nobody registered."""
    return _choices.unregistered(
        [
            _choices.Choice("placer", chosen.placer, placement.PLACERS),
            _choices.Choice(
                "role_plan", chosen.role_plan, placement.ROLE_PLANS
            ),
        ]
    )
