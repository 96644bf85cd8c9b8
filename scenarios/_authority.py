"""Checks of what only one process at a time may do."""

import collections
import collections.abc
import itertools

import attrs

from bilberrydeal import ports
import standins
from standins import engine
from standins import platform

from . import _evidence

#: Failure domains that each phase must stay live in.
MIN_LIVE_DOMAINS = 2


def orders_never_conflict(
    evidence: _evidence.Evidence,
) -> _evidence.Violations:
    """Orders to an engine come one at a time and in one order."""
    for name, path in evidence.engines.items():
        applied = [
            order
            for order in standins.load(path, engine.Applied)
            if order.outcome != "fenced"
        ]
        applied.sort(key=lambda order: order.started_s)
        for first, second in itertools.pairwise(applied):
            if second.started_s < first.ended_s:
                yield f"{name} got orders that overlap"
            if second.order_version < first.order_version:
                yield (
                    f"{name} went from order {first.order_version}"
                    f" back to {second.order_version}"
                )
        contents = collections.defaultdict(set)
        for order in applied:
            contents[order.order_version].add((order.role, order.model))
        for version, kinds in contents.items():
            if len(kinds) > 1:
                yield f"{name} got order {version} with two contents"


def changes_cut_nothing(evidence: _evidence.Evidence) -> _evidence.Violations:
    """No request is cut by a planned change."""
    for name, path in evidence.engines.items():
        for order in standins.load(path, engine.Applied):
            if order.cut:
                yield f"{name} cut {order.cut} at order {order.order_version}"


def phases_stay_live(
    evidence: _evidence.Evidence, since_s: float
) -> _evidence.Violations:
    """Both phases stay live in two failure domains.

    An engine that carries out an order is not live. Orders before
    ``since_s`` set the fleet up.
    """
    changes = [
        (when_s, name, role)
        for name, path in evidence.engines.items()
        for order in standins.load(path, engine.Applied)
        if order.outcome != "fenced"
        for when_s, role in (
            (order.started_s, ""),
            (order.ended_s, order.role),
        )
    ]
    roles = dict.fromkeys(evidence.engines, ports.EngineRole.BOTH.value)
    for when_s, name, role in sorted(changes):
        roles[name] = role
        for phase in (ports.EngineRole.PREFILL, ports.EngineRole.DECODE):
            live = {
                evidence.domains[each]
                for each, takes in roles.items()
                if takes in (phase, ports.EngineRole.BOTH)
            }
            if when_s > since_s and len(live) < MIN_LIVE_DOMAINS:
                yield f"{phase} was live in {sorted(live)} as {name} changed"


def purchases_have_one_holder(
    evidence: _evidence.Evidence,
) -> _evidence.Violations:
    """No holder orders what a later holder does not know of.

    The network may hold a call back until another has the duty. It is then
    one that the later holder makes too, under the same identity, and which
    the platform takes once.
    """
    orders: dict[str, tuple[str, str, int, str]] = {}
    calls = []
    for item in standins.load(evidence.platform_journal, platform.Ordered):
        domain = item.failure_domain
        content = (item.order, domain, item.count, item.subject)
        if orders.setdefault(item.order_id, content) != content:
            yield f"{item.order_id} came with two contents"
        calls.append(_FencedCall(domain, item.order_id, item.fence))
    yield from _stale_without_repeat(calls)


def purchases_stay_in_bounds(
    evidence: _evidence.Evidence,
) -> _evidence.Violations:
    """Fresh identities order no more than the plan may hold.

    What was listed at first and what was ordered, each identity once, less
    what was released, is within the bound of each failure domain.
    """
    if not evidence.most_per_domain:
        return
    held = collections.Counter(evidence.initial_endpoints)
    seen = set()
    for item in standins.load(evidence.platform_journal, platform.Ordered):
        if item.order_id in seen or item.outcome == "fenced":
            continue
        seen.add(item.order_id)
        bought = item.order == "purchase"
        held[item.failure_domain] += item.count if bought else -1
    for domain, count in held.items():
        if count > evidence.most_per_domain:
            yield f"{domain} has {count} of {evidence.most_per_domain}"


def windows_are_reported_once(
    evidence: _evidence.Evidence,
) -> _evidence.Violations:
    """No window is reported with other figures or under two identities.

    A report that was held back is one that a later holder makes too.
    """
    first: dict[tuple[str, int], ports.UsageReport] = {}
    calls = []
    for item in evidence.reports():
        report = item.report
        window = (report.organisation, report.window_start_s)
        before = first.setdefault(window, report)
        if before.figures != report.figures:
            yield f"{window} was reported with other figures"
        if before.report_id != report.report_id:
            yield f"{window} was reported under two identities"
        calls.append(_FencedCall("usage", report.report_id, report.fence))
    yield from _stale_without_repeat(calls)


@attrs.frozen
class _FencedCall:
    """A call that carried a fencing number."""

    #: Whose numbers it is counted in.
    duty: str
    identity: str
    fence: int


def count_late_calls(evidence: _evidence.Evidence) -> int:
    """Return how many calls came after one of a later holder."""
    calls = [
        _FencedCall(item.failure_domain, item.order_id, item.fence)
        for item in standins.load(evidence.platform_journal, platform.Ordered)
    ]
    calls += [
        _FencedCall("usage", item.report.report_id, item.report.fence)
        for item in evidence.reports()
    ]
    return sum(1 for _ in _stale_calls(calls))


def _stale_calls(
    calls: list[_FencedCall],
) -> collections.abc.Iterator[tuple[int, int]]:
    """Yield the index of each call that came too late.

    With it comes the highest number that was there before.
    """
    highest: dict[str, int] = {}
    for index, call in enumerate(calls):
        before = highest.get(call.duty, 0)
        if call.fence < before:
            yield index, before
        highest[call.duty] = max(before, call.fence)


def _stale_without_repeat(calls: list[_FencedCall]) -> _evidence.Violations:
    """Find calls that came too late and are no repeats.

    The first to come of an identity is a repeat, too, where a later holder
    makes the same call afterwards.
    """
    first: dict[str, int] = {}
    newest: dict[str, int] = {}
    for index, call in enumerate(calls):
        first.setdefault(call.identity, index)
        known = newest.get(call.identity, 0)
        newest[call.identity] = max(known, call.fence)
    for index, before in _stale_calls(calls):
        call = calls[index]
        is_first = first[call.identity] == index
        if is_first and newest[call.identity] < before:
            yield f"{call.identity} came from holder {call.fence}, too late"
