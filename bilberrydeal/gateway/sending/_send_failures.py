"""What the failure of a send of a stream means for its request."""

from .. import core
from . import _sending


class PrefillLost(_sending.Lost):
    """A prefill had no result; the request did not run because of it."""


#: Failures of a send after which another engine may be tried.
FAILED_SENDS = (_sending.NotOffered, _sending.Rejected, _sending.Lost)


def count_failure(progress: core.RequestProgress, error: Exception) -> None:
    """Count a failed send against the attempts that the route allows.

    The first lost prefill is no attempt to run the request.
    """
    if isinstance(error, _sending.NotOffered):
        return
    if not isinstance(error, PrefillLost):
        progress.attempts += 1
        return
    if progress.lost_prefills:
        progress.attempts += 1
    progress.lost_prefills += 1


def failure_reason(error: Exception) -> str:
    """Return what happened to a send, for logs and refusals."""
    if isinstance(error, _sending.NotOffered):
        return f"not offered, {error}"
    if isinstance(error, _sending.Rejected):
        return f"rejected, {error}"
    return f"lost, {error}"


def _is_lost_run(error: Exception) -> bool:
    """Return whether a send that may have run was lost."""
    lost = isinstance(error, _sending.Lost)
    return lost and not isinstance(error, PrefillLost)


def is_final(
    admitted: core.AdmittedRequest,
    progress: core.RequestProgress,
    error: Exception,
) -> bool:
    """Return whether a request that may have run must not be sent again."""
    return (
        _is_lost_run(error)
        and progress.may_have_run
        and not admitted.route.idempotent
    )
