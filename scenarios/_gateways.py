"""Runs a store, gateways and workers, each behind a proxy."""

import base64
import collections.abc
import contextlib
import pathlib
import time

import aiohttp
import attrs
import msgspec
import yaml

from . import _addresses
from . import _gateway_configuration
from . import _gateway_records
from . import _gateway_settings
from . import _network_link
from . import _process
from . import _proxy
from . import _waits

STORE_PORT = 20_000
WORKER_PORT = 20_050
STORE_HOST = 1
FIRST_GATEWAY_HOST = 10
FIRST_WORKER_HOST = 40


@attrs.frozen
class FleetSize:
    """Number of processes of each kind."""

    gateways: int = 2
    plain_workers: int = 2
    #: Workers of a second plain service.
    other_plain_workers: int = 0
    prefill_workers: int = 2
    decode_workers: int = 2
    #: Software versions that the decode workers have in turn; with several,
    #: callers resume streams that were broken off.
    versions: int = 1
    #: Software version of each prefill worker; none of them has one if empty.
    prefill_versions: tuple[str, ...] = ()
    #: Software version of each decode worker, in place of those in turn.
    decode_versions: tuple[str, ...] = ()
    #: Target latency of all routes, in milliseconds.
    target_latency_ms: float = 400.0
    #: Bandwidth of what a gateway receives, in Mbit/s; 0 for no limit.
    link_mbps: float = 0.0
    #: Routes beside the usual ones.
    routes: int = 0


@attrs.define(eq=False)
class Member:
    """A process and the proxy in front of it."""

    name: str
    address: str
    process: _process.Process
    proxy: _proxy.Proxy
    #: Proxy between a gateway and the store, ``None`` for others.
    store_proxy: _proxy.Proxy | None = None
    #: Service and role of a worker, empty for others.
    kind: str = ""
    #: Software version of a worker, empty if it tells none.
    version: str = ""


