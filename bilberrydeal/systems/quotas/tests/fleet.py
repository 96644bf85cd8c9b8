"""A virtual fleet of gateways that share quotas, on a virtual clock."""

import collections
import collections.abc
import heapq
import itertools
import random

import attrs

from .... import catalogue
from .. import _fallback
from .. import _home
from .. import _messages
from .. import _node

#: Organisation of all requests.
ORGANISATION = "o1"
#: Bounds that are checked.
BOUNDS = _fallback.FallbackBounds(8.0, 0.1, 120_000.0)
#: Time until a vanished gateway is no longer listed, in seconds.
LISTED_S = 5.0
#: Interval at which each gateway reads the list, in seconds.
LIST_INTERVAL_S = 4.0
#: Interval between calls of ``poll``, in seconds.
POLL_INTERVAL_S = 0.015

Work = collections.abc.Callable[[], None]


@attrs.define(eq=False)
class Gateway:
    """One virtual gateway."""

    name: str
    node: _node.QuotaNode
    started_s: float
    alive: bool = True
    #: Until when it does nothing, virtual seconds.
    frozen_until_s: float = 0.0
    #: What has to be done once it is no longer frozen.
    backlog: list[Work] = attrs.field(factory=list)
    #: Whether it reaches the store.
    store: bool = True
    #: When its row was written last.
    row_s: float = 0.0
    polling: bool = False


@attrs.frozen
class Request:
    """One request and what became of it."""

    at_s: float
    decided_s: float
    gateway: str
    cost: float
    granted: bool
    wait_s: float
    fallback: bool


