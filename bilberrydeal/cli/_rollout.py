"""Waits until every entry has a configuration revision in force."""

import time

from .. import operators
from . import _app
from . import _client

#: Interval between status polls, in seconds.
POLL_INTERVAL_S = 0.5
#: Maximum age of an entry's reported status, in seconds; older
#: status is ignored.
MAX_STATUS_AGE_S = 11.0


def report(revision: int, target: _app.Target, wait_s: float) -> None:
    """Print a revision and, with ``wait_s``, wait for its rollout."""
    print(f"Committed as revision {revision}.")
    if wait_s <= 0:
        return
    deadline_s = time.monotonic() + wait_s
    while True:
        pending = _pending_entries(revision, target)
        if not pending:
            print("In force at every entry.")
            return
        if time.monotonic() >= deadline_s:
            raise _client.CallFailed(
                message=f"Not confirmed in force at: {', '.join(pending)}.",
                exit_code=_client.ExitCode.FAILED,
            )
        time.sleep(POLL_INTERVAL_S)


def _pending_entries(revision: int, target: _app.Target) -> list[str]:
    status = target.client.get("/status", operators.Status)
    return [
        peer.entry
        for peer in status.entries
        if peer.revision < revision or peer.age_s > MAX_STATUS_AGE_S
    ]
