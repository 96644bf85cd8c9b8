"""Invariants of gateways, checked on records of callers and workers."""

import collections
import heapq
import itertools
import pathlib
import re

from standins import _journal
from standins import users_endpoint
from standins import users_platform

from . import _gateway_load
from . import _gateway_records

#: Software version that an event names.
_VERSION = re.compile(r" v\d+$", re.MULTILINE)
UNAUTHORIZED = 401
#: Routes whose requests must run at most once.
AT_MOST_ONCE = frozenset(["once", "tell"])
#: Time until a worker that leaves gets nothing new, in seconds.
LEAVING_TOLD_S = 2.0
#: Time from which on a pause is kept, in seconds, and the requests that may
#: reach the worker all the same.
PAUSE_TOLD_S = 0.5
PAUSE_TRIALS = 2
#: Ends of one pause, as told in several responses, differ by less, in seconds.
PAUSE_SAME_S = 0.1
#: Crashes by which a request has to be known, the time until then, in
#: seconds, and how often it may be sent afterwards.
KNOWN_CRASHES = 3
KNOWN_WITHIN_S = 3.0
SENT_AFTERWARDS = 3
#: Time from the first response that names a limit until it is kept, in
#: seconds; and what a worker may get in a span beyond it.
LIMIT_SETTLE_S = 3.0
LIMIT_SPAN_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0


def violations(
    folder: pathlib.Path,
    outcomes: list[_gateway_load.Outcome],
    key_changes: list[_gateway_records.KeyChange],
    disturbances: list[_gateway_records.Disturbance],
) -> list[str]:
    """Return a sentence for each violation of an invariant."""
    runs = _gateway_records.load_of_workers(folder, users_endpoint.Execution)
    arrivals = _gateway_records.load_of_workers(folder, users_endpoint.Arrival)
    reports = _journal.load(folder / "store.jsonl", users_platform.UsageCall)
    return [
        *_runs_at_most_once(runs, outcomes),
        *_refusals_are_true(runs, outcomes),
        *_answers_are_complete(outcomes),
        *streams_hold_one_version(outcomes),
        *_runs_are_authorized(runs, outcomes),
        *revoked_keys_stay_revoked(outcomes, key_changes),
        *_windows_are_reported_once(reports),
        *counts_are_never_too_high(reports, outcomes),
        *_fences_never_go_back(reports),
        *limits_are_kept(arrivals, outcomes, disturbances),
        *leaving_workers_get_nothing_new(arrivals, outcomes, disturbances),
        *pauses_are_kept(arrivals, outcomes, disturbances),
        *crashing_requests_are_kept_away(
            runs, arrivals, outcomes, disturbances
        ),
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
        if each.status == 200
        and _VERSION.sub("", each.body) != _expected(each)
    ]


def streams_hold_one_version(
    outcomes: list[_gateway_load.Outcome],
) -> list[str]:
    """All events of a stream, over all tries, are of one software version."""
    return [
        f"{each.request_id} holds events of {sorted(versions)}"
        for each in outcomes
        if len(versions := set(_VERSION.findall(each.body))) > 1
    ]


def _expected(outcome: _gateway_load.Outcome) -> str:
    if outcome.route in ("once", "read"):
        return users_endpoint.text_of(outcome.request_id, 0)
    return "".join(
        f"id: {number}\ndata: "
        f"{users_endpoint.text_of(outcome.request_id, number)}\n\n"
        for number in range(1, outcome.events + 1)
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
    key_changes: list[_gateway_records.KeyChange],
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
        if each.status not in (_gateway_load.ADMITTED, UNAUTHORIZED):
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
    changes: list[_gateway_records.KeyChange],
    first: int,
) -> int | None:
    """Return the earliest configuration that explains a status."""
    admitted = outcome.status == _gateway_load.ADMITTED
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
    asked: collections.Counter[str] = collections.Counter()
    for each in outcomes:
        asked[each.organisation] += each.tries
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


def limits_are_kept(
    arrivals: list[users_endpoint.Arrival],
    outcomes: list[_gateway_load.Outcome],
    disturbances: list[_gateway_records.Disturbance],
) -> list[str]:
    """Workers get no more than the limits that they name.

    Some time after a worker first named one, the gateways that run undisturbed
    send it at most one and a half times that, and a few requests more.
    """
    processes = {each.request_id: each.process for each in outcomes}
    return [
        problem
        for times in _limited_times(arrivals)
        for problem in _excess(times, processes, disturbances)
    ]


def _limited_times(
    arrivals: list[users_endpoint.Arrival],
) -> list[list[users_endpoint.Arrival]]:
    """Return the arrivals of each time in which a worker names one limit."""
    by_worker = itertools.groupby(
        sorted(arrivals, key=lambda each: (each.endpoint_id, each.at_s)),
        lambda each: (each.endpoint_id, each.limit_per_s),
    )
    return [
        list(times)
        for (_worker, limit_per_s), times in by_worker
        if limit_per_s is not None
    ]


