"""Places streams at engines, and decides when to look for another one."""

import collections
import collections.abc
import contextlib

import attrs

from ... import errors
from ...systems import placement
from .. import _uplink
from .. import cluster_state
from .. import core
from .. import sending
from . import _client_stream

#: Multiple of the expected time after which another engine is considered.
OVERDUE_FACTOR = 2.0
#: Time added to that product, in seconds.
OVERDUE_SLACK_S = 0.25
#: Interval at which another engine is considered from then on, in seconds.
RECONSIDER_INTERVAL_S = 0.1
#: Share of the time left within which another engine must be expected to
#: answer.
ELSEWHERE_SHARE = 0.6

Clock = collections.abc.Callable[[], float]


class StreamPlacement:
    """Chooses engines for streams, and when to give one up for another."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        placer: placement.Placer,
        uplink: _uplink.Uplink,
        retry_policy: sending.RetryPolicy,
        quarantine: sending.RequestQuarantine,
        failure_domain: str,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._cluster = cluster
        self._placer = placer
        self._uplink = uplink
        self._retry_policy = retry_policy
        self._failure_domain = failure_domain
        self._clock = clock
        #: Prompts that are being prefilled before another engine decodes, by
        #: service.
        self._prefilling: collections.Counter[str] = collections.Counter()

    def place(
        self, stream: _client_stream.ClientStream, now_s: float
    ) -> tuple[placement.Request, placement.Placement]:
        """Place a stream, or the rest of it; raises ``Refusal``."""
        request = self._request(stream, now_s)
        placed = self._placer.place(
            request, self._engines(stream, now_s), now_s
        )
        if isinstance(placed, placement.DeadlineUnreachable):
            raise self._deadline_refusal(stream, placed)
        return request, placed

    def _request(
        self, stream: _client_stream.ClientStream, now_s: float
    ) -> placement.Request:
        admitted = stream.admitted
        return placement.Request(
            prompt=admitted.prompt or core.NO_PROMPT,
            target_s=self._target_s(stream, now_s),
            time_left_s=stream.event_deadline_s - now_s,
            failure_domain=self._failure_domain,
            tried=frozenset(stream.progress.tried),
            uplink_s=self._uplink.wait_s(admitted.priority)
            + self._uplink.transfer_s(len(admitted.request.body)),
            rank=admitted.priority,
            may_have_run=stream.progress.may_have_run,
            may_separate=stream.may_prefill,
            resumed=admitted.resumes_stream,
        )

    def _target_s(
        self, stream: _client_stream.ClientStream, now_s: float
    ) -> float:
        """Return the time left until the target or, once started, deadline.

        A stream that is resumed has started in an answer before.
        """
        if stream.responder.started or stream.admitted.resumes_stream:
            return stream.event_deadline_s - now_s
        waited_s = now_s - stream.admitted.request.started_s
        return stream.admitted.route.target_latency_s - waited_s

    def _deadline_refusal(
        self,
        stream: _client_stream.ClientStream,
        placed: placement.DeadlineUnreachable,
    ) -> errors.Refusal:
        if stream.progress.may_have_run:
            return core.failure_refusal(
                stream.progress, "no engine can resume the request"
            )
        time_left_s = stream.event_deadline_s - self._clock()
        return core.not_run_refusal(
            errors.ErrorCode.DEADLINE_HOPELESS,
            f"first token expected in {placed.expected_s:.2f} s,"
            f" {time_left_s:.2f} s left",
            placed.retry_after_s,
        )

    def late_refusal(
        self, stream: _client_stream.ClientStream
    ) -> errors.Refusal:
        """Return the refusal after a prefill that would have been late.

        Another engine would have to prefill the prompt anew in the little
        time that is left; the caller comes back when one is free.
        """
        now_s = self._clock()
        placed = self._placer.place(
            self._request(stream, now_s),
            self._engines(stream, now_s),
            now_s,
        )
        if not isinstance(placed, placement.DeadlineUnreachable):
            placed = placement.DeadlineUnreachable(
                core.FAILED_RETRY_S, placed.expected_s
            )
        return self._deadline_refusal(stream, placed)

    def decode_upstream(
        self,
        stream: _client_stream.ClientStream,
        request: placement.Request,
        prefilled_at: str,
    ) -> cluster_state.Upstream:
        """Return the engine to decode on; raises ``Rejected`` for none."""
        engine_id = self._placer.decode_engine(
            attrs.evolve(request, tried=frozenset(stream.progress.tried)),
            prefilled_at,
            self._engines(stream, self._clock()),
        )
        if engine_id is None:
            raise sending.Rejected("no decode engine available")
        return self._cluster.endpoints[engine_id]

    @contextlib.contextmanager
    def decode_reserved(
        self, stream: _client_stream.ClientStream
    ) -> collections.abc.Iterator[None]:
        """Reserve a decode while a prompt is prefilled; raises ``Refusal``.

        Where all decode engines limit requests, fewer prompts may be decoded
        than could be prefilled.
        """
        service = stream.admitted.service
        now_s = self._clock()
        shares = [
            upstream.limit.share
            for upstream in self._cluster.of_service(service)
            if upstream.endpoint.ready
            and upstream.load is not None
            and not upstream.load.prefill_only
        ]
        available = sum(share.available(now_s) for share in shares)
        if shares and available <= self._prefilling[service]:
            raise core.failure_refusal(
                stream.progress, "the limits of all decode engines are used up"
            )
        self._prefilling[service] += 1
        try:
            yield
        finally:
            self._prefilling[service] -= 1

    def patience(
        self, stream: _client_stream.ClientStream, placed: placement.Placement
    ) -> sending.Patience | None:
        """Return when to consider another engine, if the route allows one."""
        return self._patience(stream, placed, stream.stall_s)

    def _patience(
        self,
        stream: _client_stream.ClientStream,
        placed: placement.Placement,
        stall_s: float,
    ) -> sending.Patience | None:
        if not stream.retry_allowed:
            return None
        sent_s = self._clock()
        first_s = placed.expected_s * OVERDUE_FACTOR + OVERDUE_SLACK_S

        def gives_up() -> bool:
            waited_s = self._clock() - sent_s
            # Others that wait for the same engine may ask at this moment too.
            return self.sooner_elsewhere(
                stream, waited_s
            ) and self._retry_policy.reserve(stream.admitted, stream.progress)

        return sending.Patience(
            max(first_s, stall_s), RECONSIDER_INTERVAL_S, gives_up
        )

    def prefill_patience(
        self, stream: _client_stream.ClientStream, placed: placement.Placement
    ) -> sending.Patience:
        """Return when to abandon a prefill.

        It runs nothing, so this may be done on any route: for another engine
        if the route allows one, and once it will be too late, since a caller
        that is told that nothing ran can come back.
        """
        sent_s = self._clock()
        limit_s = sent_s + placement.too_late_after_s(
            placed, stream.event_deadline_s - sent_s
        )
        elsewhere = self._patience(stream, placed, stream.prefill_stall_s)
        # It is sent once the link of this host is free.
        link_wait_s = self._uplink.wait_s(stream.admitted.priority)
        first_s = limit_s - sent_s - link_wait_s
        if elsewhere is not None:
            first_s = min(first_s, elsewhere.first_s)

        def gives_up() -> bool:
            now_s = self._clock()
            if now_s >= limit_s:
                stream.too_late = True
                return True
            if elsewhere is None or now_s - sent_s < elsewhere.first_s:
                return False
            return elsewhere.gives_up()

        return sending.Patience(
            max(first_s, 0.0), RECONSIDER_INTERVAL_S, gives_up
        )

    def sooner_elsewhere(
        self, stream: _client_stream.ClientStream, waited_s: float
    ) -> bool:
        """Return whether another engine would answer sooner.

        A send that is overdue is expected to take as long again as it has
        taken: most that are only slow are finished by then.
        """
        now_s = self._clock()
        if not self._retry_policy.has_budget(stream.admitted, stream.progress):
            return False
        try:
            self._quarantine.check(stream.admitted, stream.progress)
        except errors.Refusal:
            return False
        request = self._request(stream, now_s)
        engines = self._engines(stream, now_s)
        placed = self._placer.place(request, engines, now_s)
        if isinstance(placed, placement.DeadlineUnreachable):
            return False
        limit_s = min(waited_s, request.time_left_s * ELSEWHERE_SHARE)
        return placed.expected_s < limit_s

    def can_retry(self, stream: _client_stream.ClientStream) -> bool:
        """Return whether another engine could run the request next."""
        if not stream.retry_allowed:
            return False
        return any(
            not engine.prefill_only
            and engine.engine_id not in stream.progress.tried
            for engine in self._engines(stream, self._clock())
        )

    def _engines(
        self, stream: _client_stream.ClientStream, now_s: float
    ) -> list[placement.EngineLoad]:
        """Return the candidate engines for a request."""
        prompt = stream.admitted.prompt
        # Requests without prompt parts are spread by their id.
        affinity = prompt.affinity if prompt else stream.admitted.request_id
        origin = stream.progress.origin
        return self._cluster.engines(
            stream.admitted.service,
            affinity,
            now_s,
            origin.software_version if origin is not None else None,
        )
