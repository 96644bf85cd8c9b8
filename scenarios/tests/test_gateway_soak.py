"""Short seeded runs of the gateway soak, with seeds that once failed."""

import pathlib

import pytest

from scenarios import _gateways
from scenarios import gateway_soak

#: Seeds that once failed, with the cause.
REGRESSION_SEEDS = {
    4: "a gateway that was draining when faults ended was never restarted",
    11: "the same",
}
NEW_SEEDS = (101,)
DURATION_S = 6.0
LIMITS_DURATION_S = 14.0
CRASHING_DURATION_S = 12.0
ROUTES_DURATION_S = 20.0
VERSIONS_DURATION_S = 12.0


@pytest.mark.parametrize("seed", [*NEW_SEEDS, *REGRESSION_SEEDS])
async def test_invariants_hold_under_random_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    assert await gateway_soak.soak(seed, DURATION_S, tmp_path) == []


@pytest.mark.parametrize(
    ("seed", "gateways"), [(301, 1), (302, 4)], ids=["one", "four"]
)
async def test_request_limits_are_kept_beside_restarts_of_gateways(
    seed: int, gateways: int, tmp_path: pathlib.Path
) -> None:
    problems = await gateway_soak.soak(
        seed,
        LIMITS_DURATION_S,
        tmp_path,
        _gateways.FleetSize(gateways=gateways),
        ("worker_limits", "worker_limits", "kill_gateway", "pause_gateway"),
    )
    assert problems == []


@pytest.mark.parametrize(
    ("seed", "gateways"), [(401, 1), (402, 4)], ids=["one", "four"]
)
async def test_crashing_request_is_kept_from_workers_beside_restarts(
    seed: int, gateways: int, tmp_path: pathlib.Path
) -> None:
    problems = await gateway_soak.soak(
        seed,
        CRASHING_DURATION_S,
        tmp_path,
        _gateways.FleetSize(gateways=gateways),
        ("crashing_request", "crashing_request", "kill_gateway"),
    )
    assert problems == []


@pytest.mark.parametrize("seed", [501, 502])
async def test_streams_hold_one_version_though_all_gateways_are_killed(
    seed: int, tmp_path: pathlib.Path
) -> None:
    problems = await gateway_soak.soak(
        seed,
        VERSIONS_DURATION_S,
        tmp_path,
        _gateways.FleetSize(gateways=3, decode_workers=4, versions=2),
        ("kill_all_gateways", "kill_gateway", "worker_misbehaves"),
    )
    assert problems == []


@pytest.mark.parametrize("seed", [701, 702])
async def test_changes_of_a_large_configuration_are_in_force_beside_restarts(
    seed: int, tmp_path: pathlib.Path
) -> None:
    problems = await gateway_soak.soak(
        seed,
        ROUTES_DURATION_S,
        tmp_path,
        _gateways.FleetSize(gateways=4, routes=2_800, link_mbps=4.0),
        (*["hang_up_gateway"] * 5, "terminate_gateway"),
    )
    assert problems == []
