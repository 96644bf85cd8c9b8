"""Decides whether a request is sent again."""

import collections.abc

from ... import telemetry
from ...systems import retries
from .. import cluster_state
from .. import core

LOG = telemetry.logger("repeating")
#: A request with less time left is not retried, in seconds.
MIN_TIME_LEFT_S = 0.04

Clock = collections.abc.Callable[[], float]


class RetryPolicy:
    """Limits retries by the route, the deadline and the retry budget."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
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
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        prefill: bool,
    ) -> None:
        """Count a send that reaches an endpoint.

        A request's first run and its first successful prefill are not
        charged to the budget; all other sends are.
        """
        progress.sent = True
        self._charge_failed_prefill(admitted, progress)
        if prefill and not progress.prefill_sent:
            progress.prefill_sent = True
            return
        if not prefill and not progress.run_sent:
            progress.run_sent = True
        else:
            self._charge(admitted, progress)
        if not prefill:
            self.release(admitted, progress)

    def record_prefill(self, progress: core.RequestProgress) -> None:
        """Record that a prefill succeeded."""
        progress.prefill_recorded = True

    def release(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
    ) -> None:
        """Return the sends that were reserved for a request and not made."""
        if progress.reserved_sends:
            self._budget.release(admitted.service, progress.reserved_sends)
            progress.reserved_sends = 0

    def allows_retry(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        reason: str,
    ) -> bool:
        """Return whether a request may be sent to another endpoint.

        The sends that this may take are reserved in the retry budget.
        """
        now_s = self._clock()
        if progress.attempts >= admitted.route.max_attempts:
            return False
        if now_s + MIN_TIME_LEFT_S > admitted.deadline_s:
            return False
        self._charge_failed_prefill(admitted, progress)
        self.release(admitted, progress)
        sends = _sends_needed(admitted, progress)
        members = self._cluster.members
        use = self._budget.use(admitted.service, members, now_s)
        granted = self._budget.reserve(admitted.service, sends, members, now_s)
        if granted:
            progress.reserved_sends = sends
        LOG.info(
            "Send repeated." if granted else "Retry budget exhausted.",
            request=admitted.request_id.decode("latin-1"),
            reason=reason,
            attempts=progress.attempts,
            sends=sends,
            requests_in_window=use.requests,
            sent=use.sent,
            reserved=use.reserved,
            allowed=round(use.allowed, 1),
            gateways=members,
        )
        return granted

    def has_budget(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
    ) -> bool:
        """Return whether the service's budget permits a retry now."""
        sends = _sends_needed(admitted, progress) - progress.reserved_sends
        return self._budget.permits(
            admitted.service, sends, self._cluster.members, self._clock()
        )

    def reserve(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
    ) -> bool:
        """Reserve a retry before its request is given up elsewhere.

        Returns whether the budget permits it.
        """
        sends = _sends_needed(admitted, progress)
        if progress.prefill_sent and not progress.prefill_recorded:
            # It is charged once it has been given up.
            sends += 1
        missing = sends - progress.reserved_sends
        if missing <= 0:
            return True
        granted = self._budget.reserve(
            admitted.service, missing, self._cluster.members, self._clock()
        )
        if granted:
            progress.reserved_sends += missing
        return granted

    def _charge_failed_prefill(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
    ) -> None:
        """Charge an earlier prefill that did not succeed."""
        if progress.prefill_sent and not progress.prefill_recorded:
            progress.prefill_sent = False
            self._charge(admitted, progress)

    def _charge(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
    ) -> None:
        """Charge a send to the budget, first to what is reserved."""
        if progress.reserved_sends:
            progress.reserved_sends -= 1
            self._budget.release(admitted.service, 1)
        self._budget.spend(admitted.service, self._clock())


def _sends_needed(
    admitted: core.AdmittedRequest, progress: core.RequestProgress
) -> int:
    """Return the most sends of the next attempt that are charged."""
    if not progress.sent:
        return 0
    runs = 1 if progress.run_sent else 0
    if admitted.prompt is None:
        return runs
    # A prefill that would be the first to succeed may fail.
    return runs + 1
