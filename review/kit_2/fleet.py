"""Starts a store, workers and gateways on loopback, and ends them."""

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
import sys
import tempfile
import time

import http_wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
KIT = pathlib.Path(__file__).resolve().parent
DEPENDENCIES = ROOT / "target" / "deps"
TEMPLATE = ROOT / "bilberrydeal" / "platform" / "settings.yaml.template"
#: As in the deploy file.
GATEWAY = ["-m", "bilberrydeal.daemon"]
HOST = "desk.example"
START_S = 30.0
ANSWER_S = 100.0
#: The bounds of the sheet of the first deployments.
BOUNDS = {
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_slack": 58,
    "budget_window_s": 10,
    "lease_ms": 3000,
    "usage_window_s": 5,
    "usage_late_s": 10,
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "contact_ms": 3000,
}


class CannotRun(Exception):
    """The case can't be run here."""


def route(
    name: str, kind: str, service: str, **more: object
) -> dict[str, object]:
    """Return a route of the config."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 10_000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": True,
        **more,
    }


def config(routes: list[dict], services: list[dict]) -> dict[str, object]:
    """Return a config as the operator writes it."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "russo", "api_keys": ["key-russo"]}],
    }


class Cut:
    """A path to an address that can be cut: nothing passes, silently."""

    def __init__(self, address: str, port: int, target: str) -> None:
        self.address = address
        self.port = port
        self.target = target
        self.cut = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._run, self.address, self.port
        )

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            other, to_other = await asyncio.open_connection(
                self.target, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, to_other), self._pump(other, writer)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if not self.cut:
                    writer.write(data)
                    await writer.drain()
        writer.transport.abort()


