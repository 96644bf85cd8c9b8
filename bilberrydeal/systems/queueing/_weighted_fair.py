"""A start-time fair queue between organisations."""

import collections
import heapq
import math

import attrs

from . import _base
from . import _class_order
from . import _service_rate
from . import _slot_reservation

#: Maximum lead of an organisation, as cost over weight, over one that has only
#: requests of a class that is not allowed at the moment.
MAX_LEAD = 20_000.0
#: An organisation has a large backlog if its waiting cost exceeds its share
#: of all waiting cost by this factor: enough other requests to serve.
LARGE_BACKLOG_FACTOR = 1.5
#: Accounts are pruned when they exceed twice the waiting requests by this.
MAX_SPARE_ACCOUNTS = 64


@attrs.define
class Account:
    """The queue state of one organisation."""

    #: Waiting requests.
    order: _class_order.ClassOrder = attrs.field(
        factory=_class_order.ClassOrder
    )
    #: Virtual start time of its next request.
    start: float = 0.0
    #: Weight, from its last request.
    weight: float = 1.0
    #: Increases when ``start`` changes, to detect stale heap items.
    version: int = 0


@attrs.frozen
class _Backlog:
    """What all organisations together have waiting."""

    #: Cost of all waiting requests.
    cost: float
    #: Weight of all organisations with waiting requests.
    weight: float


