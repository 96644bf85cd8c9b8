"""Decides when an agent reports the status of its endpoint to an entry."""

import attrs

from . import _messages

#: Relative change of the requests in flight that needs no report ...
CHANGE_FRACTION = 0.25
#: ... and the absolute change.
CHANGE_REQUESTS = 1
#: Change of the used share of KV memory that needs no report.
CHANGE_KV_SHARE = 0.1


@attrs.define
class _LastReport:
    """The last status reported to an entry."""

    status: _messages.EndpointStatus | None = None
    at_s: float = 0.0


class StatusReports:
    """Decides which entries receive a status now.

    Changes that decide whether requests may be sent, such as ``accepting``,
    are reported at once. Load is reported at most every ``status_s``, and
    only if it has changed enough to affect routing.
    """

    def __init__(self, status_s: float) -> None:
        self._status_s = status_s
        self._last_reports: dict[str, _LastReport] = {}

    def add_entry(self, entry: str) -> None:
        """Register an entry with a new link, due for a full report."""
        self._last_reports[entry] = _LastReport()

    def remove_entry(self, entry: str) -> None:
        """Remove an entry that has no link any more."""
        self._last_reports.pop(entry, None)

    def due(
        self, entry: str, status: _messages.EndpointStatus, now_s: float
    ) -> bool:
        """Return whether a report is due and, if so, record it as sent."""
        last = self._last_reports.get(entry)
        if last is None:
            return False
        if last.status is not None:
            at_once = _urgent_fields(status) != _urgent_fields(last.status)
            old = now_s - last.at_s >= self._status_s
            if not at_once and not (
                old and _load_changed(last.status, status)
            ):
                return False
        last.status = status
        last.at_s = now_s
        return True


def _urgent_fields(
    status: _messages.EndpointStatus,
) -> tuple[int, str, str, bool]:
    """Return the fields whose changes are reported at once."""
    return (
        status.order_version,
        status.role,
        status.service,
        status.accepting,
    )


def _load_changed(
    old: _messages.EndpointStatus, new: _messages.EndpointStatus
) -> bool:
    """Return whether the load has changed enough to affect routing."""
    before = old.running + old.waiting
    now = new.running + new.waiting
    if (before == 0) != (now == 0):
        return True
    most = max(CHANGE_REQUESTS, CHANGE_FRACTION * before)
    kv_change = abs(new.kv_used_share - old.kv_used_share)
    return abs(now - before) > most or kv_change > CHANGE_KV_SHARE
