"""Port to the platform's interface for buying and releasing endpoints."""

import typing

import attrs


@attrs.frozen
class PurchaseOrder:
    """An order for endpoints in one failure domain."""

    #: Idempotency key of the order; a repeat has no effect.
    order_id: str
    #: Failure domain in which the endpoints are placed.
    failure_domain: str
    #: Number of endpoints ordered.
    count: int
    #: Model or plain service that the endpoints serve.
    service: str
    #: Fencing token of the lease under which the order was made.
    fence: int


@attrs.frozen
class ReleaseOrder:
    """An order to release one endpoint."""

    #: Idempotency key of the order; a repeat has no effect.
    order_id: str
    #: Failure domain of the endpoint.
    failure_domain: str
    #: Name of the endpoint to release.
    endpoint_id: str
    #: Fencing token of the lease under which the order was made.
    fence: int


@attrs.frozen
class EndpointRecord:
    """One endpoint in the platform's list."""

    #: Name of the endpoint.
    endpoint_id: str
    #: Name of its host.
    host_id: str
    #: Failure domain of the host.
    failure_domain: str
    #: Model or plain service that it serves.
    service: str
    #: ``ordered``, ``live`` or ``leaving``.
    state: str


class EndpointInterface(typing.Protocol):
    """Buys and releases endpoints.

    Calls raise the same errors as the table service. ``OutcomeUnknown`` is
    resolved by sending the order again with the same ``order_id``.
    """

    async def purchase(self, order: PurchaseOrder, timeout_s: float) -> None:
        """Order endpoints, which the platform delivers later."""

    async def release(self, order: ReleaseOrder, timeout_s: float) -> None:
        """Release one endpoint."""

    async def endpoints(
        self, failure_domain: str, timeout_s: float
    ) -> tuple[EndpointRecord, ...]:
        """List the endpoints of one failure domain."""
