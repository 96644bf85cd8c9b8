"""Short seeded runs of the soak of gateways, and seeds that once failed."""

import pathlib

import pytest

from scenarios import gateway_soak

#: Seeds that once failed, with the cause.
FAILED = {
    4: "a gateway that was leaving when faults ended was never started anew",
    11: "the same",
}
FRESH = (101,)
DURATION_S = 6.0


@pytest.mark.parametrize("seed", [*FRESH, *FAILED])
async def test_promises_hold_under_random_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    assert await gateway_soak.soak(seed, DURATION_S, tmp_path) == []