class Fleet:
    """A store, gateways and workers on loopback.

    Example::

        async with Fleet(FleetSize(), folder) as fleet:
            fleet.gateways[0].process.kill()
    """

    def __init__(
        self,
        size: FleetSize,
        folder: pathlib.Path,
        gateway_settings: collections.abc.Mapping[str, object] | None = None,
    ) -> None:
        self.size = size
        self.folder = folder
        #: Settings of the gateways that differ from the usual ones.
        self.gateway_settings = dict(gateway_settings or {})
        self.addresses = _addresses.reserve()
        self.version = 0
        #: Names of the routes beside the usual ones.
        self.added_routes = [f"more-{n}" for n in range(size.routes)]
        #: Those of them that go to the second plain service.
        self.moved_routes: set[str] = set()
        #: Configurations that were written.
        self.key_changes: list[_gateway_records.KeyChange] = []
        #: Requests that crash workers and are being sent again and again.
        self.crashing: list[_gateway_records.CrashingRequest] = []
        #: Processes that were killed, stopped or paused.
        self.disturbances: list[_gateway_records.Disturbance] = []
        self.store = self._store()
        self.gateways = [self._gateway(n) for n in range(size.gateways)]
        prefill = size.prefill_versions
        self.workers = [
            *(
                self._worker(n, _gateway_configuration.PLAIN_SERVICE, "")
                for n in range(size.plain_workers)
            ),
            *(
                self._worker(
                    5 + n, _gateway_configuration.OTHER_PLAIN_SERVICE, ""
                )
                for n in range(size.other_plain_workers)
            ),
            *(
                self._worker(10 + n, "llm", "prefill", _nth(prefill, n))
                for n in range(size.prefill_workers)
            ),
            *(
                self._worker(20 + n, "llm", "decode", self._version(n))
                for n in range(size.decode_workers)
            ),
        ]
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> "Fleet":
        """Start all processes and wait until the gateways are ready."""
        self.session = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            # Nothing else ends what has been started.
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stop all processes and proxies."""
        for member in self.members:
            member.process.kill()
            await member.proxy.stop()
            if member.store_proxy is not None:
                await member.store_proxy.stop()
        await self.session.close()

    async def _start(self) -> None:
        for member in self.members:
            await member.proxy.start()
            if member.store_proxy is not None:
                await member.store_proxy.start()
            member.process.start()
        await _waits.eventually(self._store_answers, "the store answers")
        await self.configure()
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    @property
    def members(self) -> list[Member]:
        """Return all processes."""
        return [self.store, *self.gateways, *self.workers]

    async def wait_ready(
        self, gateway: Member, restart_ended: bool = False
    ) -> None:
        """Wait until a gateway reports that it is ready."""
        host = f"{gateway.address}:{_gateway_settings.READY_PORT}"

        async def ready() -> bool:
            if restart_ended and not gateway.process.alive:
                gateway.process.start()
            url = f"http://{host}/bilberrydeal/ready"
            try:
                async with self.session.get(url) as answer:
                    return answer.status == 200
            except aiohttp.ClientError:
                return False

        await _waits.eventually(ready, f"{gateway.name} is ready")

    async def wait_serving(self, worker: Member) -> None:
        """Wait until a worker accepts connections."""

        async def serving() -> bool:
            return await _waits.listening(worker.address, WORKER_PORT)

        await _waits.eventually(serving, f"{worker.name} serves")

    async def configure(self, keys: dict[str, str] | None = None) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        chosen = keys or _gateway_configuration.KEYS
        self.key_changes.append(
            _gateway_records.KeyChange(
                self.version, frozenset(chosen), time.monotonic()
            )
        )
        found = _gateway_configuration.configuration(
            self.version,
            chosen,
            self.added_routes,
            self.size.target_latency_ms,
            self.moved_routes,
        )
        await self.write_row("op", "config", found)

    async def set_store_faults(self, **faults: object) -> None:
        """Replace the faults injected into the store."""
        await self._post(self.store, STORE_PORT, "/standin/fault", faults)

    async def restore_store(self, age_s: float, away_s: float) -> None:
        """Make the store go away and come back from an older copy."""
        call = {"age_s": age_s, "away_s": away_s}
        await self._post(self.store, STORE_PORT, "/standin/restore", call)

    @contextlib.contextmanager
    def disturbed(self, member: Member) -> collections.abc.Iterator[None]:
        """Record that a process is disturbed."""
        process, began_s = member.process.pid, time.time()
        try:
            yield
        finally:
            processes = frozenset([process, member.process.pid])
            self.disturbances.append(
                _gateway_records.Disturbance(
                    member.name, processes, began_s, time.time()
                )
            )

    async def set_worker_limit(
        self, worker: Member, limit_per_s: float | None
    ) -> None:
        """Let a worker name a limit of requests a second, or none."""
        call = {"limit_per_s": limit_per_s}
        await self._post(worker, WORKER_PORT, "/standin/limit", call)

    async def role(self, worker: Member) -> str:
        """Return the role that a worker reports, empty without a report."""
        url = f"http://{worker.address}:{WORKER_PORT}/bilberrydeal/report"
        try:
            async with self.session.get(url) as answer:
                report = msgspec.json.decode(await answer.read())
        except aiohttp.ClientError:
            return ""
        return str(report["stage"])

    async def let_worker_leave(self, worker: Member) -> None:
        """Let a worker say in its responses that it leaves."""
        await self._post(worker, WORKER_PORT, "/standin/leave", {})

    async def pause_requests(self, worker: Member, pause_s: float) -> None:
        """Let a worker ask for some time without requests."""
        call = {"pause_s": pause_s}
        await self._post(worker, WORKER_PORT, "/standin/pause", call)

    async def set_worker_faults(
        self, worker: Member, **faults: object
    ) -> None:
        """Replace the faults injected into a worker."""
        await self._post(worker, WORKER_PORT, "/standin/behave", faults)

    async def _store_answers(self) -> bool:
        try:
            await self.set_store_faults()
        except aiohttp.ClientError:
            return False
        return True

    async def write_row(self, table: str, key: str, value: object) -> None:
        """Write a row of a table to the store."""
        encoded = base64.b64encode(msgspec.json.encode(value)).decode()
        call = {"table": table, "key": key, "value": encoded}
        path = "/standin/put"

        async def accepted() -> bool:
            status = await self._post(self.store, STORE_PORT, path, call)
            return status == 200

        await _waits.eventually(accepted, f"{table}/{key} is written")

    async def _post(
        self, member: Member, port: int, path: str, call: object
    ) -> int:
        url = f"http://{member.address}:{port}{path}"
        async with self.session.post(url, json=call) as answer:
            await answer.read()
            return answer.status

    def _store(self) -> Member:
        address = self.addresses.address(STORE_HOST)
        arguments = (
            "--port",
            str(STORE_PORT),
            "--address",
            address,
            "--record",
            str(self.folder / "store.jsonl"),
        )
        return self._member(
            "store",
            address,
            self.addresses.front(STORE_HOST),
            ("standins.users_platform", arguments),
            (STORE_PORT,),
        )

    def _gateway(self, number: int) -> Member:
        host = FIRST_GATEWAY_HOST + number
        address = self.addresses.address(host)
        store = self.addresses.store(host)
        path = self.folder / f"gateway-{number}.yaml"
        usual = _gateway_settings.settings(
            number, address, f"{store}:{STORE_PORT}"
        )
        content = usual | self.gateway_settings
        path.write_text(yaml.safe_dump(content))
        member = self._member(
            f"gateway-{number}",
            address,
            self.addresses.front(host),
            ("bilberrydeal.daemon", (str(path),)),
            (_gateway_settings.CALLERS_PORT,),
        )
        links = None
        if self.size.link_mbps:
            links = {
                _proxy.Direction.BACKWARD: _network_link.NetworkLink(
                    self.size.link_mbps
                )
            }
        member.store_proxy = _proxy.Proxy(
            store, self.addresses.address(STORE_HOST), (STORE_PORT,), links
        )
        return member

    def _version(self, number: int) -> str:
        """Return the version of a decode worker; empty if all are alike."""
        if self.size.decode_versions:
            return _nth(self.size.decode_versions, number)
        versions = self.size.versions
        return f"v{number % versions}" if versions > 1 else ""

    def _worker(
        self, number: int, service: str, stage: str, version: str = ""
    ) -> Member:
        host = FIRST_WORKER_HOST + number
        address = self.addresses.address(host)
        store = self.addresses.address(STORE_HOST)
        name = f"worker-{number}"
        arguments = [
            "--port",
            str(WORKER_PORT),
            "--address",
            address,
            "--announced",
            self.addresses.front(host),
            "--endpoint-id",
            name,
            "--service",
            service,
            "--failure-domain",
            f"d{number % 2}",
            "--store-url",
            f"http://{store}:{STORE_PORT}",
            "--record",
            str(self.folder / f"{name}.jsonl"),
        ]
        if stage:
            arguments += ["--stage", stage]
        if version:
            arguments += ["--version", version]
        member = self._member(
            name,
            address,
            self.addresses.front(host),
            ("standins.users_endpoint", tuple(arguments)),
            (WORKER_PORT,),
        )
        member.kind = f"{service} {stage}"
        member.version = version
        return member

    def _member(
        self,
        name: str,
        address: str,
        front: str,
        program: tuple[str, collections.abc.Sequence[str]],
        ports: tuple[int, ...],
    ) -> Member:
        module, arguments = program
        log = self.folder / f"{name}.log"
        return Member(
            name=name,
            address=address,
            process=_process.Process(name, module, tuple(arguments), log),
            proxy=_proxy.Proxy(front, address, ports),
        )


def _nth(versions: tuple[str, ...], number: int) -> str:
    """Return the version of a worker, empty if none are named."""
    return versions[number] if versions else ""
