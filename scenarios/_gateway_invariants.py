"""Invariants of gateways, checked on records of callers and workers."""

import collections
import heapq
import pathlib

from standins import _journal
from standins import users_endpoint
from standins import users_platform

from . import _gateway_load
from . import _gateways

UNAUTHORIZED = 401
ADMITTED = 200
#: Routes whose requests must run at most once.
AT_MOST_ONCE = frozenset(["once", "tell"])


def violations(
    folder: pathlib.Path,
    outcomes: list[_gateway_load.Outcome],
    key_changes: list[_gateways.KeyChange],
) -> list[str]:
    """Return a sentence for each violation of an invariant."""
    runs = [
        run
        for path in sorted(folder.glob("worker-*.jsonl"))
        for run in _journal.load(path, users_endpoint.Execution)
    ]
    reports = _journal.load(folder / "store.jsonl", users_platform.UsageCall)
    return [
        *_runs_at_most_once(runs, outcomes),
        *_refusals_are_true(runs, outcomes),
        *_answers_are_complete(outcomes),
        *_runs_are_authorized(runs, outcomes),
        *revoked_keys_stay_revoked(outcomes, key_changes),
        *_windows_are_reported_once(reports),
        *counts_are_never_too_high(reports, outcomes),
        *_fences_never_go_back(reports),
    ]


def _runs_at_most_once(
    runs: list[users_endpoint.Execution], outcomes: list[_gateway_load.Outcome]
) -> list[str]:
    routes = {each.request_id: each.route for each in outcomes}
    counts = collections.Counter(run.request_id for run in runs)
    return [
        f"{name} ran {count} times"
        for name, count in counts.items()
        if count > 1 and routes.get(name) in AT_MOST_ONCE
    ]


def _refusals_are_true(
    runs: list[users_endpoint.Execution], outcomes: list[_gateway_load.Outcome]
) -> list[str]:
    ran = {run.request_id for run in runs}
    return [
        f"{each.request_id} was refused with {each.status} and ran"
        for each in outcomes
        if each.status in _gateway_load.NOT_RUN_STATUSES
        and each.route in AT_MOST_ONCE
        and each.request_id in ran
    ]


def _answers_are_complete(outcomes: list[_gateway_load.Outcome]) -> list[str]:
    return [
        f"{each.request_id} got a wrong answer: {each.body[:80]!r}"
        for each in outcomes
        if each.status == 200 and each.body != _expected(each)
    ]


def _expected(outcome: _gateway_load.Outcome) -> str:
    if outcome.route in ("once", "read"):
        return users_endpoint.text_of(outcome.request_id, 0)
    return "".join(
        f"id: {number}\ndata: "
        f"{users_endpoint.text_of(outcome.request_id, number)}\n\n"
        for number in range(1, _gateway_load.EVENTS + 1)
    )


def _runs_are_authorized(
    runs: list[users_endpoint.Execution], outcomes: list[_gateway_load.Outcome]
) -> list[str]:
    asked = {each.request_id: each.organisation for each in outcomes}
    return [
        f"{run.request_id} ran for {run.organisation!r}, key {run.key!r}"
        for run in runs
        if run.key
        or (
            run.request_id in asked
            and run.organisation != asked[run.request_id]
        )
    ]


def revoked_keys_stay_revoked(
    outcomes: list[_gateway_load.Outcome],
    key_changes: list[_gateways.KeyChange],
) -> list[str]:
    """No process goes back to an earlier configuration.

    It admits and refuses the organisations' keys as one configuration after
    another has them, each once its operator has sent it.
    """
    changes = sorted(key_changes, key=lambda change: change.version)
    problems = []
    ended: list[tuple[float, int, int]] = []
    earliest: dict[int, int] = {}
    for each in sorted(outcomes, key=lambda outcome: outcome.sent_s):
        if each.status not in (ADMITTED, UNAUTHORIZED):
            continue
        while ended and ended[0][0] < each.sent_s:
            _ended_s, process, index = heapq.heappop(ended)
            earliest[process] = max(earliest.get(process, 0), index)
        found = _earliest_with(each, changes, earliest.get(each.process, 0))
        if found is None:
            problems.append(
                f"{each.request_id} got {each.status} from a gateway that had "
                f"a later configuration"
            )
            continue
        heapq.heappush(ended, (each.ended_s, each.process, found))
    return problems


def _earliest_with(
    outcome: _gateway_load.Outcome,
    changes: list[_gateways.KeyChange],
    first: int,
) -> int | None:
    """Return the earliest configuration that explains a status."""
    admitted = outcome.status == ADMITTED
    for index in range(first, len(changes)):
        change = changes[index]
        if change.sent_s > outcome.ended_s:
            continue
        if (outcome.organisation in change.organisations) is admitted:
            return index
    return None


def _windows_are_reported_once(
    reports: list[users_platform.UsageCall],
) -> list[str]:
    seen: dict[int, dict[str, int]] = {}
    return [
        f"window {call.window} was reported again with different figures"
        for call in reports
        if seen.setdefault(call.window, call.counts) != call.counts
    ]


def counts_are_never_too_high(
    reports: list[users_platform.UsageCall],
    outcomes: list[_gateway_load.Outcome],
) -> list[str]:
    """Each request is counted in one window at most."""
    by_window = {call.window: call.counts for call in reports}
    counted: collections.Counter[str] = collections.Counter()
    for counts in by_window.values():
        counted.update(counts)
    asked = collections.Counter(each.organisation for each in outcomes)
    return [
        f"{count} requests of {name} were reported, and {asked[name]} made"
        for name, count in counted.items()
        if count > asked[name]
    ]


def _fences_never_go_back(
    reports: list[users_platform.UsageCall],
) -> list[str]:
    """Fencing tokens never decrease, and each has one holder."""
    problems = []
    highest = 0
    holders: dict[int, str] = {}
    for call in reports:
        if call.fence < highest:
            problems.append(f"fencing token {call.fence} came after {highest}")
        highest = max(highest, call.fence)
        if holders.setdefault(call.fence, call.holder) != call.holder:
            problems.append(f"fencing token {call.fence} has two holders")
    return problems
