"""Runs the fake platform: ``python -m standins.platform --port 9000``."""

import pathlib

import cyclopts

from .. import _journal
from .. import _serve
from . import _app

app = cyclopts.App()


@app.default
def main(
    *,
    port: int,
    address: str = "127.0.0.1",
    record: pathlib.Path | None = None,
    reads_per_s: float = 2000.0,
    writes_per_s: float = 400.0,
    delivery_s: float = 5.0,
    host_lag_s: float = 1.0,
    admits_per_s: float = 5.0,
    checks_fencing: bool = True,
) -> None:
    """Serve until SIGTERM."""
    limits = _app.PlatformLimits(
        reads_per_s=reads_per_s,
        writes_per_s=writes_per_s,
        delivery_s=delivery_s,
        host_lag_s=host_lag_s,
        admits_per_s=admits_per_s,
        checks_fencing=checks_fencing,
    )
    journal = _journal.Journal(record)
    _serve.run(_app.build(limits, journal), address, port)


if __name__ == "__main__":
    app()
