"""Configures a fleet through the operator API."""

import aiohttp

from bilberrydeal import operators

from . import _composition
from . import _operator
from . import _waits


async def configure(
    operator: _operator.Operator, hosts: list[_composition.Host]
) -> None:
    """Add organisations, a model and routes once the API is reachable."""

    async def reachable() -> bool:
        for host in hosts:
            if not host.process.alive:
                raise RuntimeError(f"{host.name} exited during start-up")
        try:
            await operator.organisations()
        except (aiohttp.ClientError, _operator.Refused):
            return False
        return True

    await _waits.eventually(reachable, "the operator API")

    async def accepted() -> bool:
        try:
            await operator.organisation(_composition.ORGANISATIONS[0])
        except _operator.Refused:
            return False
        return True

    await _waits.eventually(accepted, "acceptance of the first change")
    for name in _composition.ORGANISATIONS[1:]:
        await operator.organisation(name)
    await operator.model(_composition.MODEL)
    for path, idempotent in (
        ("deposit", False),
        ("label", False),
        ("stock", True),
    ):
        await operator.route(
            path,
            operators.RouteInput(
                expected_revision=0,
                path=f"/{path}",
                idempotent=idempotent,
                service=_composition.SHOP,
            ),
        )
