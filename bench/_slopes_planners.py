"""Measures how the processor time of the planners grows."""

from bilberrydeal import systems
from bilberrydeal.systems import fleet
from bilberrydeal.systems import roles

from . import _slopes


def _role_tables(models: int, engines: int) -> systems.Tables:
    tables = systems.Tables()
    windows = tuple(
        roles.DemandWindow(
            5.0 * i, 5.0, 60_000.0 * (2 + i % 3), 120_000.0 * (2 + i % 2)
        )
        for i in range(1, 121)
    )
    for model in range(models):
        name = f"model-{model}"
        tables.of(roles.ModelRates).put(roles.ModelRates(name))
        tables.of(roles.ModelDemand).put(roles.ModelDemand(name, windows))
        for i in range(engines):
            tables.of(roles.RoleEndpoint).put(
                roles.RoleEndpoint(
                    f"{name}-{i}", name, f"domain{i % 7}", roles.Role.BOTH
                )
            )
    return tables


@_slopes.SLOPES.register("role planner, models")
def role_models() -> _slopes.Slope:
    """Measure a run of the role planner by models with 174 engines each."""

    def measure(size: int) -> float:
        tables = _role_tables(size, 174)
        planner = roles.HorizonRoles(roles.RoleRules())
        return _slopes.cpu_s(lambda: planner.run(tables, 600.0))

    return _slopes.measure_sizes(
        "one run of the role planner, s", "models", (1, 6, 12, 23), measure
    )


@_slopes.SLOPES.register("role planner, engines")
def role_engines() -> _slopes.Slope:
    """Measure a run of the role planner by the engines of one model."""

    def measure(size: int) -> float:
        tables = _role_tables(1, size)
        planner = roles.HorizonRoles(roles.RoleRules())
        return _slopes.cpu_s(lambda: planner.run(tables, 600.0))

    return _slopes.measure_sizes(
        "one run for one model, s", "engines", (5, 20, 80, 320), measure, 1071
    )


@_slopes.SLOPES.register("fleet planner")
def fleet_planner() -> _slopes.Slope:
    """Measure a run of the fleet planner for 23 services."""

    def measure(size: int) -> float:
        names = tuple(f"model-{i}" for i in range(23))
        domains = tuple(f"domain{i}" for i in range(7))
        rules = fleet.FleetRules(domains, names, most_per_domain=200)
        tables = systems.Tables()
        for i in range(size):
            tables.of(fleet.FleetEndpoint).put(
                fleet.FleetEndpoint(
                    f"e{i}", names[i % 23], domains[i // 23 % 7]
                )
            )
        windows = tuple(
            fleet.LoadWindow(5.0 * i, size / 23 * 0.6) for i in range(1, 121)
        )
        for name in names:
            tables.of(fleet.ServiceLoad).put(fleet.ServiceLoad(name, windows))
        planner = fleet.DomainLossFleet(rules)
        return _slopes.cpu_s(lambda: planner.run(tables, 600.0))

    return _slopes.measure_sizes(
        "one run of the fleet planner, s",
        "endpoints",
        (46, 460, 1840, 4000),
        measure,
    )
