"""Measures the memory, threads and idle processor share of the agent.

Run as ``python -m bench.agent_cost``. The real daemon runs with stand-ins of
the engine and the platform, and with an increasing number of links to this
process.
"""

import asyncio
import contextlib
import pathlib
import signal
import sys
import tempfile
import time
import typing

import attrs
import cyclopts
import psutil
import uvloop
import yaml

from bilberrydeal import link
from bilberrydeal import settings
from bilberrydeal.link.tests import freeports
from bilberrydeal.link.tests import harness

#: Numbers of concurrent links, one per row of the table.
LINKS = (1, 8, 32)
#: Time over which the processor share is measured, in seconds.
IDLE_S = 5.0
BYTES_PER_MB = 1_000_000
PLATFORM_SERVICES = (
    "table",
    "objects",
    "endpoints",
    "usage",
    "hosts",
    "weights",
)

app = cyclopts.App()


def write_agent_settings(
    folder: pathlib.Path, engine: int, platform: int
) -> int:
    """Write the settings of the agent; return its control port."""
    base = harness.agent_settings()
    fields: dict[str, typing.Any] = {
        name: value
        for name, value in attrs.asdict(base, recurse=False).items()
        if isinstance(value, str | int)
    }
    fields["endpoint"] = {
        "adapter": "openai_http",
        "url": f"http://{harness.ADDRESS}:{engine}",
    }
    fields["link_ports_from"] = freeports.allocate_ports(2 * max(LINKS))
    fields["link_ports"] = 2 * max(LINKS)
    url = f"http://{harness.ADDRESS}:{platform}"
    fields["platform"] = {
        name: {"adapter": "http_json", "url": url}
        for name in PLATFORM_SERVICES
    }
    (folder / "agent.yaml").write_text(yaml.safe_dump(fields))
    return base.control_port


async def start_module(*arguments: str) -> asyncio.subprocess.Process:
    """Start a Python module."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", *arguments, stderr=asyncio.subprocess.DEVNULL
    )


async def measure(agent: psutil.Process, control_port: int) -> None:
    """Print one row for each number of links."""
    print("   links  resident_mb  threads  idle_processor_share")
    async with contextlib.AsyncExitStack() as links:
        for link_count in LINKS:
            for index in range(link_count):
                await links.enter_async_context(
                    harness.entry(
                        control_port,
                        f"{link_count}-{index}",
                        settings.LinkSettings(),
                    )
                )
            before, start_s = agent.cpu_times(), time.monotonic()
            await asyncio.sleep(IDLE_S)
            after, end_s = agent.cpu_times(), time.monotonic()
            cpu_s = sum(after[:2]) - sum(before[:2])
            resident_mb = agent.memory_info().rss / BYTES_PER_MB
            print(
                f"{link_count:8} {resident_mb:12.1f} {agent.num_threads():8} "
                f"{cpu_s / (end_s - start_s):21.4f}"
            )
            await links.pop_all().aclose()


async def run() -> None:
    """Start the processes and run the measurement."""
    engine, platform = freeports.allocate_ports(), freeports.allocate_ports()
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        control_port = write_agent_settings(folder, engine, platform)
        processes = [
            await start_module("standins.platform", "--port", str(platform)),
            await start_module(
                "standins.engine", "--port", str(engine), "--model", "m"
            ),
            await start_module(
                "bilberrydeal.daemon", str(folder / "agent.yaml")
            ),
        ]
        try:
            await measure(psutil.Process(processes[-1].pid), control_port)
        finally:
            for process in processes:
                process.send_signal(signal.SIGTERM)
                await process.wait()
    beat = link.encode_frame([link.Heartbeat(beat=100, next_ms=5000)])
    echo = link.encode_frame([link.Echo(beat=100)])
    status = link.encode_frame([harness.STATUS])
    print(
        f"bytes of a heartbeat: {len(beat)}, of its echo: {len(echo)}, "
        f"of a status: {len(status)}"
    )


@app.default
def main() -> None:
    """Print the table."""
    uvloop.run(run())


if __name__ == "__main__":
    app()
