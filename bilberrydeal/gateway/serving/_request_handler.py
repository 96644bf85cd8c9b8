"""Handles callers' requests."""

import asyncio
import collections.abc

import attrs

from ... import catalogue
from ... import errors
from ... import http1
from ... import platform
from ... import telemetry
from ...systems import pacing
from .. import cluster_state
from .. import core
from .. import quotas
from .. import sending
from .. import streams
from . import _admission
from . import _plain

LOG = telemetry.logger("request")
#: Logged when the caller closed its connection; no response is sent.
CLIENT_CLOSED_STATUS = 499
#: Statuses from this one on are failures of this system or an endpoint.
FIRST_FAILURE_STATUS = 500

Clock = collections.abc.Callable[[], float]


class RequestHandler:
    """Admits, serves, counts and logs each request."""

    def __init__(
        self,
        admission: _admission.Admission,
        cluster: cluster_state.ClusterState,
        plain: _plain.PlainServer,
        stream: streams.StreamServer,
        retry_policy: sending.RetryPolicy,
        quota: quotas.Quotas,
        metrics: core.GatewayMetrics,
        tracing: telemetry.Tracing,
        connectivity: cluster_state.StoreConnectivity,
        shutdown: core.ShutdownState,
        clock: Clock,
    ) -> None:
        self._shutdown = shutdown
        self._tracing = tracing
        self._connectivity = connectivity
        self._admission = admission
        self._cluster = cluster
        self._plain = plain
        self._stream = stream
        self._retry_policy = retry_policy
        self._quota = quota
        self._metrics = metrics
        self._clock = clock

    async def handle(
        self, request: http1.Request, responder: http1.Responder
    ) -> None:
        """Respond to one request."""
        caller = platform.decode_caller(request)
        try:
            if self._shutdown.refusing:
                raise _shutdown_refusal()
            admitted = self._admission.admit(request, caller, self._clock())
        except errors.Refusal as refused:
            self._refuse(responder, caller.request_id, refused)
            self._log(caller.request_id, None, None, responder, refused)
            return
        with self._tracing.span("gateway", caller.traceparent) as span:
            span.set_attribute("request", caller.request_id.decode("latin-1"))
            progress = core.RequestProgress(traceparent=span.traceparent)
            await self._serve_and_log(admitted, progress, responder)

    async def _serve_and_log(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        responder: http1.Responder,
    ) -> None:
        """Serve a request and log its outcome, also if it is cancelled."""
        ended: errors.Refusal | None = None
        try:
            ended = await self._serve(admitted, progress, responder)
        finally:
            self._retry_policy.release(admitted, progress)
            self._quota.release(progress)
            self._log(
                admitted.request_id, admitted, progress, responder, ended
            )

    async def _serve(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        responder: http1.Responder,
    ) -> errors.Refusal | None:
        """Serve a request; return the refusal that ended it, if any."""
        time_left_s = admitted.deadline_s - self._clock()
        try:
            async with asyncio.timeout(time_left_s):
                await self._quota.admit(admitted, progress)
                self._retry_policy.record_request(admitted.service)
                await self._dispatch(admitted, progress, responder)
            return None
        except errors.Refusal as raised:
            refusal = raised
        except TimeoutError:
            refusal = _timeout_refusal(progress)
        except asyncio.CancelledError:
            if not self._shutdown.interrupting:
                raise
            refusal = _interrupted_refusal(progress)
        if responder.started:
            responder.abort()
            return refusal
        refusal = self._after_wait(admitted, refusal)
        self._refuse(responder, admitted.request_id, refusal)
        return refusal

    def _after_wait(
        self, admitted: core.AdmittedRequest, refusal: errors.Refusal
    ) -> errors.Refusal:
        """Let the caller come back when an endpoint takes requests."""
        wait_s = self._cluster.wait_s(admitted.service, self._clock())
        if refusal.retry_after_s is None or not wait_s:
            return refusal
        retry_after_s = pacing.retry_after_s(wait_s, admitted.request_id)
        return attrs.evolve(
            refusal, retry_after_s=max(retry_after_s, refusal.retry_after_s)
        )

    async def _dispatch(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        responder: http1.Responder,
    ) -> None:
        if admitted.route.kind is catalogue.RouteKind.STREAM:
            await self._stream.serve(admitted, progress, responder)
        else:
            await self._plain.serve(admitted, progress, responder)

    def _refuse(
        self,
        responder: http1.Responder,
        request_id: bytes,
        refusal: errors.Refusal,
    ) -> None:
        headers: list[http1.Header] = []
        if request_id:
            headers.append(platform.request_id_header(request_id))
        if refusal.retry_after_s is not None:
            headers.append(platform.retry_after_header(refusal.retry_after_s))
        responder.send(refusal.status, headers, b"")

    def _configuration_version(
        self, admitted: core.AdmittedRequest | None
    ) -> int | None:
        """Return the configuration version that applied to a request."""
        if admitted is not None:
            return admitted.configuration_version
        configuration = self._cluster.configuration
        return configuration.version if configuration else None

    def _configuration_age(
        self, admitted: core.AdmittedRequest | None
    ) -> core.ConfigurationAge:
        """Return how recent that was when it applied."""
        if admitted is not None:
            return admitted.configuration_age
        return self._admission.configuration_age(self._clock())

    def _log(
        self,
        request_id: bytes,
        admitted: core.AdmittedRequest | None,
        progress: core.RequestProgress | None,
        responder: http1.Responder,
        refusal: errors.Refusal | None,
    ) -> None:
        """Record the metrics of a request and log its outcome."""
        status = (
            responder.status if responder.finished else CLIENT_CLOSED_STATUS
        )
        took_s = 0.0
        if admitted is not None:
            took_s = self._clock() - admitted.request.started_s
        route = admitted.route.name if admitted is not None else ""
        reason = refusal.reason.value if refusal else ""
        interrupted = refusal is not None and not responder.finished
        age = self._configuration_age(admitted)
        self._metrics.count_request(route, status, reason, took_s)
        if interrupted:
            self._metrics.count_interrupted(route, reason)
        if progress is not None:
            self._metrics.count_sends(progress.sends)
        LOG.info(
            "Request ended.",
            request=request_id.decode("latin-1"),
            route=route,
            status=status,
            interrupted=interrupted,
            reason=refusal.reason if refusal else None,
            detail=refusal.message if refusal else None,
            retry_after_s=refusal.retry_after_s if refusal else None,
            organisation=admitted.organisation_name if admitted else None,
            resumes=admitted.resumed_id.decode("latin-1")
            if admitted
            else None,
            steps=_send_fields(progress),
            fingerprint=_fingerprint(admitted, progress, responder),
            configuration=self._configuration_version(admitted),
            configuration_age_s=_rounded(age.unconfirmed_s),
            configuration_read_s=_rounded(age.reading_s),
            store_age_s=round(self._connectivity.age_s(self._clock()), 2),
            took_s=round(took_s, 4),
        )


