"""Feeds the planners of roles and of the fleet with what is known."""

import collections
import collections.abc
import operator
import typing

import attrs

from .. import configuration
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
#: An order that is not applied for so long no longer counts as a change
#: under way: the engine may have refused it.
ORDER_PATIENCE_S = 120.0
#: The platform's list may lack what was ordered so long ago.
LIST_LAG_S = 10.0
#: Windows that planners look back on.
WINDOWS_KEPT = 120


@attrs.frozen
class _Ordered:
    """An order that its engine has not applied yet."""

    order_version: int
    #: When this process first saw it, monotonic.
    since_s: float


class Planning:
    """Holds the planners' tables and runs them for their duties."""

    def __init__(
        self,
        chosen: settings.EntrySettings,
        directory: membership.MemberDirectory,
        views: systems.Table[systems.EndpointView],
        current: collections.abc.Callable[[], configuration.Configuration],
    ) -> None:
        self._directory = directory
        self._current = current
        self._views = views
        self._tables = systems.Tables()
        self._windows: dict[str, collections.deque[roles.DemandWindow]] = {}
        self._ordered: dict[str, _Ordered] = {}
        self._unusable_s: dict[str, float] = {}
        self._seen_domains: set[str] = set()
        self._domains = chosen.fleet.failure_domains
        rules = roles.RoleRules()
        self._roles = roles.ROLE_PLANNERS.get(chosen.policy.roles)(rules)
        self._settled = roles.SettledOrders(rules)
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
        self._fill_roles(committed, now_s)
        self._roles.run(self._tables, now_s)
        self._settled.run(self._tables, now_s)
        return [
            duties.EngineTarget(
                endpoint_id=order.key,
                role=order.role,
                model=order.model,
                model_version=order.model_version,
                adapters=order.adapters,
            )
            for order in self._tables.of(roles.EngineOrder)
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

    def _fill_roles(self, committed: duties.Orders, now_s: float) -> None:
        """Bring the role planner's tables up to date."""
        self._fill_operators()
        endpoints = self._tables.of(roles.RoleEndpoint)
        _clear(endpoints)
        for agent in self._directory.agents():
            if agent.role:
                endpoints.put(self._role_endpoint(agent, committed, now_s))
        for model, windows in self._windows.items():
            self._tables.of(roles.ModelDemand).put(
                roles.ModelDemand(key=model, windows=tuple(windows))
            )
            self._tables.of(roles.ModelRates).put(self._rates(model))

    def _fill_operators(self) -> None:
        """Take what operators assigned and released."""
        current = self._current()
        assignments = self._tables.of(roles.Assignment)
        _clear(assignments)
        for row in current.assignments.values():
            assignments.put(
                roles.Assignment(row.name, row.role, row.version, row.adapters)
            )
        versions = self._tables.of(roles.ModelVersion)
        _clear(versions)
        # Of two models of one service, the one set last decides.
        for model in sorted(
            current.models.values(), key=operator.attrgetter("revision")
        ):
            if model.version:
                versions.put(roles.ModelVersion(model.service, model.version))

    def _role_endpoint(
        self,
        agent: membership.AgentMember,
        committed: duties.Orders,
        now_s: float,
    ) -> roles.RoleEndpoint:
        order = committed.get(agent.endpoint_id)
        changing = self._is_changing(agent, order, now_s)
        view = self._views.get(agent.endpoint_id)
        closed = systems.CircuitState.CLOSED
        return roles.RoleEndpoint(
            key=agent.endpoint_id,
            model=agent.service,
            failure_domain=agent.failure_domain,
            role=(
                order.role
                if order is not None and changing
                else ports.EngineRole(agent.role)
            ),
            changing=changing,
            assigned=agent.endpoint_id in self._tables.of(roles.Assignment),
            model_version=order.model_version if order else "",
            adapters=order.adapters if order else (),
            usable=(
                agent.state is membership.MemberState.LIVE
                and (view is None or view.circuit is closed)
            ),
        )

    def _is_changing(
        self,
        agent: membership.AgentMember,
        order: orders.CommittedOrder | None,
        now_s: float,
    ) -> bool:
        """Return whether an order is under way, and not long overdue."""
        if order is None or order.order_version <= agent.order_version:
            self._ordered.pop(agent.endpoint_id, None)
            return False
        seen = self._ordered.get(agent.endpoint_id)
        if seen is None or seen.order_version != order.order_version:
            seen = _Ordered(order.order_version, now_s)
            self._ordered[agent.endpoint_id] = seen
        return now_s - seen.since_s < ORDER_PATIENCE_S

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
            endpoints.put(self._fleet_endpoint(agent, view.now_s))
        present = {a.endpoint_id for a in agents if not self._restarts(a)}
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
        self._fill_unlisted(view, outstanding)
        self._fill_load(agents)

    def _restarts(self, agent: membership.AgentMember) -> bool:
        """Tell whether an agent leaves on a host that stays.

        It is then replaced, and its endpoint goes only if the platform's
        list says so: a restart of agents one by one must buy nothing.
        """
        return (
            agent.state is membership.MemberState.LEAVING
            and not self._directory.host_leaves(agent.host_id)
        )

    def _fill_unlisted(
        self,
        view: duties.FleetView,
        outstanding: systems.Table[fleet.OutstandingOrder],
    ) -> None:
        """Count what was ordered too recently to be in the list."""
        listed = collections.Counter(order.service for order in outstanding)
        ordered = collections.Counter[str]()
        for intent in view.recent:
            if view.wall_s - intent.decided_at_s < LIST_LAG_S:
                ordered[intent.service] += intent.count
        for service, count in ordered.items():
            missing = count - listed[service]
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
        for service, windows in self._windows.items():
            rates = self._rates(service)
            self._tables.of(fleet.ServiceLoad).put(
                fleet.ServiceLoad(
                    key=service,
                    windows=tuple(_load(window, rates) for window in windows),
                )
            )

    def _open_since_s(
        self,
        endpoint_id: str,
        view: systems.EndpointView | None,
        now_s: float,
    ) -> float:
        """Return since when an endpoint's circuit is open, 0 if it is not."""
        if view is None or view.circuit is systems.CircuitState.CLOSED:
            self._unusable_s.pop(endpoint_id, None)
            return 0.0
        return self._unusable_s.setdefault(endpoint_id, now_s)

    def _fleet_endpoint(
        self, agent: membership.AgentMember, now_s: float
    ) -> fleet.FleetEndpoint:
        leaving = agent.state is membership.MemberState.LEAVING
        view = self._views.get(agent.endpoint_id)
        open_since_s = self._open_since_s(agent.endpoint_id, view, now_s)
        return fleet.FleetEndpoint(
            key=agent.endpoint_id,
            service=agent.service,
            failure_domain=agent.failure_domain,
            usable=not leaving and not open_since_s,
            unusable_since_s=open_since_s,
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


Row = typing.TypeVar("Row", bound=systems.Entity)


def _clear(table: systems.Table[Row]) -> None:
    for row in list(table):
        table.remove(row.key)
