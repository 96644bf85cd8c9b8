"""Invariants of work that only the holder of a lease may do."""

import collections
import collections.abc
import itertools

import attrs

from bilberrydeal import ports
import standins
from standins import engine
from standins import platform

from . import _evidence

#: Failure domains in which each phase must keep a live engine.
MIN_LIVE_DOMAINS = 2


def orders_never_conflict(
    evidence: _evidence.Evidence,
) -> _evidence.Violations:
    """Orders to an engine never overlap and versions never go back."""
    for name, path in evidence.engines.items():
        applied = [
            order
            for order in standins.load(path, engine.Applied)
            if order.outcome != "fenced"
        ]
        applied.sort(key=lambda order: order.started_s)
        for first, second in itertools.pairwise(applied):
            if second.started_s < first.ended_s:
                yield f"{name} received orders that overlap"
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
                yield f"{name} received order {version} with two contents"


def changes_cut_nothing(evidence: _evidence.Evidence) -> _evidence.Violations:
    """No planned change interrupts a request."""
    for name, path in evidence.engines.items():
        for order in standins.load(path, engine.Applied):
            if order.cut:
                yield (
                    f"{name} interrupted {order.cut} requests"
                    f" at order {order.order_version}"
                )


def phases_stay_live(
    evidence: _evidence.Evidence, since_s: float
) -> _evidence.Violations:
    """Both phases keep live engines in two failure domains.

    An engine that is applying an order is not live. Orders before
    ``since_s`` belong to the set-up of the fleet.
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
    """Every late order is one that a later lease holder makes too.

    The network may delay a call until another process holds the lease. The
    later holder then makes the same call under the same identity, and the
    platform executes it once.
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
    """Purchases never exceed the limit of a failure domain.

    The count is the initially listed endpoints plus purchases less
    releases, each order id counted once.
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
            yield (
                f"{domain} has {count} endpoints,"
                f" limit {evidence.most_per_domain}"
            )


def windows_are_reported_once(
    evidence: _evidence.Evidence,
) -> _evidence.Violations:
    """No window is reported with different figures or under two ids.

    A delayed report must be one that the later holder of the lease makes
    too.
    """
    first: dict[tuple[str, int], ports.UsageReport] = {}
    calls = []
    for item in evidence.reports():
        report = item.report
        window = (report.organisation, report.window_start_s)
        before = first.setdefault(window, report)
        if before.figures != report.figures:
            yield f"{window} was reported with different figures"
        if before.report_id != report.report_id:
            yield f"{window} was reported under two ids"
        calls.append(_FencedCall("usage", report.report_id, report.fence))
    yield from _stale_without_repeat(calls)


@attrs.frozen
class _FencedCall:
    """A call that carried a fencing token."""

    #: Scope of the fencing token: a failure domain or ``usage``.
    duty: str
    identity: str
    fence: int


def count_late_calls(evidence: _evidence.Evidence) -> int:
    """Return how many calls arrived after one of a later holder."""
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
    """Yield the index of each call with an outdated fencing token.

    The second item is the highest token seen before it.
    """
    highest: dict[str, int] = {}
    for index, call in enumerate(calls):
        before = highest.get(call.duty, 0)
        if call.fence < before:
            yield index, before
        highest[call.duty] = max(before, call.fence)


def _stale_without_repeat(calls: list[_FencedCall]) -> _evidence.Violations:
    """Find outdated calls that no later holder makes too.

    A call is a repeat, even if it is the first to arrive under its
    identity, if a later holder makes the same call afterwards.
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
            yield f"{call.identity} came late, with token {call.fence}"