def _excess(
    times: list[users_endpoint.Arrival],
    processes: dict[str, int],
    disturbances: list[_gateway_records.Disturbance],
) -> list[str]:
    worker, limit_per_s = times[0].endpoint_id, times[0].limit_per_s or 0.0
    allowed = LIMIT_FACTOR * limit_per_s * LIMIT_SPAN_S + LIMIT_SLACK
    counted = [
        each
        for each in times
        if each.at_s >= times[0].at_s + LIMIT_SETTLE_S
        and not _excused(each, worker, processes, disturbances)
    ]
    for first in counted:
        span = [
            each
            for each in counted
            if first.at_s <= each.at_s < first.at_s + LIMIT_SPAN_S
        ]
        if len(span) > allowed:
            return [
                f"{worker} had named a limit of {limit_per_s:.2f} a second "
                f"and got {len(span)} requests in {LIMIT_SPAN_S} s from "
                f"{first.at_s:.3f}"
            ]
    return []


def _excused(
    arrival: users_endpoint.Arrival,
    worker: str,
    processes: dict[str, int],
    disturbances: list[_gateway_records.Disturbance],
) -> bool:
    """Return whether the sender or the worker was disturbed by then."""
    process = processes.get(arrival.request_id)
    return any(
        each.began_s <= arrival.at_s < each.ended_s + LIMIT_SETTLE_S
        and (
            each.member == worker
            or process is None
            or process in each.processes
        )
        for each in disturbances
    )


def crashing_requests_are_kept_away(
    runs: list[users_endpoint.Execution],
    arrivals: list[users_endpoint.Arrival],
    outcomes: list[_gateway_load.Outcome],
    disturbances: list[_gateway_records.Disturbance],
) -> list[str]:
    """A request under which workers crashed is not sent to many others.

    Some time after it crashed the third one, gateways that run undisturbed
    send it to three workers more at most.
    """
    names = {each.request_id: each.crashing for each in outcomes}
    processes = {each.request_id: each.process for each in outcomes}
    problems = []
    for name in sorted({each.crashing for each in outcomes} - {""}):
        crashed_s = _crashes_s(
            [run for run in runs if names.get(run.request_id) == name]
        )
        if len(crashed_s) < KNOWN_CRASHES:
            continue
        known_s = crashed_s[KNOWN_CRASHES - 1] + KNOWN_WITHIN_S
        further = [
            each
            for each in arrivals
            if names.get(each.request_id) == name
            and each.at_s > known_s
            and not _excused(each, "", processes, disturbances)
        ]
        if len(further) > SENT_AFTERWARDS:
            problems.append(
                f"{name} was sent to workers {len(further)} times more after "
                f"it had crashed {KNOWN_CRASHES}; it crashed {len(crashed_s)}"
            )
    return problems


def _crashes_s(runs: list[users_endpoint.Execution]) -> list[float]:
    """Return when workers crashed; several runs may end with one of them."""
    ended: list[tuple[float, str]] = []
    for run in sorted(runs, key=lambda each: each.at_s):
        if not any(
            worker == run.endpoint_id
            and run.at_s - at_s < users_endpoint.CRASH_S
            for at_s, worker in ended
        ):
            ended.append((run.at_s, run.endpoint_id))
    return [at_s for at_s, _worker in ended]


def leaving_workers_get_nothing_new(
    arrivals: list[users_endpoint.Arrival],
    outcomes: list[_gateway_load.Outcome],
    disturbances: list[_gateway_records.Disturbance],
) -> list[str]:
    """A gateway sends nothing new to a worker that told it that it leaves."""
    processes = {each.request_id: each.process for each in outcomes}
    sent_s = {each.request_id: each.sent_s for each in outcomes}
    told: dict[tuple[str, int], float] = {}
    problems = []
    for each in sorted(arrivals, key=lambda arrival: arrival.at_s):
        process = processes.get(each.request_id)
        if process is None:
            continue
        key = (each.endpoint_id, process)
        if not each.leaving:
            # The worker has been started anew.
            told.pop(key, None)
            continue
        first_s = told.setdefault(key, sent_s[each.request_id])
        late = sent_s[each.request_id] > first_s + LEAVING_TOLD_S
        if late and not _excused(each, "", processes, disturbances):
            problems.append(
                f"{each.request_id} reached {each.endpoint_id}, which leaves"
            )
    return problems


def pauses_are_kept(
    arrivals: list[users_endpoint.Arrival],
    outcomes: list[_gateway_load.Outcome],
    disturbances: list[_gateway_records.Disturbance],
) -> list[str]:
    """A gateway keeps to the pause for which a worker has asked it."""
    processes = {each.request_id: each.process for each in outcomes}
    #: Arrivals of one process in one pause.
    paused: dict[tuple[str, int, int], list[users_endpoint.Arrival]] = (
        collections.defaultdict(list)
    )
    for each in sorted(arrivals, key=lambda arrival: arrival.at_s):
        process = processes.get(each.request_id)
        if process is None or not each.pause_s:
            continue
        if not _excused(each, each.endpoint_id, processes, disturbances):
            ends = round((each.at_s + each.pause_s) / PAUSE_SAME_S)
            paused[each.endpoint_id, process, ends].append(each)
    problems = []
    for (worker, _process, _ends), times in paused.items():
        late = [
            each for each in times if each.at_s > times[0].at_s + PAUSE_TOLD_S
        ]
        if len(late) > PAUSE_TRIALS:
            problems.append(
                f"{worker} got {len(late)} requests in a pause that it had "
                f"asked for"
            )
    return problems
