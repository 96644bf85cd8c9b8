"""Provides the fleet planner with its input."""

import collections
import collections.abc
import math

from ... import duties
from ... import membership
from ... import settings
from ... import systems
from ...systems import fleet
from ...systems import roles
from . import _windows

#: Time after which an ordered endpoint is in the platform's list.
LIST_DELAY_S = 10.0


class FleetPlanning:
    """Fills the fleet planner's tables and runs it."""

    def __init__(
        self,
        planner: str,
        fleet_settings: settings.FleetSettings,
        tables: systems.Tables,
        windows: _windows.DemandWindows,
        directory: membership.MemberDirectory,
        views: systems.Table[systems.EndpointView],
    ) -> None:
        self._planner = fleet.FLEET_PLANNERS.get(planner)(
            fleet.FleetRules(
                failure_domains=fleet_settings.failure_domains,
                services=fleet_settings.services,
                survive_domains=fleet_settings.survive_domains,
                fewest_per_domain=fleet_settings.fewest_per_domain,
                most_per_domain=fleet_settings.most_per_domain,
                delivery_s=fleet_settings.delivery_s,
            )
        )
        self._tables = tables
        self._windows = windows
        self._directory = directory
        self._views = views
        self._domains = fleet_settings.failure_domains
        self._circuit_open_since_s: dict[str, float] = {}
        self._seen_domains: set[str] = set()
        #: When each endpoint was first listed, by failure domain.
        self._first_listed_s: dict[str, dict[str, float]] = {}

    def decide(self, view: duties.FleetView) -> duties.FleetDecision:
        """Return the purchases and releases for one failure domain."""
        self._fill_fleet(view)
        self._planner.run(self._tables, view.now_s)
        domain = view.failure_domain
        return duties.FleetDecision(
            purchases=tuple(
                purchase
                for purchase in self._tables.of(fleet.Purchase)
                if purchase.failure_domain == domain
            ),
            releases=tuple(
                release
                for release in self._tables.of(fleet.Release)
                if release.failure_domain == domain
            ),
        )

    def _fill_fleet(self, view: duties.FleetView) -> None:
        """Update the fleet planner's tables."""
        agents = self._directory.agents()
        endpoints = self._tables.of(fleet.FleetEndpoint)
        endpoints.clear()
        for agent in agents:
            endpoints.put(self._fleet_endpoint(agent, view.now_s))
        present = {a.endpoint_id for a in agents if not self._is_restarting(a)}
        outstanding = self._tables.of(fleet.OutstandingOrder)
        outstanding.clear()
        for record in view.endpoints:
            if record.endpoint_id in present or record.state == "leaving":
                continue
            outstanding.put(
                fleet.OutstandingOrder(
                    key=record.endpoint_id,
                    service=record.service,
                    failure_domain=record.failure_domain,
                    missing=1,
                    ordered_at_s=view.now_s,
                )
            )
        self._fill_unlisted(view, outstanding)
        self._fill_load(agents)

    def _is_restarting(self, agent: membership.AgentMember) -> bool:
        """Return whether an agent is leaving on a host that stays.

        Such an agent is being restarted. Its endpoint counts as leaving only
        if the platform's list says so, so that a rolling restart of agents
        purchases nothing.
        """
        return (
            agent.state is membership.MemberState.LEAVING
            and not self._directory.is_host_leaving(agent.host_id)
        )

    def _fill_unlisted(
        self,
        view: duties.FleetView,
        outstanding: systems.Table[fleet.OutstandingOrder],
    ) -> None:
        """Add recent orders whose endpoints are not listed yet.

        Only endpoints listed after an order can belong to it. Those listed at
        this process's first look are assumed to be older, so an order may
        count twice for a while, which purchases nothing.
        """
        first_listed_s = self._listed_since(view)
        recent_intents: dict[str, list[duties.IntentRow]] = {}
        for intent in view.recent:
            if (
                view.wall_s - intent.decided_at_s < LIST_DELAY_S
                and intent.count
            ):
                recent_intents.setdefault(intent.service, []).append(intent)
        for service, intents in recent_intents.items():
            since_s = min(intent.decided_at_s for intent in intents)
            listed = sum(
                record.service == service
                and first_listed_s[record.endpoint_id] >= since_s
                for record in view.endpoints
            )
            missing = sum(intent.count for intent in intents) - listed
            if missing > 0:
                outstanding.put(
                    fleet.OutstandingOrder(
                        key=f"unlisted {service}",
                        service=service,
                        failure_domain=view.failure_domain,
                        missing=missing,
                        ordered_at_s=view.now_s,
                    )
                )

    def _listed_since(self, view: duties.FleetView) -> dict[str, float]:
        """Return when each endpoint was first listed, in epoch seconds."""
        before = self._first_listed_s.get(view.failure_domain)
        new_s = view.wall_s if before is not None else -math.inf
        known = before or {}
        listed = {
            record.endpoint_id: known.get(record.endpoint_id, new_s)
            for record in view.endpoints
        }
        self._first_listed_s[view.failure_domain] = listed
        return listed

    def _fill_load(
        self, agents: collections.abc.Sequence[membership.AgentMember]
    ) -> None:
        alive = {agent.failure_domain for agent in agents}
        self._seen_domains |= alive
        for domain in self._domains:
            self._tables.of(fleet.DomainState).put(
                fleet.DomainState(
                    key=domain,
                    lost=domain in self._seen_domains - alive and bool(alive),
                )
            )
        for service, windows in self._windows.by_service.items():
            rates = self._windows.rates(service)
            self._tables.of(fleet.ServiceLoad).put(
                fleet.ServiceLoad(
                    key=service,
                    windows=tuple(
                        _load_window(window, rates) for window in windows
                    ),
                )
            )

    def _track_open_circuit(
        self,
        endpoint_id: str,
        view: systems.EndpointView | None,
        now_s: float,
    ) -> float:
        """Return when an endpoint's circuit opened, 0 if it is closed."""
        if view is None or view.circuit is systems.CircuitState.CLOSED:
            self._circuit_open_since_s.pop(endpoint_id, None)
            return 0.0
        return self._circuit_open_since_s.setdefault(endpoint_id, now_s)

    def _fleet_endpoint(
        self, agent: membership.AgentMember, now_s: float
    ) -> fleet.FleetEndpoint:
        leaving = agent.state is membership.MemberState.LEAVING
        view = self._views.get(agent.endpoint_id)
        open_since_s = self._track_open_circuit(agent.endpoint_id, view, now_s)
        return fleet.FleetEndpoint(
            key=agent.endpoint_id,
            service=agent.service,
            failure_domain=agent.failure_domain,
            usable=not leaving and not open_since_s,
            unusable_since_s=open_since_s,
            leaving=leaving,
            in_flight=view.running + view.waiting if view else 0,
        )


def _load_window(
    window: roles.DemandWindow, rates: roles.ModelRates
) -> fleet.LoadWindow:
    busy_s = (
        window.prompt_tokens / rates.prefill_tokens_per_s
        + window.output_tokens / rates.decode_tokens_per_s
    )
    return fleet.LoadWindow(
        end_s=window.end_s, busy_endpoints=busy_s / window.length_s
    )
