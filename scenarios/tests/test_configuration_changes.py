"""Changes of the configuration reach gateways on narrow links in time."""

import asyncio
import pathlib
import time

import aiohttp

from scenarios import _gateways

#: Time within which a change has to be in force, in seconds.
APPLY_LIMIT_S = 3.0
BOUNDS = {"configuration_apply_ms": 3000, "endpoint_leave_ms": 3000}
ROUTES = 2_800
#: Bandwidth that other traffic leaves of a narrow link, in Mbit/s.
LINK_MBPS = 2.8
#: Changes, and the pauses between them, which no period divides, in seconds.
CHANGES = 5
PAUSE_S = 1.13
PROBE_INTERVAL_S = 0.1
NOT_FOUND = 404


async def _ask(
    fleet: _gateways.Fleet, gateway: _gateways.Member, route: str
) -> int:
    """Return the status of a request on a route."""
    url = f"http://{gateway.address}:{_gateways.CALLERS_PORT}/{route}/1"
    headers = {
        "Host": _gateways.HOST_HEADER,
        "Request-Id": f"probe-{gateway.name}-{time.monotonic_ns()}",
        "Key": _gateways.KEYS["russo"],
        "Deadline-Ms": "2000",
    }
    timeout = aiohttp.ClientTimeout(total=2.0)
    try:
        async with fleet.session.get(
            url, headers=headers, timeout=timeout
        ) as answer:
            await answer.read()
            return answer.status
    except (aiohttp.ClientError, TimeoutError):
        return 0


async def _in_force_s(
    fleet: _gateways.Fleet, gateway: _gateways.Member, route: str
) -> float:
    """Return how long a new route is refused as unknown from now on."""
    acknowledged_s = time.monotonic()
    while True:
        sent_s = time.monotonic()
        if await _ask(fleet, gateway, route) != NOT_FOUND:
            return sent_s - acknowledged_s
        await asyncio.sleep(PROBE_INTERVAL_S)


async def test_large_configuration_is_in_force_in_time_on_a_narrow_link(
    tmp_path: pathlib.Path,
) -> None:
    size = _gateways.FleetSize(
        gateways=3,
        prefill_workers=0,
        decode_workers=0,
        link_mbps=LINK_MBPS,
    )
    late = []
    settings = {"bounds": _gateways.BOUNDS | BOUNDS}
    async with _gateways.Fleet(size, tmp_path, settings) as fleet:
        fleet.added_routes += [f"more-{n}" for n in range(ROUTES)]
        for change in range(CHANGES):
            await asyncio.sleep(PAUSE_S)
            fleet.added_routes.append(f"new-{change}")
            await fleet.configure()
            async with asyncio.timeout(20.0):
                took_s = await asyncio.gather(
                    *(
                        _in_force_s(fleet, each, f"new-{change}")
                        for each in fleet.gateways
                    )
                )
            print(f"change {change}: {[round(each, 2) for each in took_s]}")
            late += [each for each in took_s if each > APPLY_LIMIT_S]
    assert late == []
