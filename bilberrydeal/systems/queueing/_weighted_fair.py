"""Shares between organisations by start-time fair queueing."""

import heapq
import math

import attrs

from . import _base
from . import _class_order
from . import _service_rate

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
    nothing; nobody waits while there is something to run. What a request
    really cost is charged when it has ended.
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
        self._cost += item.cost
        heapq.heappush(
            self._by_start, (item.latest_start_s, item.key, item.organisation)
        )
        self._place(item.organisation, account)

    def pop(self, now_s: float) -> _base.QueuedRequest | None:
        """Remove and return the next request of the least served."""
        name = self._least_served()
        if name is None:
            return None
        account = self._accounts[name]
        item = account.order.pop(now_s)
        self._virtual = max(self._virtual, account.start)
        account.start += item.cost / account.weight
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

    def charge(self, organisation: str, cost_difference: float) -> None:
        """Correct an organisation's account after a request has ended."""
        account = self._accounts.get(organisation)
        if account is None:
            return
        account.start += cost_difference / account.weight
        if len(account.order):
            self._place(organisation, account)

    def __len__(self) -> int:
        return len(self._owners)

    def _place(self, name: str, account: Account) -> None:
        self._version += 1
        account.version = self._version
        heapq.heappush(self._heap, (account.start, account.version, name))

    def _least_served(self) -> str | None:
        while self._heap:
            _, version, name = self._heap[0]
            account = self._accounts.get(name)
            if (
                account is not None
                and account.version == version
                and len(account.order)
            ):
                return name
            heapq.heappop(self._heap)
        return None

    def _removed(self, item: _base.QueuedRequest, account: Account) -> None:
        del self._owners[item.key]
        self._cost = self._cost - item.cost if self._owners else 0.0
        if len(account.order):
            self._place(item.organisation, account)
            return
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
