"""Decides whether a request is sent again."""

import collections.abc

from .. import telemetry
from ..systems import retries
from . import _cluster_state
from . import _requests

LOG = telemetry.logger("repeating")
#: A request with less time left is not retried, in seconds.
MIN_TIME_LEFT_S = 0.04

#: Sends of one retry; a stream may need a separate prefill.
PLAIN_SENDS = 1
STREAM_SENDS = 2

Clock = collections.abc.Callable[[], float]


class RetryPolicy:
    """Limits retries by the route, the deadline and the retry budget."""

    def __init__(
        self,
        cluster: _cluster_state.ClusterState,
        budget: retries.WindowBudget,
        clock: Clock,
    ) -> None:
        self._cluster = cluster
        self._budget = budget
        self._clock = clock

    def record_request(self, service: str) -> None:
        """Count a request, which adds to the retry budget."""
        self._budget.record_request(service, self._clock())

    def record_send(
        self,
        admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
    ) -> None:
        """Count a send; each after a request's first uses the budget."""
        progress.budgeted_sends += 1
        if progress.budgeted_sends > 1:
            self._budget.spend(admitted.service, self._clock())

    def record_prefill(
        self,
        admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
    ) -> None:
        """Count a successful prefill; the first one is not charged."""
        if progress.prefill_recorded:
            return
        progress.prefill_recorded = True
        progress.budgeted_sends -= 1
        if progress.budgeted_sends > 0:
            self._budget.refund(admitted.service, self._clock())

    def allows_retry(
        self,
        admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
        reason: str,
    ) -> bool:
        """Return whether a request may be sent to another endpoint."""
        now_s = self._clock()
        if progress.attempts >= admitted.route.max_attempts:
            return False
        if now_s + MIN_TIME_LEFT_S > admitted.deadline_s:
            return False
        granted = self.has_budget(admitted)
        LOG.info(
            "Send repeated." if granted else "Retry budget exhausted.",
            request=admitted.request_id.decode("latin-1"),
            reason=reason,
            attempts=progress.attempts,
        )
        return granted

    def has_budget(self, admitted: _requests.AdmittedRequest) -> bool:
        """Return whether the service's budget permits a retry now."""
        return self._budget.permits(
            admitted.service,
            PLAIN_SENDS if admitted.prompt is None else STREAM_SENDS,
            self._cluster.members,
            self._clock(),
        )
