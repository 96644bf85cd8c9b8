"""Client of the operator API, with the calls of the command line."""

import typing

import aiohttp
import attrs
import msgspec

from bilberrydeal import operators

#: Timeout of one call.
CALL_TIMEOUT_S = 20.0

Body = typing.TypeVar("Body")


@attrs.frozen
class Refused(Exception):
    """Raised when the API refuses a call."""

    status: int
    text: str


class Operator:
    """Changes the configuration through one entry."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, key: str
    ) -> None:
        self._session = session
        self._url = f"{url}/operator/v1"
        self._headers = {"Authorization": f"Bearer {key}"}

    async def organisation(
        self, name: str, weight: float = 1.0, expected_revision: int = 0
    ) -> int:
        """Set an organisation's row and return the revision."""
        body = operators.OrganisationInput(
            expected_revision=expected_revision, weight=weight
        )
        path = f"/organisations/{name}"
        committed = await self.call("PUT", path, operators.Committed, body)
        return committed.revision

    async def model(self, name: str) -> None:
        """Add a model served by the service of the same name."""
        body = operators.ModelInput(expected_revision=0, service=name)
        await self.call("PUT", f"/models/{name}", operators.Committed, body)

    async def route(
        self, name: str, route_input: operators.RouteInput
    ) -> None:
        """Set a route."""
        await self.call(
            "PUT", f"/routes/{name}", operators.Committed, route_input
        )

    async def issue_key(self, organisation: str) -> operators.KeyIssued:
        """Issue a key."""
        body = operators.KeyInput(organisation=organisation)
        return await self.call("POST", "/keys", operators.KeyIssued, body)

    async def withdraw_key(self, key_id: str) -> None:
        """Withdraw a key."""
        await self.call("DELETE", f"/keys/{key_id}", operators.Committed)

    async def organisations(self) -> operators.OrganisationList:
        """Return all organisations."""
        return await self.call(
            "GET", "/organisations", operators.OrganisationList
        )

    async def leases(self) -> operators.LeaseList:
        """Return the leases: which process holds which duty."""
        return await self.call("GET", "/leases", operators.LeaseList)

    async def status(self) -> operators.Status:
        """Return the status that the entry reports."""
        return await self.call("GET", "/status", operators.Status)

    async def call(
        self, method: str, path: str, kind: type[Body], body: object = None
    ) -> Body:
        """Make one call; raise :class:`Refused` if the API refuses it."""
        async with self._session.request(
            method,
            self._url + path,
            data=None if body is None else msgspec.json.encode(body),
            headers=self._headers,
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        ) as answer:
            content = await answer.read()
            if answer.status >= 300:
                raise Refused(answer.status, content.decode())
            return msgspec.json.decode(content, type=kind)
