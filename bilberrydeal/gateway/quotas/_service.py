"""Takes the costs of requests from quotas and gives them back."""

import asyncio
import collections.abc

import attrs

from ... import catalogue
from ... import decoding
from ... import errors
from ... import platform
from ... import telemetry
from ...systems import quotas
from .. import cluster_state
from .. import core
from .. import messaging

LOG = telemetry.logger("quotas")
#: Interval between checks for queries to repeat, in seconds; they only run
#: while a query has no answer.
POLL_INTERVAL_S = 0.015
#: Added to the wait that callers are told, in seconds, so that rounding to
#: milliseconds in the header does not make them come back too early.
ROUNDING_S = 0.002

Clock = collections.abc.Callable[[], float]


@attrs.frozen
class Listing:
    """The gateways as the store lists them."""

    #: Datagram addresses of the others by incarnation; ``None`` until the list
    #: has been read.
    others: collections.abc.Mapping[str, str] | None
    #: Whether gateways that started with this one are listed too.
    settled: bool
    #: Time until others may take this gateway for dead, in seconds.
    row_left_s: float
    #: Time for which the list may be outdated, in seconds.
    list_age_s: float


class Quotas:
    """Decides whether an organisation's requests are within its quota."""

    def __init__(
        self,
        datagrams: messaging.Datagrams,
        cluster: cluster_state.ClusterState,
        gateway: str,
        address: str,
        listing: collections.abc.Callable[[], Listing],
        bounds: quotas.FallbackBounds,
        metrics: core.GatewayMetrics,
        clock: Clock,
    ) -> None:
        self._datagrams = datagrams
        self._cluster = cluster
        self._gateway = gateway
        self._listing = listing
        self._metrics = metrics
        self._clock = clock
        self._node = quotas.QuotaNode(gateway, address, bounds)
        self._configuration: catalogue.Configuration | None = None
        self._others: collections.abc.Mapping[str, str] | None = None
        self._flushing = False
        self._polling = False
        self._unreachable: set[str] = set()
        datagrams.subscribe(self._on_datagram)

    async def admit(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
    ) -> None:
        """Take the cost of a request; raises ``Refusal`` if it is too much.

        A request that is cancelled while it waits gives back its cost.
        """
        organisation = admitted.organisation
        if organisation is None or organisation.quota is None:
            return
        quota = organisation.quota
        cost = platform.quota_cost(quota, admitted.token_counts)
        decision = await self._decide(organisation.name, cost)
        self._count(organisation.name, quota, cost, decision)
        if decision.granted:
            progress.quota_charge = core.QuotaCharge(
                organisation.name, cost, decision.home
            )
            return
        where = ", without its home" if decision.fallback else ""
        raise errors.Refusal(
            reason=errors.ErrorCode.LIMIT_REACHED,
            message=f"{cost:g} {quota.unit.value} over the quota{where}",
            status=429,
            retry_after_s=decision.wait_s + ROUNDING_S,
        )

    def release(self, progress: core.RequestProgress) -> None:
        """Give back the cost of a request that certainly did not run."""
        charge = progress.quota_charge
        if charge is None or progress.may_have_run:
            return
        progress.quota_charge = None
        self._refund(charge.organisation, charge.cost, charge.granted_by)

    async def run_once(self) -> None:
        """Keep time, apply what has changed and send what is due."""
        now_s = self._clock()
        self._apply_configuration()
        if self._node.quotas:
            self._apply_listing(now_s)
        self._node.tick(now_s)
        self._flush()
        for change in self._node.take_transitions():
            LOG.info(
                "Quota home lost." if change.entered else "Quota home heard.",
                organisation=change.organisation,
                home=change.home,
                share_per_s=round(change.share_per_s, 1),
            )

    def shut_down(self) -> None:
        """Tell the other gateways that this one ends."""
        found = self._node.take_heartbeat(self._clock(), leaving=True)
        if found is not None:
            self._send(found)

    async def _decide(self, organisation: str, cost: float) -> quotas.Decision:
        self._apply_configuration()
        loop = asyncio.get_running_loop()
        future: asyncio.Future[quotas.Decision] = loop.create_future()

        def on_decision(decision: quotas.Decision) -> None:
            if not future.done():
                future.set_result(decision)
            elif decision.granted:
                self._refund(organisation, cost, decision.home)

        decided = self._node.ask(
            organisation, cost, self._clock(), on_decision
        )
        if not isinstance(decided, int):
            return decided
        self._flush_soon()
        try:
            return await future
        except asyncio.CancelledError:
            self._node.cancel(decided)
            if future.done() and not future.cancelled():
                decision = future.result()
                if decision.granted:
                    self._refund(organisation, cost, decision.home)
            raise

    def _refund(self, organisation: str, cost: float, granted_by: str) -> None:
        self._node.refund(organisation, cost, granted_by, self._clock())
        self._flush_soon()

    def _count(
        self,
        organisation: str,
        quota: catalogue.Quota,
        cost: float,
        decision: quotas.Decision,
    ) -> None:
        self._metrics.count_quota(
            organisation,
            quota.unit.value,
            cost,
            decision.granted,
            decision.fallback,
        )

    def _apply_configuration(self) -> None:
        configuration = self._cluster.configuration
        if configuration is self._configuration or configuration is None:
            return
        self._configuration = configuration
        self._node.set_quotas(configuration.quotas)

    def _apply_listing(self, now_s: float) -> None:
        listing = self._listing()
        view = self._node.view
        row_expires_s = now_s + listing.row_left_s
        view.list_age_s = max(listing.list_age_s, quotas.MIN_LIST_AGE_S)
        others = listing.others
        if others is not None and others is not self._others:
            self._others = others
            self._node.set_listed(
                others, listing.settled, row_expires_s, now_s
            )
        view.settled_itself = listing.settled
        view.row_expires_s = row_expires_s

    def _on_datagram(self, datagram: messaging.Datagram) -> None:
        if datagram.quota is None:
            return
        self._apply_configuration()
        self._node.receive(datagram.gateway, datagram.quota, self._clock())
        self._flush_soon()

    def _flush_soon(self) -> None:
        """Send what this iteration of the event loop adds at its end."""
        loop = asyncio.get_running_loop()
        if not self._flushing:
            self._flushing = True
            loop.call_soon(self._flush)
        if not self._polling and self._node.waiting:
            self._polling = True
            loop.call_later(POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self._polling = False
        self._node.poll(self._clock())
        self._flush_soon()

    def _flush(self) -> None:
        self._flushing = False
        heartbeat = self._node.take_heartbeat(self._clock())
        if heartbeat is not None:
            self._send(heartbeat)
        for outgoing in self._node.take_outgoing():
            self._send(outgoing)

    def _send(self, outgoing: quotas.Outgoing) -> None:
        addresses = [
            address
            for name in outgoing.recipients
            if (address := self._address(name)) is not None
        ]
        self._datagrams.send(
            messaging.Datagram(self._gateway, quota=outgoing.message),
            addresses,
        )

    def _address(self, gateway: str) -> messaging.Address | None:
        """Return the address of a gateway, ``None`` if it has none."""
        text = self._node.view.address(gateway)
        try:
            return decoding.split_address(text)
        except decoding.AddressInvalid as error:
            if gateway not in self._unreachable:
                self._unreachable &= set(self._node.view.names)
                self._unreachable.add(gateway)
                LOG.warning(
                    "Gateway without an address.",
                    gateway=gateway,
                    reason=str(error),
                )
            return None
