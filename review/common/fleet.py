"""Starts gateways with the command of the deploy file, on loopback."""

import asyncio
import collections.abc
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from . import record
from . import store
from . import wire
from . import worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEYS = {"russo": "key-russo-1", "derwent": "key-derwent-1"}
#: Time within which gateways have to become ready, in seconds.
READY_S = 20.0
METRICS_PORT = 9464
#: Figures of a small deployment, as the pages give them.
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 58,
    "lease_ms": 3000,
    "usage_window_s": 5,
    "usage_late_s": 10,
    "recovery_s": 12,
}
LIMITS = {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0}
_PLACEHOLDER = re.compile(r"\{\{([a-z_.0-9]+)\}\}")
_PORTS = range(20_000, 30_000)


def troubled() -> bool:
    """Return whether the script shall make its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run."""


class Places:
    """Free loopback addresses and ports."""

    def __init__(self) -> None:
        self._random = random.Random(os.getpid() ^ time.time_ns())
        self._net = self._random.randrange(1, 255)
        self._host = 0

    def address(self) -> str:
        """Return a loopback address on which the fixed port is free."""
        for _attempt in range(250):
            self._host += 1
            found = f"127.{64 + self._net % 64}.{self._net}.{self._host}"
            if _is_free(found, METRICS_PORT):
                return found
        raise CannotRun("no loopback address is free")

    def port(self, address: str) -> int:
        """Return a free port of an address."""
        for _attempt in range(1000):
            found = self._random.choice(_PORTS)
            if _is_free(address, found):
                return found
        raise CannotRun("no port is free")


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