class Fleet:
    """The processes of one case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = (folder / "record.txt").open("w", encoding="utf-8")
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.ports: dict[str, int] = {}
        self.processes: list[subprocess.Popen] = []
        self.started = time.monotonic()
        self.store = f"{self.net}.1"
        #: Bounds of the site.
        self.bounds = dict(BOUNDS)
        self.gateways: list[str] = []
        self.workers: dict[str, str] = {}

    def note(self, **fields: object) -> None:
        """Write a line to the record."""
        line = {"at": round(time.monotonic() - self.started, 4), **fields}
        self.record.write(json.dumps(line) + "\n")

    def since_start(self, at: float) -> float:
        """Return a steady time as seconds since the start of the case."""
        return round(at - self.started, 4)

    def port(self, name: str) -> int:
        """Return a free port for a purpose, the same on all addresses."""
        while name not in self.ports:
            with socket.socket() as probe:
                probe.bind((self.store, 0))
                port = probe.getsockname()[1]
            if port not in self.ports.values():
                self.ports[name] = port
        return self.ports[name]

    def start(self, name: str, arguments: list[str]) -> subprocess.Popen:
        """Start a program; its output goes to the temporary folder."""
        allowed = ("PATH", "HOME", "LANG")
        environment = {
            key: os.environ[key] for key in allowed if key in os.environ
        }
        environment["PYTHONPATH"] = str(DEPENDENCIES)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.work / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                ["python3", *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.processes.append(process)
        return process

    async def start_store(self, config: dict[str, object]) -> None:
        """Start the store and write the first config."""
        self.start(
            "store",
            [
                str(KIT / "store.py"),
                self.store,
                str(self.port("store")),
                str(self.work / "store.jsonl"),
            ],
        )
        call = {"table": "op", "key": "config", "value": config}
        await self.until(
            lambda: http_wire.call(
                self.store, self.port("store"), "POST", "/stand-in/put", call
            ),
            "the store answers",
        )

    async def write_config(self, config: dict[str, object]) -> None:
        """Write a config as the operator does."""
        call = {"table": "op", "key": "config", "value": config}
        await http_wire.call(
            self.store, self.port("store"), "POST", "/stand-in/put", call
        )
        self.note(config=config["version"])

    def start_worker(
        self,
        name: str,
        number: int,
        store: str | None = None,
        program: str = "worker.py",
        **options: object,
    ) -> subprocess.Popen:
        """Start a worker."""
        self.workers[name] = f"{self.net}.{100 + number}"
        fields = {
            "name": name,
            "service": "desk",
            "zone": f"z{number % 2}",
            "address": self.workers[name],
            "port": self.port("worker"),
            "store": store or self.store,
            "store_port": self.port("store"),
            "record": str(self.work / "workers.jsonl"),
            **options,
        }
        return self.start(name, [str(KIT / program), json.dumps(fields)])

    async def tell_worker(self, name: str, **what: object) -> None:
        """Set how a worker behaves."""
        await http_wire.call(
            self.workers[name],
            self.port("worker"),
            "POST",
            "/stand-in/set",
            what,
        )
        self.note(worker=name, told=what)

    def start_gateway(self, number: int) -> subprocess.Popen:
        """Start a gateway with settings rendered from its template."""
        address = f"{self.net}.{10 + number}"
        if address not in self.gateways:
            self.gateways.append(address)
        fields = {
            "node_name": f"frontend-z{number % 2}-{number}",
            "zone": f"z{number % 2}",
            "ip": address,
            "internal_ports": [self.port("peers")],
            "listen": {
                "frontend": f"{address}:{self.port('frontend')}",
                "ready": f"{address}:{self.port('ready')}",
            },
            "platform": {"address": f"{self.store}:{self.port('store')}"},
            "cloud": {"address": f"{self.store}:{self.port('store')}"},
            "bounds": self.bounds,
            "limits": {
                "max_fds": 4100,
                "memory_mb": 300,
                "link_mbps": 1000.0,
            },
        }
        path = self.work / f"gateway-{number}.yaml"
        # The metrics' port is fixed in the template; each gateway has an
        # address of its own.
        path.write_text(render(TEMPLATE.read_text(), fields))
        return self.start(f"gateway-{number}", [*GATEWAY, str(path)])

    async def wait_ready(self, address: str) -> None:
        """Wait until a gateway says that it is ready."""

        async def ready() -> None:
            status, _body = await http_wire.call(
                address,
                self.port("ready"),
                "GET",
                "/bilberrydeal/ready",
            )
            if status != 200:
                raise OSError("not ready")

        await self.until(ready, f"gateway {address} is ready")

    async def until(
        self,
        attempt: collections.abc.Callable[[], collections.abc.Awaitable],
        what: str,
    ) -> None:
        """Try until it succeeds."""
        ends = time.monotonic() + START_S
        while True:
            try:
                await attempt()
                return
            except OSError as error:
                if time.monotonic() > ends:
                    raise CannotRun(f"not in time: {what}") from error
                await asyncio.sleep(0.05)

    def worker_lines(self) -> list[dict]:
        """Return what all workers have written."""
        return read_lines(self.work / "workers.jsonl")

    def store_lines(self) -> list[dict]:
        """Return what the store has written."""
        return read_lines(self.work / "store.jsonl")

    def end(self) -> None:
        """End all processes and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.work, ignore_errors=True)
        else:
            print(self.work)


def read_lines(path: pathlib.Path) -> list[dict]:
    """Return the lines of a JSON record."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


def render(template: str, fields: dict) -> str:
    """Fill in a template of the deploy file's kind."""

    def find(name: str) -> object:
        found: object = fields
        for word in name.split("."):
            if isinstance(found, list):
                found = found[int(word)] if int(word) < len(found) else None
            elif isinstance(found, dict):
                found = found.get(word)
        return found

    def section(match: re.Match) -> str:
        return match[2] if find(match[1]) is not None else ""

    section_pattern = re.compile(
        r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL
    )
    filled = section_pattern.sub(section, template)
    return re.sub(
        r"\{\{([a-z_.0-9]+)\}\}", lambda match: str(find(match[1])), filled
    )


def run(
    case: collections.abc.Callable[[Fleet], collections.abc.Awaitable[bool]],
    folder: pathlib.Path,
) -> None:
    """Run a case; exit with 1 if it broke the rule, with 2 if it can't run."""
    try:
        fleet = Fleet(folder)
    except OSError as error:
        print(f"could not run: {error!r}")
        sys.exit(2)

    async def main() -> bool:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(ANSWER_S):
            return await case(fleet)

    code = 2
    try:
        broken = asyncio.run(main())
        code = 1 if broken else 0
        fleet.note(result="broken" if broken else "held")
        print("rule broken" if broken else "rule held")
    except (Exception, asyncio.CancelledError) as error:
        fleet.note(result=f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        fleet.end()
    sys.exit(code)
