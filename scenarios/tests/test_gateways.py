"""Fleets of gateways end what they have started."""

import pathlib

import pytest

from scenarios import _gateways


async def test_fleet_that_does_not_get_ready_leaves_no_process(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(*_arguments: object) -> None:
        raise TimeoutError("not ready")

    monkeypatch.setattr(_gateways.Fleet, "wait_ready", fail)
    fleet = _gateways.Fleet(_gateways.FleetSize(), tmp_path)
    with pytest.raises(TimeoutError):
        async with fleet:
            pytest.fail("the fleet is ready")
    assert not any(member.process.alive for member in fleet.members)
