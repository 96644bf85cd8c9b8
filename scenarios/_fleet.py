"""Starts a fleet on loopback and controls it for a scenario."""

import collections
import collections.abc
import functools
import itertools
import pathlib
import secrets

import aiohttp
import attrs

from bilberrydeal import adapters
from bilberrydeal import errors
from bilberrydeal import operators
from bilberrydeal import orders
from bilberrydeal import ports
from standins import platform

from . import _addresses
from . import _build
from . import _caller
from . import _composition
from . import _configure
from . import _evidence
from . import _operator
from . import _waits

#: Time after which an entry that lost its membership has exited.
LOST_MEMBERSHIP_S = 8.0

#: First bytes of calls that purchase endpoints and that report usage.
PURCHASE_CALLS = b"POST /v1/endpoints/purchase"
USAGE_REPORT_CALLS = b"POST /v1/usage/report"
#: First bytes of calls that order an engine to change.
ENGINE_ORDER_CALLS = b"POST /v1/orders"

#: Exceptions that a call may raise while faults are active.
EXPECTED_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    errors.BilberrydealError,
    _operator.Refused,
)


class Fleet:
    """A platform, entries, agents and endpoints.

    Example::

        async with Fleet(_composition.Composition(), folder) as fleet:
            await fleet.ask(0, _caller.completion("mark-1", "russo"))
    """

    def __init__(
        self, composition: _composition.Composition, folder: pathlib.Path
    ) -> None:
        self.composition = composition
        self.folder = folder
        self.addresses = _addresses.reserve()
        self._builder = _build.Builder(composition, folder, self.addresses)
        self.entries: list[_composition.Host] = []
        self.engines: list[_composition.Host] = []
        self.plain_services: list[_composition.Host] = []
        self.keys: dict[str, operators.KeyIssued] = {}
        #: Newest order version committed for an engine.
        self.committed_versions: dict[str, int] = {}
        self._secrets: list[str] = []
        self._markers = itertools.count(1)
        self._operator_key = f"operator-{secrets.token_hex(8)}"
        self._pepper = secrets.token_hex(16)
        self._journal = folder / "platform.jsonl"
        self.platform = self._builder.platform()

    async def __aenter__(self) -> "Fleet":
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self.caller = _caller.Caller(self.session)
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for host in self.hosts:
            for process in host.processes:
                process.kill()
            await host.front_proxy.stop()
            await host.store_proxy.stop()
        self.platform.kill()
        await self.session.close()

    @property
    def hosts(self) -> list[_composition.Host]:
        """Return all hosts but the platform's."""
        return [*self.entries, *self.engines, *self.plain_services]

    def host(self, name: str) -> _composition.Host:
        """Return a host by name."""
        return next(host for host in self.hosts if host.name == name)

    def marker(self) -> str:
        """Return a marker that no other request has."""
        return f"mark-{next(self._markers)}"

    def url(self, entry: int) -> str:
        """Return the base URL of an entry."""
        address = self.host_address(self.entries[entry])
        return f"http://{address}:{_addresses.HTTP_PORT}"

    def host_address(self, host: _composition.Host) -> str:
        """Return the address that other hosts connect to."""
        return self._builder.host_address(host)

    def operator(self, entry: int) -> _operator.Operator:
        """Return a client of the operator API of an entry."""
        return _operator.Operator(
            self.session, self.url(entry), self._operator_key
        )

    async def ask(
        self,
        entry: int,
        ask: _caller.Ask,
        on_text: collections.abc.Callable[[], None] | None = None,
        key: str | None = None,
    ) -> _caller.Outcome:
        """Send a request to an entry."""
        if key is None:
            issued = self.keys.get(ask.organisation)
            key = issued.secret if issued else ""
        return await self.caller.call(self.url(entry), ask, key, on_text)

    async def set_platform_fault(self, fault: platform.Fault) -> None:
        """Inject a fault into the platform."""
        await self._post_control("", attrs.asdict(fault))

    async def set_endpoint_fault(
        self, host: _composition.Host, fault: attrs.AttrsInstance
    ) -> None:
        """Inject a fault into an engine or a plain service."""
        address = self.addresses.address(host.number)
        url = f"http://{address}:{_addresses.ENDPOINT_PORT}/control"
        async with self.session.post(
            url,
            json=attrs.asdict(fault),
        ) as answer:
            answer.raise_for_status()

    def evidence(self) -> _evidence.Evidence:
        """Return everything recorded so far."""
        return _evidence.Evidence(
            outcomes=tuple(self.caller.outcomes),
            engines={host.name: host.journal for host in self.engines},
            plain_services={
                host.name: host.journal for host in self.plain_services
            },
            platform_journal=self._journal,
            secrets=(self._operator_key, self._pepper, *self._secrets),
            initial_endpoints=collections.Counter(
                host.failure_domain for host in self.engines
            ),
            most_per_domain=(
                self.composition.most_per_domain
                if self.composition.planning_enabled
                else 0
            ),
            domains={h.name: h.failure_domain for h in self.engines},
        )

    async def issue_key(self, organisation: str) -> operators.KeyIssued:
        """Issue a key and use it for the organisation from now on."""
        issued = await self.operator(0).issue_key(organisation)
        self.keys[organisation] = issued
        self._secrets.append(issued.secret)
        return issued

    async def publish_hosts(self, leaving: tuple[str, ...] = ()) -> None:
        """Set the platform's list of live and leaving hosts."""
        hosts = [
            ports.HostRecord(
                host_id=host.name,
                address=host.front_proxy.address,
                failure_domain=host.failure_domain,
                state=(
                    ports.HostState.LEAVING
                    if host.name in leaving
                    else ports.HostState.LIVE
                ),
            )
            for host in self.hosts
        ]
        records = [attrs.asdict(host) for host in hosts]
        await self._post_control("/hosts", {"hosts": records})

    async def commit_order(
        self, host: _composition.Host, role: ports.EngineRole, fence: int = 1
    ) -> None:
        """Commit an order for an engine, as a planner would."""
        key = orders.order_key(host.name)
        row = await self.order_row(host)
        version = orders.decode_order(row).order_version if row else 0
        self.committed_versions[host.name] = version + 1
        order = orders.CommittedOrder(
            version + 1, fence, role, _composition.MODEL
        )
        check = ports.Check(key.table, key.key, row.version if row else 0)
        write = ports.Write(key.table, key.key, orders.encode_order(order))
        transaction = ports.Transaction((check,), (write,))
        await self._table().commit(transaction, _waits.MAX_WAIT_S)

    async def order_row(self, host: _composition.Host) -> ports.Row | None:
        """Return the order row of an engine."""
        key = orders.order_key(host.name)
        (row,) = await self._table().read((key,), _waits.MAX_WAIT_S)
        return row

    async def planner_has_ordered_engine(self) -> bool:
        """Return whether the planner has committed an order.

        These are orders newer than those of :meth:`commit_order`.
        """
        for host in self.engines:
            row = await self.order_row(host)
            committed = self.committed_versions.get(host.name, 0)
            if row and orders.decode_order(row).order_version > committed:
                return True
        return False

    async def engine_state(self, host: _composition.Host) -> ports.EngineState:
        """Return the state that an engine reports."""
        address = self.addresses.address(host.number)
        url = f"http://{address}:{_addresses.ENDPOINT_PORT}"
        client = adapters.ENGINES.get("openai_http")(self.session, url)
        return await client.state(_waits.MAX_WAIT_S)

    async def wait_for_newest_order(self, host: _composition.Host) -> None:
        """Wait until an engine has applied its newest order."""

        async def applied() -> bool:
            try:
                state = await self.engine_state(host)
            except ports.EngineFailure:
                return False
            row = await self.order_row(host)
            newest = orders.decode_order(row).order_version if row else 0
            return state.order_version == newest and not state.changing

        await _waits.eventually(
            applied, f"{host.name} to apply its newest order"
        )

    async def serves(self, entry: int, organisation: str = "russo") -> bool:
        """Return whether an entry answers a short completion."""
        ask = _caller.completion(self.marker(), organisation, 1)
        return (await self.ask(entry, ask)).answered

    async def serves_plain(self, entry: int) -> bool:
        """Return whether an entry answers a stock check."""
        ask = _caller.plain("/stock", self.marker(), "russo")
        return (await self.ask(entry, ask)).answered

    async def _start(self) -> None:
        self.platform.start()
        address = self.addresses.address(_build.PLATFORM_HOST)
        await _waits.eventually(
            lambda: _waits.listening(address, _addresses.PLATFORM_PORT),
            "the platform",
        )
        self._builder.write_secrets(self._operator_key, self._pepper)
        for number in range(self.composition.entries):
            self.entries.append(await self._builder.entry(number))
        for number in range(self.composition.engines):
            self.engines.append(
                await self._builder.agent(number, _composition.MODEL)
            )
        for number in range(self.composition.plain_services):
            self.plain_services.append(
                await self._builder.agent(
                    self.composition.engines + number, _composition.SHOP
                )
            )
        await self.publish_hosts()
        await self._publish_endpoints()
        for host in self.hosts:
            for process in host.processes:
                process.start()
        await _configure.configure(self.operator(0), self.hosts)
        for name in _composition.ORGANISATIONS:
            await self.issue_key(name)
        for number in range(self.composition.entries):
            await self.wait_until_served(number)

    async def wait_until_served(self, entry: int) -> None:
        """Wait until an entry serves models and plain services.

        An entry that exited by itself is restarted, as the platform would.
        """
        host = self.entries[entry]

        async def serves(organisation: str) -> bool:
            self._restart_if_ended(host)
            return await self.serves(entry, organisation)

        async def serves_plain() -> bool:
            self._restart_if_ended(host)
            return await self.serves_plain(entry)

        for organisation in (
            _composition.ORGANISATIONS if self.composition.engines else ()
        ):
            answers = functools.partial(serves, organisation)
            await _waits.eventually(
                answers, f"an answer to {organisation} from {host.name}"
            )
        if self.composition.plain_services:
            await _waits.eventually(
                serves_plain, f"a plain service's answer from {host.name}"
            )

    def _restart_if_ended(self, host: _composition.Host) -> None:
        if not host.process.alive:
            host.process.start()

    def _table(self) -> ports.TableService:
        address = self.addresses.address(_build.PLATFORM_HOST)
        url = f"http://{address}:{_addresses.PLATFORM_PORT}"
        return adapters.TABLES.get("http_json")(self.session, url)

    async def _post_control(self, path: str, body: object) -> None:
        address = self.addresses.address(_build.PLATFORM_HOST)
        url = f"http://{address}:{_addresses.PLATFORM_PORT}/control{path}"
        async with self.session.post(url, json=body) as answer:
            answer.raise_for_status()

    async def _publish_endpoints(self) -> None:
        records = [
            attrs.asdict(
                ports.EndpointRecord(
                    endpoint_id=host.name,
                    host_id=host.name,
                    failure_domain=host.failure_domain,
                    service=_composition.MODEL
                    if host in self.engines
                    else _composition.SHOP,
                    state="live",
                )
            )
            for host in (*self.engines, *self.plain_services)
        ]
        await self._post_control("/endpoints", {"endpoints": records})
