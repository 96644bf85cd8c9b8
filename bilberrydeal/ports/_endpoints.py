"""Port to the interface where endpoints are ordered and released."""

import typing

import attrs


@attrs.frozen
class PurchaseOrder:
    """Asks for endpoints in one failure domain."""

    #: Identity of the order; a repeat of it changes nothing.
    order_id: str
    #: Where the endpoints are to be.
    failure_domain: str
    #: How many endpoints are asked for.
    count: int
    #: What they serve: a model name or the name of a plain service.
    service: str
    #: Fencing number of the lease under which the order was decided.
    fence: int


@attrs.frozen
class ReleaseOrder:
    """Gives one endpoint back."""

    #: Identity of the order; a repeat of it changes nothing.
    order_id: str
    #: The failure domain that the endpoint is in.
    failure_domain: str
    #: The endpoint given back.
    endpoint_id: str
    #: Fencing number of the lease under which the order was decided.
    fence: int


@attrs.frozen
class EndpointRecord:
    """One endpoint as the platform lists it."""

    #: Name of the endpoint.
    endpoint_id: str
    #: The host it is on.
    host_id: str
    #: The failure domain that the host is in.
    failure_domain: str
    #: What it serves.
    service: str
    #: ``ordered``, ``live`` or ``leaving``.
    state: str


class EndpointInterface(typing.Protocol):
    """Orders endpoints; errors as those of the table service.

    ``OutcomeUnknown`` is resolved by repeating the order under its identity.
    """

    async def purchase(self, order: PurchaseOrder, timeout_s: float) -> None:
        """Order endpoints; they are delivered later."""

    async def release(self, order: ReleaseOrder, timeout_s: float) -> None:
        """Give one endpoint back."""

    async def endpoints(
        self, failure_domain: str, timeout_s: float
    ) -> tuple[EndpointRecord, ...]:
        """List the endpoints of one failure domain."""