@_base.QUEUES.register("weighted_fair")
class WeightedFair:
    """Divides the served cost between waiting organisations by weight.

    Virtual time is the start of the request served last. An organisation that
    was idle resumes at virtual time, so that idling earns no credit. The
    actual cost of a request is charged when it ends.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, Account] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._by_start: list[tuple[float, str, str]] = []
        self._organisations: dict[str, str] = {}
        self._virtual_time = 0.0
        self._version = 0
        self._waiting_cost = 0.0
        self._busy_weight = 0.0
        self._service_rate = _service_rate.ServiceRate()
        self._slot_reservation = _slot_reservation.SlotReservation()

    def push(self, item: _base.QueuedRequest, now_s: float) -> None:
        """Add a request to its organisation's queue."""
        account = self._accounts.setdefault(item.organisation, Account())
        if not len(account.order):
            account.start = max(account.start, self._virtual_time)
            account.weight = item.weight
            self._busy_weight += item.weight
        else:
            self._busy_weight += item.weight - account.weight
            account.weight = item.weight
        account.order.push(item)
        self._organisations[item.key] = item.organisation
        self._slot_reservation.record_arrival(item, now_s)
        self._waiting_cost += item.cost
        heapq.heappush(
            self._by_start, (item.safe_start_s, item.key, item.organisation)
        )
        self._push_account(item.organisation, account)

    def pop(
        self, now_s: float, slots: int | None = None
    ) -> _base.QueuedRequest | None:
        """Remove and return a request of the least served organisation."""
        highest_class = math.inf
        if slots is not None:
            highest_class = self._slot_reservation.highest_class(slots, now_s)
        name = self._least_served(highest_class, now_s)
        if name is None:
            return None
        account = self._accounts[name]
        item = account.order.pop(now_s)
        self._virtual_time = max(self._virtual_time, account.start)
        account.start += item.cost / account.weight
        self._slot_reservation.record_start(item.key, item.request_class)
        self._service_rate.record_pop(item.cost, len(self) > 1, now_s)
        self._after_removal(item, account)
        return item

    def remove(self, key: str) -> _base.QueuedRequest | None:
        """Remove and return a request if it is still waiting."""
        name = self._organisations.get(key)
        if name is None:
            return None
        account = self._accounts[name]
        item = account.order.remove(key)
        if item is not None:
            self._after_removal(item, account)
        if not len(self):
            self._service_rate.record_empty()
        return item

    def pop_expired(self, now_s: float) -> list[_base.QueuedRequest]:
        """Remove and return requests that can no longer meet their deadline.

        Requests that start at the last moment often end late, and their work
        is wasted. An organisation with a large backlog uses its service for
        other requests instead; one with a small backlog loses no request that
        could meet its deadline. Removals lower the waiting cost and so raise
        the shares of others, hence the backlog has to be large before the
        first removal too.
        """
        late = []
        total = _Backlog(self._waiting_cost, self._busy_weight)
        removed: dict[str, float] = collections.defaultdict(float)
        while self._by_start and self._by_start[0][0] < now_s:
            _, key, name = heapq.heappop(self._by_start)
            item = self._waiting(key)
            if item is None:
                continue
            if item.latest_start_s >= now_s and not (
                self._has_large_backlog(name)
                and self._had_large_backlog(name, removed[name], total)
            ):
                retry = (item.latest_start_s, key, name)
                heapq.heappush(self._by_start, retry)
                continue
            self.remove(key)
            removed[name] += item.cost
            late.append(item)
        return late

    def pop_overflow(
        self, limit: int, now_s: float
    ) -> list[_base.QueuedRequest]:
        """Remove and return requests of the largest backlogs, by weight."""
        shed = []
        while len(self) > limit:
            account = max(
                (a for a in self._accounts.values() if len(a.order)),
                key=lambda a: a.order.cost / a.weight,
            )
            item = account.order.pop_last()
            self._after_removal(item, account)
            shed.append(item)
        return shed

    def wait_s(self, item: _base.QueuedRequest, now_s: float) -> float:
        """Return the expected wait of a request that is pushed now."""
        rate = self._service_rate.per_s
        if math.isinf(rate) or not self._waiting_cost:
            return 0.0
        account = self._accounts.get(item.organisation)
        if account is None:
            return 0.0
        busy_weight = self._busy_weight
        if not len(account.order):
            busy_weight += item.weight
        ahead = account.order.cost_up_to(item.request_class)
        lag = (
            max(0.0, account.start - self._virtual_time) + ahead / item.weight
        )
        return min(lag * busy_weight, self._waiting_cost) / rate

    def record_end(
        self, item: _base.QueuedRequest, actual_cost: float
    ) -> None:
        """Free the request's slot and charge its actual cost."""
        self._slot_reservation.record_end(item.key)
        account = self._accounts.get(item.organisation)
        if account is None:
            return
        account.start += (actual_cost - item.cost) / account.weight
        if len(account.order):
            self._push_account(item.organisation, account)

    def __len__(self) -> int:
        return len(self._organisations)

    def _waiting(self, key: str) -> _base.QueuedRequest | None:
        name = self._organisations.get(key)
        return None if name is None else self._accounts[name].order.get(key)

    def _has_large_backlog(self, name: str) -> bool:
        present = _Backlog(self._waiting_cost, self._busy_weight)
        return self._had_large_backlog(name, 0.0, present)

    def _had_large_backlog(
        self, name: str, removed_cost: float, total: "_Backlog"
    ) -> bool:
        """Return whether a backlog was large before some removals.

        ``total`` is what all organisations had waiting at that time.
        """
        account = self._accounts[name]
        share = total.cost * account.weight / total.weight
        cost = account.order.cost + removed_cost
        return cost > LARGE_BACKLOG_FACTOR * share

    def _push_account(self, name: str, account: Account) -> None:
        self._version += 1
        account.version = self._version
        heapq.heappush(self._heap, (account.start, account.version, name))

    def _least_served(self, highest_class: float, now_s: float) -> str | None:
        """Return the organisation to serve.

        It is the least served one whose next request is allowed, unless its
        lead over the least served organisation exceeds the limit.
        """
        skipped: list[tuple[float, int, str]] = []
        chosen = None
        while self._heap and chosen is None:
            start, version, name = self._heap[0]
            account = self._accounts.get(name)
            if account is None or account.version != version:
                heapq.heappop(self._heap)
            elif skipped and start > skipped[0][0] + MAX_LEAD:
                chosen = skipped[0][2]
            elif account.order.allows(highest_class, now_s):
                chosen = name
            else:
                skipped.append(heapq.heappop(self._heap))
        for skipped_account in skipped:
            heapq.heappush(self._heap, skipped_account)
        return chosen

    def _after_removal(
        self, item: _base.QueuedRequest, account: Account
    ) -> None:
        del self._organisations[item.key]
        self._waiting_cost = (
            self._waiting_cost - item.cost if self._organisations else 0.0
        )
        if len(account.order):
            self._push_account(item.organisation, account)
            return
        account.version = 0
        self._busy_weight -= account.weight
        if not self._organisations:
            self._reset()
        elif (
            len(self._accounts)
            > 2 * len(self._organisations) + MAX_SPARE_ACCOUNTS
        ):
            self._prune()

    def _reset(self) -> None:
        # No request waits, so no organisation is behind: reset all accounts.
        self._accounts.clear()
        self._heap.clear()
        self._by_start.clear()
        self._virtual_time = 0.0
        self._busy_weight = 0.0

    def _prune(self) -> None:
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if len(account.order) or account.start > self._virtual_time
        }
