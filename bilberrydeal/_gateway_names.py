"""Checks the implementation names in the settings of a gateway.

Separate from the checks for other roles, so that a gateway imports no module
that it does not use.
"""

from . import _selected_names
from . import settings
from .systems import placement


def problems(
    gateway_settings: settings.GatewaySettings,
) -> tuple[settings.Problem, ...]:
    """Return a problem for each name that is not registered."""
    return _selected_names.unregistered(
        [
            _selected_names.SelectedName(
                "placer", gateway_settings.placer, placement.PLACERS
            ),
            _selected_names.SelectedName(
                "role_plan", gateway_settings.role_plan, placement.ROLE_PLANS
            ),
        ]
    )
