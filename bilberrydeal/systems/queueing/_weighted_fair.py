"""Shares between organisations by start-time fair queueing."""

import heapq
import math

import attrs

from . import _base
from . import _class_order
from . import _service_rate
from . import _slots

#: Cost that an organisation may be served ahead of another, whose requests
#: are of a higher class, over its weight.
LEAD_LIMIT = 20_000.0
#: Accounts of idle organisations that are kept at least.
SPARE_ACCOUNTS = 64


@attrs.define
class Account:
    """One organisation's place in the queue."""

    #: Its requests that wait.
    order: _class_order.ClassOrder = attrs.field(
        factory=_class_order.ClassOrder
    )
    #: Virtual time at which its next request starts.
    start: float = 0.0
    #: Weight, as its last request stated it.
    weight: float = 1.0
    #: Grows when ``start`` changes, to tell stale heap items.
    version: int = 0


@_base.QUEUES.register("weighted_fair")
class WeightedFair:
    """Gives each organisation that waits its weight's share of the cost.

    Virtual time is the start of the request served last. An organisation
    that comes back from idling starts at virtual time, so idling earns
    nothing. What a request really cost is charged when it has ended.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, Account] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._by_start: list[tuple[float, str, str]] = []
        self._owners: dict[str, str] = {}
        self._virtual = 0.0
        self._version = 0
        self._cost = 0.0
        self._busy_weight = 0.0
        self._rate = _service_rate.ServiceRate()
        self._slots = _slots.Slots()

    def push(self, item: _base.QueuedRequest, now_s: float) -> None:
        """Add a request to its organisation's."""
        account = self._accounts.setdefault(item.organisation, Account())
        if not len(account.order):
            account.start = max(account.start, self._virtual)
            account.weight = item.weight
            self._busy_weight += item.weight
        else:
            self._busy_weight += item.weight - account.weight
            account.weight = item.weight
        account.order.push(item)
        self._owners[item.key] = item.organisation
        self._slots.came(item, now_s)
        self._cost += item.cost
        heapq.heappush(
            self._by_start, (item.latest_start_s, item.key, item.organisation)
        )
        self._place(item.organisation, account)

    def pop(
        self, now_s: float, slots: int | None = None
    ) -> _base.QueuedRequest | None:
        """Remove and return the next request of the least served."""
        highest = math.inf
        if slots is not None:
            highest = self._slots.highest_class(slots, now_s)
        name = self._least_served(highest, now_s)
        if name is None:
            return None
        account = self._accounts[name]
        item = account.order.pop(now_s)
        self._virtual = max(self._virtual, account.start)
        account.start += item.cost / account.weight
        self._slots.began(item.key, item.request_class)
        self._rate.taken(item.cost, len(self) > 1, now_s)
        self._removed(item, account)
        return item

    def remove(self, key: str) -> _base.QueuedRequest | None:
        """Remove a request that still waits."""
        name = self._owners.get(key)
        if name is None:
            return None
        account = self._accounts[name]
        item = account.order.remove(key)
        if item is not None:
            self._removed(item, account)
        if not len(self):
            self._rate.emptied()
        return item

    def expired(self, now_s: float) -> list[_base.QueuedRequest]:
        """Remove and return requests that can no longer end in time."""
        late = []
        while self._by_start and self._by_start[0][0] < now_s:
            _, key, _ = heapq.heappop(self._by_start)
            item = self.remove(key)
            if item is not None:
                late.append(item)
        return late

    def overflow(self, limit: int, now_s: float) -> list[_base.QueuedRequest]:
        """Remove and return what the biggest organisations have too much."""
        shed = []
        while len(self) > limit:
            account = max(
                (a for a in self._accounts.values() if len(a.order)),
                key=lambda a: a.order.cost / a.weight,
            )
            item = account.order.pop_last()
            self._removed(item, account)
            shed.append(item)
        return shed

    def wait_s(self, item: _base.QueuedRequest, now_s: float) -> float:
        """Return the time a request would wait if it were pushed now."""
        rate = self._rate.per_s
        if math.isinf(rate) or not self._cost:
            return 0.0
        account = self._accounts.get(item.organisation)
        if account is None:
            return 0.0
        busy_weight = self._busy_weight
        if not len(account.order):
            busy_weight += item.weight
        ahead = account.order.cost_up_to(item.request_class)
        lag = max(0.0, account.start - self._virtual) + ahead / item.weight
        return min(lag * busy_weight, self._cost) / rate

    def ended(self, item: _base.QueuedRequest, actual_cost: float) -> None:
        """Free the request's slot and correct its organisation's account."""
        self._slots.ended(item.key)
        account = self._accounts.get(item.organisation)
        if account is None:
            return
        account.start += (actual_cost - item.cost) / account.weight
        if len(account.order):
            self._place(item.organisation, account)

    def __len__(self) -> int:
        return len(self._owners)

    def _place(self, name: str, account: Account) -> None:
        self._version += 1
        account.version = self._version
        heapq.heappush(self._heap, (account.start, account.version, name))

    def _least_served(self, highest: float, now_s: float) -> str | None:
        """Return the organisation to serve.

        It is the least served one that has a request of the classes allowed,
        unless that is served far more than the least served of all.
        """
        passed: list[tuple[float, int, str]] = []
        chosen = None
        while self._heap and chosen is None:
            start, version, name = self._heap[0]
            account = self._accounts.get(name)
            if account is None or account.version != version:
                heapq.heappop(self._heap)
            elif passed and start > passed[0][0] + LEAD_LIMIT:
                chosen = passed[0][2]
            elif account.order.allows(highest, now_s):
                chosen = name
            else:
                passed.append(heapq.heappop(self._heap))
        for place in passed:
            heapq.heappush(self._heap, place)
        return chosen

    def _removed(self, item: _base.QueuedRequest, account: Account) -> None:
        del self._owners[item.key]
        self._cost = self._cost - item.cost if self._owners else 0.0
        if len(account.order):
            self._place(item.organisation, account)
            return
        account.version = 0
        self._busy_weight -= account.weight
        if not self._owners:
            self._forget()
        elif len(self._accounts) > 2 * len(self._owners) + SPARE_ACCOUNTS:
            self._prune()

    def _forget(self) -> None:
        # Nobody waits, so nobody was kept from service: all start anew.
        self._accounts.clear()
        self._heap.clear()
        self._by_start.clear()
        self._virtual = 0.0
        self._busy_weight = 0.0

    def _prune(self) -> None:
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if len(account.order) or account.start > self._virtual
        }
