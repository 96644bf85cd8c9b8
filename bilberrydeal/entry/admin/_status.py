"""Routes that report the state of an entry and its fleet."""

import collections.abc
import typing

import msgspec
import sanic
from sanic import response

from ... import billing
from ... import duties
from ... import errors
from ... import leases
from ... import membership
from ... import operators
from ... import orders
from ... import systems
from ... import telemetry
from .. import accounting
from .. import cluster_state
from .. import core
from .. import http_api
from . import _gauges
from . import _operator

#: Maximum number of usage windows in a response.
USAGE_WINDOWS_LIMIT = 100
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class StatusRoutes:
    """Health checks for the load balancer, metrics and operator views."""

    def __init__(
        self,
        shared_state: cluster_state.SharedState,
        exchange: cluster_state.PeerExchange,
        admitter: core.RequestAdmitter,
        pool: core.LinkPool,
        runner: duties.DutyRunner,
        tables: systems.Tables,
        metrics: telemetry.Metrics,
        gauges: _gauges.Gauges,
        request_traces: core.RequestTraces,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._shared_state = shared_state
        self._member = shared_state.member
        self._exchange = exchange
        self._freshness = shared_state.freshness
        self._directory = shared_state.directory
        self._request_admitter = admitter
        self._pool = pool
        self._duties = runner
        self._tables = tables
        self._client = shared_state.client
        self._metrics = metrics
        self._gauges = gauges
        self._request_traces = request_traces
        self._rule = accounting.window_rule(shared_state.settings.usage)
        self._clock = clock

    def install(
        self,
        app: typing.Any,
        operator: _operator.OperatorRoutes,
        body_timeout_s: float,
    ) -> None:
        """Add the routes to the application."""
        for path, handler in (
            ("/healthz", self._health),
            ("/readyz", self._ready),
            ("/metrics", self._metrics_response),
        ):
            http_api.add_route(app, path, ["GET"], handler, body_timeout_s)
        for path, shown in (
            ("/status", self._status),
            ("/endpoints", self._endpoints),
            ("/leases", self._leases),
            ("/roles", self._roles),
            ("/usage", self._usage),
            ("/trace/<name:str>", self._trace),
        ):
            http_api.add_route(
                app,
                _operator.PREFIX + path,
                ["GET"],
                operator.require_operator_key(shown),
                body_timeout_s,
            )

    async def _health(self, request: sanic.Request) -> response.HTTPResponse:
        return response.HTTPResponse(b"ok\n", content_type="text/plain")

    async def _ready(self, request: sanic.Request) -> response.HTTPResponse:
        if self._request_admitter.closing:
            raise _not_ready("This entry is shutting down.")
        if not self._freshness.accepts(self._clock()):
            raise _not_ready("Keys cannot be checked at the moment.")
        return response.HTTPResponse(b"ready\n", content_type="text/plain")

    async def _metrics_response(
        self, request: sanic.Request
    ) -> response.HTTPResponse:
        self._gauges.refresh()
        return response.HTTPResponse(
            self._metrics.render(), content_type=METRICS_TYPE
        )

    async def _status(self, request: sanic.Request) -> response.HTTPResponse:
        await self._exchange.ask_all()
        now_s = self._clock()
        own = operators.EntryShown(
            entry=self._member.incarnation,
            address=self._member.address,
            failure_domain=self._member.failure_domain,
            revision=self._shared_state.current().revision,
            age_s=0.0,
        )
        others = [
            self._shown(member, now_s)
            for member in self._directory.entries()
            if member.incarnation != self._member.incarnation
        ]
        status = operators.Status(
            entry=self._member.incarnation,
            host_id=self._member.host_id,
            failure_domain=self._member.failure_domain,
            revision=self._shared_state.current().revision,
            keys_age_s=self._shared_state.keys_age_s(),
            in_flight=self._request_admitter.in_flight,
            closing=self._request_admitter.closing,
            duties=list(self._duties.held()),
            entries=[own, *others],
        )
        return _json_response(status)

    def _shown(
        self, member: membership.EntryMember, now_s: float
    ) -> operators.EntryShown:
        peer_status = self._exchange.peer_statuses.get(member.incarnation)
        return operators.EntryShown(
            entry=member.incarnation,
            address=member.address,
            failure_domain=member.failure_domain,
            revision=peer_status.revision if peer_status else 0,
            age_s=now_s - peer_status.at_s if peer_status else -1.0,
        )

    async def _endpoints(
        self, request: sanic.Request
    ) -> response.HTTPResponse:
        shown = [
            self._endpoint(view)
            for view in self._tables.of(systems.EndpointView)
        ]
        shown.sort(key=lambda endpoint: endpoint.endpoint_id)
        return _json_response(operators.EndpointList(shown))

    async def _leases(self, request: sanic.Request) -> response.HTTPResponse:
        shown = [
            operators.LeaseShown(row.duty, row.holder, row.fence)
            for row in await leases.read_leases(self._client)
        ]
        return _json_response(operators.LeaseList(shown))

    async def _roles(self, request: sanic.Request) -> response.HTTPResponse:
        rows = await self._client.scan_all(orders.TABLE, "")
        shown = [
            _role_shown(row.key, orders.decode_order(row)) for row in rows
        ]
        return _json_response(operators.RoleList(shown))

    async def _usage(self, request: sanic.Request) -> response.HTTPResponse:
        last = request.args.get("last", "10")
        if not last.isdecimal() or not 0 < int(last) <= USAGE_WINDOWS_LIMIT:
            raise errors.Refusal(
                reason=errors.ErrorCode.BAD_REQUEST,
                message=f"last must be 1 to {USAGE_WINDOWS_LIMIT}.",
                status=400,
            )
        sealed = await billing.read_sealed(self._client, int(last))
        shown = [
            row
            for window in sealed
            for row in _usage_shown(window, self._rule)
        ]
        return _json_response(operators.UsageList(shown))

    async def _trace(
        self, request: sanic.Request, name: str
    ) -> response.HTTPResponse:
        trace = self._request_traces.get(name)
        if trace is None:
            raise errors.Refusal(
                reason=errors.ErrorCode.NOT_FOUND,
                message="This entry has no trace of that request.",
                status=404,
            )
        return _json_response(trace)

    def _endpoint(self, view: systems.EndpointView) -> operators.EndpointShown:
        agent_link = self._pool.get(view.endpoint_id)
        status = agent_link.status if agent_link else None
        return operators.EndpointShown(
            endpoint_id=view.endpoint_id,
            failure_domain=view.failure_domain,
            service=view.service,
            role=view.role.value,
            accepting=view.accepting,
            circuit=view.circuit.value,
            running=view.running,
            waiting=view.waiting,
            in_flight=view.in_flight,
            order_version=status.order_version if status else 0,
        )


def _not_ready(message: str) -> errors.Refusal:
    return errors.Refusal(
        reason=errors.ErrorCode.SHUTTING_DOWN, message=message, status=503
    )


def _json_response(body: object) -> response.HTTPResponse:
    return http_api.json_response(msgspec.json.encode(body))


def _role_shown(
    endpoint_id: str, order: orders.CommittedOrder
) -> operators.RoleShown:
    return operators.RoleShown(
        endpoint_id=endpoint_id,
        order_version=order.order_version,
        fence=order.fence,
        role=order.role.value,
        model=order.model,
        version=order.model_version,
        adapters=order.adapters,
    )


def _usage_shown(
    sealed: billing.SealedUsage, rule: billing.WindowRule
) -> list[operators.UsageShown]:
    reported = sealed.outcome.reported if sealed.outcome else ()
    return [
        operators.UsageShown(
            window_start_s=rule.start_s(sealed.seal.window),
            organisation=organisation,
            prompt_tokens=figures.prompt_tokens,
            cached_tokens=figures.cached_tokens,
            output_tokens=figures.output_tokens,
            calls=figures.calls,
            reported=organisation in reported,
        )
        for organisation, figures in sorted(sealed.seal.figures.items())
    ]
