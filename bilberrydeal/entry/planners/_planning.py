"""The role planner and the fleet planner, fed by the same demand."""

import collections.abc

from ... import configuration
from ... import duties
from ... import membership
from ... import settings
from ... import systems
from . import _fleet_planning
from . import _role_planning
from . import _windows


class Planning:
    """Owns the planners' tables and runs them for their duties."""

    def __init__(
        self,
        entry_settings: settings.EntrySettings,
        directory: membership.MemberDirectory,
        views: systems.Table[systems.EndpointView],
        current: collections.abc.Callable[[], configuration.Configuration],
    ) -> None:
        #: Tables of both planners.
        self.tables = systems.Tables()
        self._windows = _windows.DemandWindows(views)
        self._roles = _role_planning.RolePlanning(
            entry_settings.policy.roles,
            self.tables,
            self._windows,
            directory,
            views,
            current,
        )
        self._fleet = _fleet_planning.FleetPlanning(
            entry_settings.policy.fleet,
            entry_settings.fleet,
            self.tables,
            self._windows,
            directory,
            views,
        )

    def observe(
        self,
        members: collections.abc.Iterable[membership.EntryMember],
        now_s: float,
    ) -> None:
        """Record the demand that all entries reported."""
        self._windows.observe(members, now_s)

    def decide_roles(
        self, committed: duties.Orders, now_s: float
    ) -> list[duties.EngineTarget]:
        """Return the target role and model of each engine."""
        return self._roles.decide(committed, now_s)

    def decide_fleet(self, view: duties.FleetView) -> duties.FleetDecision:
        """Return the purchases and releases for one failure domain."""
        return self._fleet.decide(view)