class Fleet:
    """Gateways, a lossy network between them, and a store that lists them."""

    def __init__(
        self,
        gateways: int,
        quota: catalogue.Quota,
        seed: int = 1,
        loss: float = 0.0,
        duplicates: float = 0.0,
        delay_s: tuple[float, float] = (0.0005, 0.002),
        listed: bool = True,
    ) -> None:
        self.quota = quota
        self.now_s = 0.0
        self.random = random.Random(seed)
        self.requests: list[Request] = []
        self.gateways: dict[str, Gateway] = {}
        #: Group of each gateway; messages between groups are lost.
        self.groups: dict[str, int] = {}
        self.messages = 0
        self._loss = loss
        self._duplicates = duplicates
        self._delay_s = delay_s
        self._events: list[tuple[float, int, Work]] = []
        self._numbers = itertools.count()
        self._names = itertools.count(1)
        for _ in range(gateways):
            self.start()
        if listed:
            for gateway in self.gateways.values():
                self._read_list(gateway, True)

    # Events.

    def at(self, at_s: float, work: Work) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), work))

    def run(self, until_s: float) -> None:
        """Run until a time."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _number, work = heapq.heappop(self._events)
            self.now_s = max(self.now_s, at_s)
            work()
        self.now_s = until_s

    def _on(self, gateway: Gateway, work: Work) -> None:
        """Do something at a gateway, once it runs."""
        if not gateway.alive:
            return
        if self.now_s < gateway.frozen_until_s:
            if not gateway.backlog:
                self.at(gateway.frozen_until_s, lambda: self._resume(gateway))
            gateway.backlog.append(work)
            return
        work()

    def _resume(self, gateway: Gateway) -> None:
        backlog, gateway.backlog = gateway.backlog, []
        for work in backlog:
            self._on(gateway, work)

    # Gateways.

    def start(self, address: str = "") -> Gateway:
        """Start a gateway."""
        name = f"g{next(self._names)}"
        node = _node.QuotaNode(name, address or f"a-{name}", BOUNDS)
        node.set_quotas({ORGANISATION: self.quota})
        gateway = Gateway(name, node, self.now_s)
        gateway.row_s = self.now_s
        self.gateways[name] = gateway
        self.groups[name] = 0
        phase_s = self.random.random() * _node.TICK_INTERVAL_S
        self.at(self.now_s + phase_s, lambda: self._tick(gateway))
        self.at(self.now_s + 0.2, lambda: self._follow_list(gateway))
        self.at(self.now_s + 0.1, lambda: self._write_row(gateway))
        return gateway

    def kill(self, *names: str) -> None:
        """End gateways without a word."""
        for name in names:
            self.gateways[name].alive = False

    def freeze(self, name: str, for_s: float) -> None:
        """Let a gateway do nothing for a while."""
        self.gateways[name].frozen_until_s = self.now_s + for_s

    @property
    def home(self) -> str:
        """Return the home in the view of the first live gateway."""
        for gateway in self.gateways.values():
            if gateway.alive:
                return gateway.node.view.home(ORGANISATION)
        raise AssertionError("no gateway lives")

    def _write_row(self, gateway: Gateway) -> None:
        def work() -> None:
            if gateway.store:
                gateway.row_s = self.now_s

        self._on(gateway, work)
        if gateway.alive:
            self.at(self.now_s + 1.0, lambda: self._write_row(gateway))

    def _follow_list(self, gateway: Gateway) -> None:
        self._on(gateway, lambda: self._read_list(gateway, False))
        young = self.now_s - gateway.started_s < 6.0
        interval_s = 0.5 if young else LIST_INTERVAL_S
        spread = self.random.uniform(0.8, 1.0)
        if gateway.alive:
            self.at(
                self.now_s + interval_s * spread,
                lambda: self._follow_list(gateway),
            )

    def _read_list(self, gateway: Gateway, settled: bool) -> None:
        if not gateway.store:
            return
        newest_s = max(each.row_s for each in self.gateways.values())
        others = {
            each.name: each.node.view.heartbeat(self.now_s).address
            for each in self.gateways.values()
            if each is not gateway and newest_s - each.row_s < LISTED_S
            if each.started_s < self.now_s or settled
        }
        age_s = self.now_s - gateway.started_s
        gateway.node.set_listed(
            others,
            settled or gateway.node.view.settled_itself or age_s >= 1.2,
            gateway.row_s + LISTED_S - 1.0,
            self.now_s,
        )

    def _tick(self, gateway: Gateway) -> None:
        def work() -> None:
            view = gateway.node.view
            view.row_expires_s = gateway.row_s + LISTED_S - 1.0
            gateway.node.tick(self.now_s)
            self._flush(gateway)

        self._on(gateway, work)
        if gateway.alive:
            self.at(
                self.now_s + _node.TICK_INTERVAL_S,
                lambda: self._tick(gateway),
            )

    # Network.

    def _flush(self, gateway: Gateway) -> None:
        heartbeat = gateway.node.take_heartbeat(self.now_s)
        outgoing = gateway.node.take_outgoing()
        if heartbeat is not None:
            outgoing.append(heartbeat)
        for each in outgoing:
            for name in each.recipients:
                self._send(gateway.name, name, each.message)
        if gateway.node.waiting and not gateway.polling:
            gateway.polling = True
            self.at(self.now_s + POLL_INTERVAL_S, lambda: self._poll(gateway))

    def _poll(self, gateway: Gateway) -> None:
        def work() -> None:
            gateway.polling = False
            gateway.node.poll(self.now_s)
            self._flush(gateway)

        self._on(gateway, work)

    def _send(
        self, sender: str, name: str, message: _messages.Message
    ) -> None:
        copies = 1 + (self.random.random() < self._duplicates)
        for _ in range(copies):
            self.messages += 1
            if self.random.random() < self._loss:
                continue
            delay_s = self.random.uniform(*self._delay_s)
            self.at(
                self.now_s + delay_s,
                lambda: self._deliver(sender, name, message),
            )

    def _deliver(
        self, sender: str, name: str, message: _messages.Message
    ) -> None:
        gateway = self.gateways[name]
        if self.groups[sender] != self.groups[name]:
            return

        def work() -> None:
            gateway.node.receive(sender, message, self.now_s)
            self._flush(gateway)

        self._on(gateway, work)

    # Requests.

    def request(self, gateway: Gateway, cost: float) -> None:
        """Let a request arrive."""
        at_s = self.now_s

        def decided(decision: _node.Decision) -> None:
            self.requests.append(
                Request(
                    at_s,
                    self.now_s,
                    gateway.name,
                    cost,
                    decision.granted,
                    decision.wait_s,
                    decision.fallback,
                )
            )

        def work() -> None:
            found = gateway.node.ask(ORGANISATION, cost, self.now_s, decided)
            if not isinstance(found, int):
                decided(found)
            self._flush(gateway)

        self._on(gateway, work)

    def load(
        self,
        rate_per_s: float,
        cost: float,
        from_s: float,
        to_s: float,
        skew: float = 0.0,
        burst_factor: float = 1.0,
    ) -> None:
        """Offer requests of a cost, in Poisson arrivals.

        ``skew`` is the part of them that goes to one gateway; the rest is
        spread evenly. With a ``burst_factor`` the rate is that many times the
        average for 1.5 s out of 6 s.
        """
        quiet = (6.0 - 1.5 * burst_factor) / 4.5
        at_s = from_s
        while True:
            bursting = (at_s - from_s) % 6.0 < 1.5
            factor = burst_factor if bursting else quiet
            at_s += self.random.expovariate(rate_per_s * factor / cost)
            if at_s >= to_s:
                return
            self.at(at_s, lambda: self._arrive(cost, skew))

    def _arrive(self, cost: float, skew: float) -> None:
        alive = [each for each in self.gateways.values() if each.alive]
        if self.random.random() < skew:
            self.request(alive[-1], cost)
        else:
            self.request(self.random.choice(alive), cost)

    # Results.

    def worst(self, from_s: float = 0.0) -> float:
        """Return the greatest amount in a window over what is allowed."""
        quota = self.quota
        allowed = quota.rate_per_s * BOUNDS.window_s + quota.burst
        allowed += BOUNDS.excess(quota)
        window: collections.deque[Request] = collections.deque()
        total = greatest = 0.0
        granted = [
            each
            for each in self.requests
            if each.granted and each.decided_s >= from_s
        ]
        for each in sorted(granted, key=lambda found: found.decided_s):
            window.append(each)
            total += each.cost
            while each.decided_s - window[0].decided_s > BOUNDS.window_s:
                total -= window.popleft().cost
            greatest = max(greatest, total)
        return greatest / allowed

    def rejected(self, from_s: float = 0.0, to_s: float = 1e9) -> float:
        """Return the share of requests that were rejected."""
        found = [each for each in self.requests if from_s <= each.at_s < to_s]
        return sum(not each.granted for each in found) / max(len(found), 1)

    def wrongly_rejected(
        self, from_s: float = 0.0, to_s: float = 1e9
    ) -> float:
        """Return the share of requests that one bucket would have granted."""
        found = sorted(
            (each for each in self.requests if each.at_s < to_s),
            key=lambda each: each.at_s,
        )
        level, before_s = self.quota.burst, 0.0
        wrong = count = 0
        for each in found:
            level += (each.at_s - before_s) * self.quota.rate_per_s
            level = min(level, self.quota.burst)
            before_s = each.at_s
            fits = level >= min(each.cost, self.quota.burst)
            if fits and each.granted:
                level -= each.cost
            elif each.granted:
                # Granted by more than one bucket would have.
                level = max(level - each.cost, -self.quota.burst)
            if each.at_s >= from_s:
                count += 1
                wrong += fits and not each.granted
        return wrong / max(count, 1)


def quota(
    rate_per_s: float,
    burst: float | None = None,
    unit: catalogue.QuotaUnit = catalogue.QuotaUnit.TOKENS,
) -> catalogue.Quota:
    """Return a quota with a burst of one second."""
    return catalogue.Quota(
        unit, rate_per_s, rate_per_s if burst is None else burst, 200.0
    )


#: Longest wait that is told.
MAX_WAIT_S = _home.MAX_WAIT_S
