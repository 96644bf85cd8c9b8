"""Endpoint service and delayed host list."""

import time

from aiohttp import web
import attrs

from bilberrydeal import ports

from .. import _journal
from .. import _serve


@attrs.frozen
class Ordered:
    """Journal event of a purchase or release."""

    #: ``purchase`` or ``release``.
    order: str
    order_id: str
    failure_domain: str
    #: Number of endpoints ordered; 1 for a release.
    count: int
    #: Purchased service or released endpoint.
    subject: str
    fence: int
    received_s: float
    #: ``done``, ``repeated`` or ``fenced``.
    outcome: str


@attrs.frozen
class EndpointListCall:
    """Body of ``/v1/endpoints/list``."""

    failure_domain: str


@attrs.frozen
class Endpoints:
    """Body for both listing endpoints and setting them in a scenario."""

    endpoints: tuple[ports.EndpointRecord, ...]


@attrs.frozen
class Hosts:
    """Body for both listing hosts and setting them in a scenario."""

    hosts: tuple[ports.HostRecord, ...]


class EndpointService:
    """Accepts orders and delivers endpoints after a delay."""

    def __init__(
        self,
        journal: _journal.Journal,
        delivery_s: float,
        checks_fencing: bool,
    ) -> None:
        self._journal = journal
        self._delivery_s = delivery_s
        self._checks_fencing = checks_fencing
        self._seen_order_ids: set[str] = set()
        self._highest_fences: dict[str, int] = {}
        self._records: dict[str, ports.EndpointRecord] = {}
        self._live_from_s: dict[str, float] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service and its control route."""
        return [
            web.post("/v1/endpoints/purchase", self._purchase),
            web.post("/v1/endpoints/release", self._release),
            web.post("/v1/endpoints/list", self._list),
            web.post("/control/endpoints", self._replace),
        ]

    async def _purchase(self, request: web.Request) -> web.Response:
        order = await _serve.read_body(request, ports.PurchaseOrder)
        outcome = self._record_order(
            "purchase", order, order.count, order.service
        )
        if outcome == "done":
            for number in range(order.count):
                self._deliver(order, f"{order.order_id}-{number}")
        return _outcome_response(outcome)

    async def _release(self, request: web.Request) -> web.Response:
        order = await _serve.read_body(request, ports.ReleaseOrder)
        outcome = self._record_order("release", order, 1, order.endpoint_id)
        record = self._records.get(order.endpoint_id)
        if outcome == "done" and record:
            self._records[order.endpoint_id] = attrs.evolve(
                record, state="leaving"
            )
        return _outcome_response(outcome)

    async def _list(self, request: web.Request) -> web.Response:
        call = await _serve.read_body(request, EndpointListCall)
        listed = [
            self._current(record)
            for record in self._records.values()
            if record.failure_domain == call.failure_domain
        ]
        return _serve.json_response(Endpoints(tuple(listed)))

    async def _replace(self, request: web.Request) -> web.Response:
        given = await _serve.read_body(request, Endpoints)
        self._records = {item.endpoint_id: item for item in given.endpoints}
        self._live_from_s = {}
        return _serve.json_response(_serve.EmptyBody())

    def _record_order(
        self,
        kind: str,
        order: ports.PurchaseOrder | ports.ReleaseOrder,
        count: int,
        subject: str,
    ) -> str:
        """Record an order and return its outcome."""
        highest = self._highest_fences.get(order.failure_domain, 0)
        outcome = "done"
        if self._checks_fencing and order.fence < highest:
            outcome = "fenced"
        elif order.order_id in self._seen_order_ids:
            outcome = "repeated"
        self._seen_order_ids.add(order.order_id)
        self._highest_fences[order.failure_domain] = max(highest, order.fence)
        self._journal.append(
            Ordered(
                order=kind,
                order_id=order.order_id,
                failure_domain=order.failure_domain,
                count=count,
                subject=subject,
                fence=order.fence,
                received_s=time.time(),
                outcome=outcome,
            )
        )
        return outcome

    def _deliver(self, order: ports.PurchaseOrder, endpoint_id: str) -> None:
        self._records[endpoint_id] = ports.EndpointRecord(
            endpoint_id=endpoint_id,
            host_id=endpoint_id,
            failure_domain=order.failure_domain,
            service=order.service,
            state="ordered",
        )
        self._live_from_s[endpoint_id] = time.monotonic() + self._delivery_s

    def _current(self, record: ports.EndpointRecord) -> ports.EndpointRecord:
        live_from_s = self._live_from_s.get(record.endpoint_id, 0.0)
        if record.state == "ordered" and time.monotonic() >= live_from_s:
            return attrs.evolve(record, state="live")
        return record


class HostService:
    """Lists the hosts that a scenario set, after a delay."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._visible: tuple[ports.HostRecord, ...] = ()
        self._pending: list[tuple[float, tuple[ports.HostRecord, ...]]] = []

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service and its control route."""
        return [
            web.post("/v1/hosts/list", self._list),
            web.post("/control/hosts", self._replace),
        ]

    async def _list(self, request: web.Request) -> web.Response:
        while self._pending and self._pending[0][0] <= time.monotonic():
            self._visible = self._pending.pop(0)[1]
        return _serve.json_response(Hosts(self._visible))

    async def _replace(self, request: web.Request) -> web.Response:
        given = await _serve.read_body(request, Hosts)
        self._pending.append((time.monotonic() + self._lag_s, given.hosts))
        return _serve.json_response(_serve.EmptyBody())


def _outcome_response(outcome: str) -> web.Response:
    return _serve.json_response(
        _serve.EmptyBody(), 409 if outcome == "fenced" else 200
    )
