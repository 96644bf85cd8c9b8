"""Waits until a revision is in force everywhere."""

import time

from .. import operators
from . import _app
from . import _client

#: Time between two looks at the fleet, in seconds.
LOOK_EVERY_S = 0.5
#: Knowledge of an entry older than this does not count, in seconds.
KNOWN_FOR_S = 11.0


def announce(revision: int, target: _app.Target, wait_s: float) -> None:
    """Print a revision, and where it is in force if asked to wait."""
    print(f"Committed as revision {revision}.")
    if wait_s <= 0:
        return
    until_s = time.monotonic() + wait_s
    while True:
        missing = _missing(revision, target)
        if not missing:
            print("In force at every entry.")
            return
        if time.monotonic() >= until_s:
            raise _client.CallFailed(
                sentence=f"Not known to be in force at: {', '.join(missing)}.",
                exit_code=_client.ExitCode.FAILED,
            )
        time.sleep(LOOK_EVERY_S)


def _missing(revision: int, target: _app.Target) -> list[str]:
    status = target.client.get("/status", operators.Status)
    return [
        shown.entry
        for shown in status.entries
        if shown.revision < revision or shown.age_s > KNOWN_FOR_S
    ]