class Gateway:
    """One process of the gateway."""

    def __init__(
        self,
        name: str,
        zone: str,
        places: Places,
        addresses: tuple[str, str],
        folder: pathlib.Path,
        log: record.Record,
    ) -> None:
        self.name = name
        self.ip = places.address()
        self.port = places.port(self.ip)
        self.ready_port = places.port(self.ip)
        self._settings = folder / f"{name}.toml"
        self._output = folder / f"{name}.log"
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None
        first = places.port(self.ip)
        self._settings.write_text(
            _render(
                {
                    "node_name": name,
                    "zone": zone,
                    "ip": self.ip,
                    "internal_ports": [first, first + 15],
                    "listen": {
                        "frontend": f"{self.ip}:{self.port}",
                        "ready": f"{self.ip}:{self.ready_port}",
                    },
                    "platform": {"address": addresses[0]},
                    "cloud": {"address": addresses[1]},
                    "bounds": BOUNDS,
                    "limits": LIMITS,
                }
            )
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split(" ")
        words[-1] = str(self._settings)
        kept = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BILBERRYDEAL_CONFIG"] = str(self._settings)
        with self._output.open("ab") as output:
            self._process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._log.add("gateway", f"{self.name} has been started")

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self.running:
            self._process.send_signal(number)
            self._log.add("gateway", f"{self.name} has got {number.name}")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and self.running:
            self.send(signal.SIGKILL)
            self._process.wait(10)

    async def ready(self) -> bool:
        """Ask whether it is ready, as the platform does."""
        got = await wire.ask(
            self.ip,
            self.ready_port,
            "GET",
            "/bilberrydeal/ready",
            {"Host": self.ip, "Connection": "close"},
            timeout_s=0.9,
        )
        return got.status == 200

    def output(self) -> str:
        """Return what it has logged."""
        return self._output.read_text(errors="replace")


def _render(fields: dict) -> str:
    template = ROOT / "bilberrydeal/platform/settings.yaml.template"

    def value(found: re.Match[str]) -> str:
        current: object = fields
        for name in found.group(1).split("."):
            if isinstance(current, list):
                current = current[int(name)]
            else:
                assert isinstance(current, dict)
                current = current[name]
        return str(current)

    return _PLACEHOLDER.sub(value, template.read_text())


class Fleet:
    """A platform, gateways and workers."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.log = record.Record(folder)
        self.places = Places()
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.platform = store.Store(self.log)
        self.gateways: list[Gateway] = []
        self.workers: list[worker.Worker] = []
        self._address = self.places.address()
        self._store_port = self.places.port(self._address)
        self._usage_port = self.places.port(self._address)
        self._servers = [
            wire.Server(self._address, self._store_port, self.platform.handle),
            wire.Server(
                self._address, self._usage_port, self.platform.handle_usage
            ),
        ]
        self._tasks: list[asyncio.Task] = []
        self._version = 0

    def add_gateway(self, zone: str) -> Gateway:
        """Add a gateway; it is started with the fleet."""
        addresses = (
            f"{self._address}:{self._store_port}",
            f"{self._address}:{self._usage_port}",
        )
        gateway = Gateway(
            f"frontend-{zone}-{len(self.gateways) + 1}",
            zone,
            self.places,
            addresses,
            self.temporary,
            self.log,
        )
        self.gateways.append(gateway)
        return gateway

    def start_task(self, work: collections.abc.Coroutine) -> asyncio.Task:
        """Start work that ends with the fleet."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    def worker_address(self) -> tuple[str, int]:
        """Return an address for a worker."""
        address = self.places.address()
        return address, self.places.port(address)

    async def configure(
        self, routes: list[dict], services: list[dict]
    ) -> None:
        """Write a new version of the configuration."""
        self._version += 3
        value = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [
                {"name": name, "api_keys": [key]} for name, key in KEYS.items()
            ],
        }
        await self.platform.put("op", "config", json.dumps(value).encode())

    async def start(self) -> None:
        """Start everything and wait until the gateways are ready."""
        for server in self._servers:
            await server.start()
        self._tasks.append(asyncio.create_task(self.platform.expire()))
        for each in self.workers:
            await each.start()
        for gateway in self.gateways:
            gateway.start()
        await self.wait_ready(self.gateways)

    async def wait_ready(
        self, gateways: list[Gateway], timeout_s: float = READY_S
    ) -> None:
        """Wait until gateways are ready."""
        deadline_s = time.monotonic() + timeout_s
        for gateway in gateways:
            while not await gateway.ready():
                if time.monotonic() > deadline_s:
                    raise CannotRun(f"{gateway.name} is not ready")
                await asyncio.sleep(0.2)

    async def stop(self) -> None:
        """End all processes that the fleet started."""
        for gateway in self.gateways:
            with contextlib.suppress(Exception):
                gateway.kill()
        with contextlib.suppress(Exception):
            for each in self.workers:
                await each.stop()
            for server in self._servers:
                await server.crash()
        for task in self._tasks:
            task.cancel()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.temporary, ignore_errors=True)


def route(name: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 5000,
        "target_latency_ms": 200,
        "priority": 1,
        "max_attempts": 2,
        **more,
    }


def engine_service(name: str) -> dict:
    """Return a service of engines of the configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 370,
        "engine": {
            "slots": 64,
            "kv_capacity_tokens": 1_380_935,
            "kv_token_bytes": 163_840,
            "link_mbps": 5_900_000.0,
            "kv_hold_s": 5.0,
            "role_switch_s": 3.0,
        },
    }


def plain_service(name: str) -> dict:
    """Return a plain service of the configuration."""
    return {"name": name, "health_path": "/healthz", "max_connections": 110}


def run(case, folder: pathlib.Path) -> int:
    """Run a case; return its exit code.

    ``case`` is a coroutine function that gets a fleet and returns what broke
    the rule, empty if it held.
    """

    async def guarded() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        fleet: Fleet | None = None
        try:
            fleet = Fleet(folder)
            async with asyncio.timeout(110):
                broken = await case(fleet)
        except (Exception, asyncio.CancelledError) as error:
            # An error of the script itself says nothing of the rule.
            print(f"could not run: {error!r}")
            if fleet is not None:
                fleet.log.add("result", f"could not run: {error!r}")
            return 2
        finally:
            if fleet is not None:
                await fleet.stop()
        for each in broken:
            fleet.log.add("broken", each)
            print(f"broken: {each}")
        fleet.log.add("result", "broken" if broken else "held")
        print("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    return asyncio.run(guarded())
