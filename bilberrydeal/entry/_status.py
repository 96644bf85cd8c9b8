"""Routes that show the state of an entry and its fleet."""

import collections.abc
import typing

import msgspec
import sanic
from sanic import response

from .. import configuration
from .. import errors
from .. import keys
from .. import membership
from .. import operators
from .. import store
from .. import systems
from .. import telemetry
from . import _exchange
from . import _gate
from . import _http
from . import _operator
from . import _pool

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class StatusRoutes:
    """Health for the balancer, metrics, and what operators look at."""

    def __init__(
        self,
        member: membership.EntryMember,
        exchange: _exchange.Exchange,
        freshness: keys.Freshness,
        follower: configuration.Follower,
        directory: membership.MemberDirectory,
        gate: _gate.Gate,
        pool: _pool.LinkPool,
        tables: systems.Tables,
        client: store.StoreClient,
        metrics: telemetry.Metrics,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self._member = member
        self._exchange = exchange
        self._freshness = freshness
        self._follower = follower
        self._directory = directory
        self._gate = gate
        self._pool = pool
        self._tables = tables
        self._client = client
        self._metrics = metrics
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
            ("/metrics", self._show_metrics),
        ):
            _http.add_route(app, path, ["GET"], handler, body_timeout_s)
        for path, shown in (
            ("/status", self._status),
            ("/endpoints", self._endpoints),
        ):
            _http.add_route(
                app,
                _operator.PREFIX + path,
                ["GET"],
                operator.guarded(shown),
                body_timeout_s,
            )

    async def _health(self, request: sanic.Request) -> response.HTTPResponse:
        return response.HTTPResponse(b"ok\n", content_type="text/plain")

    async def _ready(self, request: sanic.Request) -> response.HTTPResponse:
        if self._gate.closing:
            raise _not_ready("This entry is shutting down.")
        if not self._freshness.accepts(self._clock()):
            raise _not_ready("Keys cannot be checked at this moment.")
        return response.HTTPResponse(b"ready\n", content_type="text/plain")

    async def _show_metrics(
        self, request: sanic.Request
    ) -> response.HTTPResponse:
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
            revision=self._follower.current.revision,
            age_s=0.0,
        )
        others = [
            self._shown(member, now_s)
            for member in self._directory.entries()
            if member.incarnation != self._member.incarnation
        ]
        age_s = self._freshness.age_s(now_s)
        status = operators.Status(
            entry=self._member.incarnation,
            host_id=self._member.host_id,
            failure_domain=self._member.failure_domain,
            revision=self._follower.current.revision,
            keys_age_s=-1.0 if age_s is None else age_s,
            in_flight=self._gate.in_flight,
            closing=self._gate.closing,
            duties=[],
            entries=[own, *others],
        )
        return _http.json_answer(msgspec.json.encode(status))

    def _shown(
        self, member: membership.EntryMember, now_s: float
    ) -> operators.EntryShown:
        seen = self._exchange.seen.get(member.incarnation)
        return operators.EntryShown(
            entry=member.incarnation,
            address=member.address,
            failure_domain=member.failure_domain,
            revision=seen.revision if seen else 0,
            age_s=now_s - seen.at_s if seen else -1.0,
        )

    async def _endpoints(
        self, request: sanic.Request
    ) -> response.HTTPResponse:
        shown = [
            self._endpoint(view)
            for view in self._tables.of(systems.EndpointView)
        ]
        shown.sort(key=lambda endpoint: endpoint.endpoint_id)
        return _http.json_answer(
            msgspec.json.encode(operators.EndpointList(shown))
        )

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


def _not_ready(sentence: str) -> errors.Refusal:
    return errors.Refusal(
        reason=errors.ErrorCode.SHUTTING_DOWN, sentence=sentence, status=503
    )