def _rounded(time_s: float | None) -> float | None:
    """Return a time for a log line."""
    return None if time_s is None else round(time_s, 2)


def _fingerprint(
    admitted: core.AdmittedRequest | None,
    progress: core.RequestProgress | None,
    responder: http1.Responder,
) -> str | None:
    """Return by what repetitions of a request that failed can be found."""
    if admitted is None or progress is None or not progress.sends:
        return None
    if responder.status < FIRST_FAILURE_STATUS:
        return None
    return admitted.fingerprint.decode()


def _send_fields(
    progress: core.RequestProgress | None,
) -> list[dict[str, object]]:
    """Return the sends of a request as log fields."""
    if progress is None:
        return []
    return [attrs.asdict(send) for send in progress.sends]


def _shutdown_refusal() -> errors.Refusal:
    """Return the refusal of a request that came late in a shutdown."""
    return core.not_run_refusal(
        errors.ErrorCode.SHUTTING_DOWN,
        "the gateway shuts down",
        core.FAILED_RETRY_S,
    )


def _interrupted_refusal(progress: core.RequestProgress) -> errors.Refusal:
    """Return what ends a request that is in flight as the process ends."""
    if not progress.may_have_run:
        return _shutdown_refusal()
    return errors.Refusal(
        reason=errors.ErrorCode.SHUTTING_DOWN,
        message="the gateway shut down before the endpoint responded",
        status=504,
        executed=errors.Executed.UNKNOWN,
    )


def _timeout_refusal(progress: core.RequestProgress) -> errors.Refusal:
    """Return the refusal of a request whose deadline has passed."""
    if not progress.may_have_run:
        return core.not_run_refusal(
            errors.ErrorCode.DEADLINE_EXCEEDED,
            "no endpoint began the request before its deadline",
            core.FAILED_RETRY_S,
        )
    return errors.Refusal(
        reason=errors.ErrorCode.DEADLINE_EXCEEDED,
        message="the endpoint did not respond before the deadline",
        status=504,
        executed=errors.Executed.UNKNOWN,
    )
