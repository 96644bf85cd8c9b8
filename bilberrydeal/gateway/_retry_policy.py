"""Decides whether a request is sent once more."""

import collections.abc

from .. import telemetry
from ..systems import retries
from . import _cluster_state
from . import _requests

LOG = telemetry.logger("repeating")
#: A send is not repeated with less time left, in seconds.
MIN_TIME_LEFT_S = 0.04

#: Sends of one more try: a prompt may be read apart first.
PLAIN_SENDS = 1
STREAM_SENDS = 2

Clock = collections.abc.Callable[[], float]


class RetryPolicy:
    """Holds sends to the route's limit, the deadline and the budget."""

    def __init__(
        self,
        cluster: _cluster_state.ClusterState,
        budget: retries.WindowBudget,
        clock: Clock,
    ) -> None:
        self._cluster = cluster
        self._budget = budget
        self._clock = clock

    def note_request(self, service: str) -> None:
        """Note a request, which earns a share of a repeat."""
        self._budget.note_request(service, self._clock())

    def note_send(
        self,
        admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
    ) -> None:
        """Note a send; each after a request's first is an extra one."""
        progress.budgeted_sends += 1
        if progress.budgeted_sends > 1:
            self._budget.spend(admitted.service, self._clock())

    def note_prefill(
        self,
        admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
    ) -> None:
        """Note that a prompt was read; the first reading does not count."""
        if progress.prefill_noted:
            return
        progress.prefill_noted = True
        progress.budgeted_sends -= 1
        if progress.budgeted_sends > 0:
            self._budget.refund(admitted.service, self._clock())

    def granted(
        self,
        admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
        reason: str,
    ) -> bool:
        """Return whether a request may be sent to another endpoint."""
        now_s = self._clock()
        if progress.attempts >= admitted.route.attempts_limit:
            return False
        if now_s + MIN_TIME_LEFT_S > admitted.deadline_s:
            return False
        granted = self._budget.has_room(
            admitted.service,
            PLAIN_SENDS if admitted.prompt is None else STREAM_SENDS,
            self._cluster.members,
            now_s,
        )
        LOG.info(
            "Send repeated." if granted else "No budget to repeat a send.",
            request=admitted.request_id.decode("latin-1"),
            reason=reason,
            attempts=progress.attempts,
        )
        return granted
