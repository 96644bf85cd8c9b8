"""Feeds the planners of roles and of the fleet with what is known."""

import collections
import collections.abc
import typing

from .. import duties
from .. import membership
from .. import orders
from .. import ports
from .. import settings
from .. import systems
from ..systems import fleet
from ..systems import roles

#: Time between two looks at the demand of all entries.
WINDOW_S = 5.0
#: Windows that planners look back on.
WINDOWS_KEPT = 120


class Planning:
    """Holds the planners' tables and runs them for their duties."""

    def __init__(
        self,
        chosen: settings.EntrySettings,
        directory: membership.MemberDirectory,
        views: systems.Table[systems.EndpointView],
    ) -> None:
        self._directory = directory
        self._views = views
        self._tables = systems.Tables()
        self._windows: dict[str, collections.deque[roles.DemandWindow]] = {}
        self._domains = chosen.fleet.failure_domains
        self._roles = roles.ROLE_PLANNERS.get(chosen.policy.roles)(
            roles.RoleRules()
        )
        self._fleet = fleet.FLEET_PLANNERS.get(chosen.policy.fleet)(
            fleet.FleetRules(
                failure_domains=chosen.fleet.failure_domains,
                services=chosen.fleet.services,
                survive_domains=chosen.fleet.survive_domains,
                fewest_per_domain=chosen.fleet.fewest_per_domain,
                most_per_domain=chosen.fleet.most_per_domain,
                delivery_s=chosen.fleet.delivery_s,
            )
        )

    def observe(
        self,
        members: collections.abc.Iterable[membership.EntryMember],
        now_s: float,
    ) -> None:
        """Take the demand that all entries reported."""
        totals: dict[str, tuple[float, float]] = {}
        for member in members:
            for demand in member.demand:
                prompt, output = totals.get(demand.service, (0.0, 0.0))
                totals[demand.service] = (
                    prompt + demand.prompt_tokens_per_s,
                    output + demand.output_tokens_per_s,
                )
        for service in totals.keys() | self._windows.keys():
            prompt, output = totals.get(service, (0.0, 0.0))
            kept = self._windows.setdefault(
                service, collections.deque(maxlen=WINDOWS_KEPT)
            )
            kept.append(
                roles.DemandWindow(
                    end_s=now_s,
                    length_s=WINDOW_S,
                    prompt_tokens=prompt * WINDOW_S,
                    output_tokens=output * WINDOW_S,
                )
            )

    def decide_roles(
        self, committed: duties.Orders, now_s: float
    ) -> list[duties.EngineTarget]:
        """Return what engines should be."""
        self._fill_roles(committed)
        self._roles.run(self._tables, now_s)
        return [
            duties.EngineTarget(
                endpoint_id=order.key,
                role=order.role,
                model=order.model,
                model_version=_version(committed.get(order.key)),
            )
            for order in self._tables.of(roles.RoleOrder)
        ]

    def decide_fleet(self, view: duties.FleetView) -> duties.FleetDecision:
        """Return what to order and release in one failure domain."""
        self._fill_fleet(view)
        self._fleet.run(self._tables, view.now_s)
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

    def _fill_roles(self, committed: duties.Orders) -> None:
        """Bring the role planner's tables up to date."""
        endpoints = self._tables.of(roles.RoleEndpoint)
        _clear(endpoints)
        for agent in self._directory.agents():
            if agent.role:
                endpoints.put(self._role_endpoint(agent, committed))
        for model, windows in self._windows.items():
            self._tables.of(roles.ModelDemand).put(
                roles.ModelDemand(key=model, windows=tuple(windows))
            )
            self._tables.of(roles.ModelRates).put(self._rates(model))

    def _role_endpoint(
        self, agent: membership.AgentMember, committed: duties.Orders
    ) -> roles.RoleEndpoint:
        order = committed.get(agent.endpoint_id)
        view = self._views.get(agent.endpoint_id)
        closed = systems.CircuitState.CLOSED
        return roles.RoleEndpoint(
            key=agent.endpoint_id,
            model=agent.service,
            failure_domain=agent.failure_domain,
            role=order.role if order else ports.EngineRole(agent.role),
            changing=(
                order is not None and order.order_version > agent.order_version
            ),
            usable=(
                agent.state is membership.MemberState.LIVE
                and (view is None or view.circuit is closed)
            ),
        )

    def _rates(self, model: str) -> roles.ModelRates:
        """Return the mean rates of the engines that this entry sees."""
        views = [view for view in self._views if view.service == model]
        if not views:
            return roles.ModelRates(key=model)
        return roles.ModelRates(
            key=model,
            prefill_tokens_per_s=sum(v.prefill_tokens_per_s for v in views)
            / len(views),
            decode_tokens_per_s=sum(v.decode_tokens_per_s for v in views)
            / len(views),
        )

    def _fill_fleet(self, view: duties.FleetView) -> None:
        """Bring the fleet planner's tables up to date."""
        agents = self._directory.agents()
        endpoints = self._tables.of(fleet.FleetEndpoint)
        _clear(endpoints)
        for agent in agents:
            endpoints.put(self._fleet_endpoint(agent))
        present = {agent.endpoint_id for agent in agents}
        outstanding = self._tables.of(fleet.OutstandingOrder)
        _clear(outstanding)
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
        self._fill_load(agents)

    def _fill_load(
        self, agents: collections.abc.Sequence[membership.AgentMember]
    ) -> None:
        alive = {agent.failure_domain for agent in agents}
        for domain in self._domains:
            self._tables.of(fleet.DomainState).put(
                fleet.DomainState(
                    key=domain, lost=bool(alive) and domain not in alive
                )
            )
        for service, windows in self._windows.items():
            rates = self._rates(service)
            self._tables.of(fleet.ServiceLoad).put(
                fleet.ServiceLoad(
                    key=service,
                    windows=tuple(_load(window, rates) for window in windows),
                )
            )

    def _fleet_endpoint(
        self, agent: membership.AgentMember
    ) -> fleet.FleetEndpoint:
        leaving = agent.state is membership.MemberState.LEAVING
        view = self._views.get(agent.endpoint_id)
        return fleet.FleetEndpoint(
            key=agent.endpoint_id,
            service=agent.service,
            failure_domain=agent.failure_domain,
            usable=not leaving,
            leaving=leaving,
            in_flight=view.running + view.waiting if view else 0,
        )


def _load(
    window: roles.DemandWindow, rates: roles.ModelRates
) -> fleet.LoadWindow:
    busy_s = (
        window.prompt_tokens / rates.prefill_tokens_per_s
        + window.output_tokens / rates.decode_tokens_per_s
    )
    return fleet.LoadWindow(
        end_s=window.end_s, busy_endpoints=busy_s / window.length_s
    )


def _version(order: orders.CommittedOrder | None) -> str:
    return order.model_version if order else ""


Row = typing.TypeVar("Row", bound=systems.Entity)


def _clear(table: systems.Table[Row]) -> None:
    for row in list(table):
        table.remove(row.key)
