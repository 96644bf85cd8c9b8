"""Endpoint interface and lagging host list."""

import time

from aiohttp import web
import attrs

from bilberrydeal import ports

from .. import _journal
from .. import _serve


@attrs.frozen
class Ordered:
    """A purchase or release that arrived."""

    #: ``purchase`` or ``release``.
    order: str
    order_id: str
    failure_domain: str
    #: Endpoints asked for; 1 for a release.
    count: int
    #: Service bought or endpoint released.
    subject: str
    fence: int
    received_s: float
    #: ``done``, ``repeated`` or ``fenced``.
    outcome: str


@attrs.frozen
class ListCall:
    """Body of a listing."""

    failure_domain: str


@attrs.frozen
class Endpoints:
    """Endpoints as listed and as set by a scenario."""

    endpoints: tuple[ports.EndpointRecord, ...]


@attrs.frozen
class Hosts:
    """Hosts as listed and as set by a scenario."""

    hosts: tuple[ports.HostRecord, ...]


class EndpointService:
    """Takes orders and delivers them after a delay."""

    def __init__(
        self, journal: _journal.Journal, delivery_s: float, checks: bool
    ) -> None:
        self._journal = journal
        self._delivery_s = delivery_s
        self._checks = checks
        self._seen: set[str] = set()
        self._fences: dict[str, int] = {}
        self._records: dict[str, ports.EndpointRecord] = {}
        self._live_from_s: dict[str, float] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service and of its control."""
        return [
            web.post("/v1/endpoints/purchase", self._purchase),
            web.post("/v1/endpoints/release", self._release),
            web.post("/v1/endpoints/list", self._list),
            web.post("/control/endpoints", self._set),
        ]

    async def _purchase(self, request: web.Request) -> web.Response:
        order = await _serve.read_body(request, ports.PurchaseOrder)
        outcome = self._take("purchase", order, order.count, order.service)
        if outcome == "done":
            for number in range(order.count):
                self._deliver(order, f"{order.order_id}-{number}")
        return _outcome(outcome)

    async def _release(self, request: web.Request) -> web.Response:
        order = await _serve.read_body(request, ports.ReleaseOrder)
        outcome = self._take("release", order, 1, order.endpoint_id)
        record = self._records.get(order.endpoint_id)
        if outcome == "done" and record:
            self._records[order.endpoint_id] = attrs.evolve(
                record, state="leaving"
            )
        return _outcome(outcome)

    async def _list(self, request: web.Request) -> web.Response:
        call = await _serve.read_body(request, ListCall)
        found = [
            self._current(record)
            for record in self._records.values()
            if record.failure_domain == call.failure_domain
        ]
        return _serve.json_response(Endpoints(tuple(found)))

    async def _set(self, request: web.Request) -> web.Response:
        given = await _serve.read_body(request, Endpoints)
        self._records = {item.endpoint_id: item for item in given.endpoints}
        self._live_from_s = {}
        return _serve.json_response(_serve.EmptyBody())

    def _take(
        self,
        kind: str,
        order: ports.PurchaseOrder | ports.ReleaseOrder,
        count: int,
        subject: str,
    ) -> str:
        """Record an order and return its outcome."""
        highest = self._fences.get(order.failure_domain, 0)
        outcome = "done"
        if self._checks and order.fence < highest:
            outcome = "fenced"
        elif order.order_id in self._seen:
            outcome = "repeated"
        self._seen.add(order.order_id)
        self._fences[order.failure_domain] = max(highest, order.fence)
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

    def _deliver(self, order: ports.PurchaseOrder, name: str) -> None:
        self._records[name] = ports.EndpointRecord(
            endpoint_id=name,
            host_id=name,
            failure_domain=order.failure_domain,
            service=order.service,
            state="ordered",
        )
        self._live_from_s[name] = time.monotonic() + self._delivery_s

    def _current(self, record: ports.EndpointRecord) -> ports.EndpointRecord:
        live_from_s = self._live_from_s.get(record.endpoint_id, 0.0)
        if record.state == "ordered" and time.monotonic() >= live_from_s:
            return attrs.evolve(record, state="live")
        return record


class HostService:
    """Shows what a scenario set, some time later."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._shown: tuple[ports.HostRecord, ...] = ()
        self._coming: list[tuple[float, tuple[ports.HostRecord, ...]]] = []

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service and of its control."""
        return [
            web.post("/v1/hosts/list", self._list),
            web.post("/control/hosts", self._set),
        ]

    async def _list(self, request: web.Request) -> web.Response:
        while self._coming and self._coming[0][0] <= time.monotonic():
            self._shown = self._coming.pop(0)[1]
        return _serve.json_response(Hosts(self._shown))

    async def _set(self, request: web.Request) -> web.Response:
        given = await _serve.read_body(request, Hosts)
        self._coming.append((time.monotonic() + self._lag_s, given.hosts))
        return _serve.json_response(_serve.EmptyBody())


def _outcome(outcome: str) -> web.Response:
    return _serve.json_response(
        _serve.EmptyBody(), 409 if outcome == "fenced" else 200
    )
