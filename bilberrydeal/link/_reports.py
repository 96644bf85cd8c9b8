"""When an agent tells an entry how its endpoint does."""

import attrs

from . import _messages

#: Requests in flight may change by this part without a report ...
CHANGE_PART = 0.25
#: ... or by so many.
CHANGE_REQUESTS = 1
#: The share of the KV memory may change by so much without a report.
CHANGE_KV_SHARE = 0.1


@attrs.define
class _Told:
    """What an entry was told last."""

    status: _messages.EndpointStatus | None = None
    at_s: float = 0.0


class Reports:
    """Decides which entries are told a status now.

    What keeps work away or calls it, such as ``accepting``, is told at once.
    Load is told each ``status_s`` at most, if it has changed enough to route
    otherwise.
    """

    def __init__(self, status_s: float) -> None:
        self._status_s = status_s
        self._told: dict[str, _Told] = {}

    def begin(self, entry: str) -> None:
        """Let an entry with a new link be told all."""
        self._told[entry] = _Told()

    def drop(self, entry: str) -> None:
        """Forget an entry without a link."""
        self._told.pop(entry, None)

    def due(
        self, entry: str, status: _messages.EndpointStatus, now_s: float
    ) -> bool:
        """Whether an entry is to be told now; it counts as told then."""
        told = self._told.get(entry)
        if told is None:
            return False
        if told.status is not None:
            at_once = _terms(status) != _terms(told.status)
            old = now_s - told.at_s >= self._status_s
            if not at_once and not (old and _moved(told.status, status)):
                return False
        told.status = status
        told.at_s = now_s
        return True


def _terms(
    status: _messages.EndpointStatus,
) -> tuple[int, str, str, bool]:
    """Return what an entry has to know at once."""
    return (
        status.order_version,
        status.role,
        status.service,
        status.accepting,
    )


def _moved(
    old: _messages.EndpointStatus, new: _messages.EndpointStatus
) -> bool:
    """Whether the load has changed enough to route otherwise."""
    before = old.running + old.waiting
    now = new.running + new.waiting
    if (before == 0) != (now == 0):
        return True
    most = max(CHANGE_REQUESTS, CHANGE_PART * before)
    kv_change = abs(new.kv_used_share - old.kv_used_share)
    return abs(now - before) > most or kv_change > CHANGE_KV_SHARE
