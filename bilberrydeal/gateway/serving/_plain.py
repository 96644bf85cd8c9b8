"""Serves requests to plain services."""

import collections.abc

import attrs

from ... import errors
from ... import http1
from ... import platform
from .. import accounting
from .. import cluster_state
from .. import core
from .. import sending

#: Largest response that is buffered until it is complete, in bytes.
BUFFER_LIMIT_BYTES = 1_048_576

Clock = collections.abc.Callable[[], float]


class PlainServer:
    """Sends each request to the endpoint with the fewest of this gateway's."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        sender: sending.Sender,
        retry_policy: sending.RetryPolicy,
        usage_counter: accounting.UsageCounter,
        failure_domain: str,
        quarantine: sending.RequestQuarantine,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._cluster = cluster
        self._sender = sender
        self._retry_policy = retry_policy
        self._usage_counter = usage_counter
        self._failure_domain = failure_domain
        self._clock = clock

    async def serve(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        responder: http1.Responder,
    ) -> None:
        """Respond to a request; raises ``Refusal``."""
        failure: _BufferedResponse | None = None
        reason = "no endpoint accepts requests"
        while upstream := self._choose(admitted, progress):
            try:
                self._quarantine.check(admitted, progress)
            except errors.Refusal:
                if failure is None:
                    raise
                break
            try:
                response = await self._send(admitted, progress, upstream)
            except sending.NotOffered as error:
                progress.tried.append(upstream.endpoint.endpoint_id)
                reason = f"not offered, {error}"
                continue
            except sending.Rejected as error:
                _note_tried(progress, upstream)
                reason = f"rejected, {error}"
            except sending.Lost as error:
                _note_tried(progress, upstream)
                self._usage_counter.count_once(admitted, progress)
                reason = f"lost, {error}"
                if not admitted.route.idempotent:
                    break
            else:
                _note_tried(progress, upstream)
                if response.response_class is platform.ResponseClass.RESULT:
                    _respond(responder, response)
                    return
                failure = response
                reason = f"status {response.head.status}"
                if not admitted.route.idempotent:
                    break
            if not self._retry_policy.allows_retry(admitted, progress, reason):
                break
        if failure is None:
            raise core.failure_refusal(progress, reason)
        _respond(responder, failure)

    def _choose(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
    ) -> cluster_state.Upstream | None:
        now_s = self._clock()
        candidates = [
            upstream
            for upstream in self._cluster.of_service(admitted.service)
            if upstream.usable(now_s)
            and upstream.endpoint.endpoint_id not in progress.tried
        ]
        if not candidates:
            return None
        domain = self._failure_domain
        return min(
            candidates,
            key=lambda upstream: (
                upstream.pool.busy,
                upstream.endpoint.failure_domain != domain,
            ),
        )

    async def _send(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        upstream: cluster_state.Upstream,
    ) -> "_BufferedResponse":
        """Send a request and return the complete response."""
        time_left_s = admitted.deadline_s - self._clock()
        fields = platform.SendFields(
            endpoint_id=upstream.endpoint.endpoint_id,
            time_left_s=time_left_s,
            organisation=admitted.organisation_name,
        )
        async with self._sender.exchange(
            admitted, progress, upstream, fields
        ) as exchange:
            body = await exchange.connection.body(BUFFER_LIMIT_BYTES)
        self._usage_counter.count_once(admitted, progress)
        succeeded = exchange.response_class is platform.ResponseClass.RESULT
        if succeeded and exchange.connection.delimited_by_eof:
            self._quarantine.request_ended(upstream, admitted)
        elif succeeded:
            self._quarantine.request_sound(admitted)
        self._cluster.observe(upstream, succeeded, self._clock())
        return _BufferedResponse(exchange.head, exchange.response_class, body)


@attrs.frozen
class _BufferedResponse:
    """A complete response of an endpoint."""

    head: http1.ResponseHead
    response_class: platform.ResponseClass
    body: bytes


def _respond(responder: http1.Responder, response: _BufferedResponse) -> None:
    head = response.head
    responder.send(
        head.status, platform.forwarded_headers(head), response.body
    )


def _note_tried(
    progress: core.RequestProgress, upstream: cluster_state.Upstream
) -> None:
    progress.tried.append(upstream.endpoint.endpoint_id)
    progress.attempts += 1
