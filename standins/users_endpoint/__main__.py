"""Runs a worker: ``python -m standins.users_endpoint --port 9300 ...``."""

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
    address: str,
    announced: str,
    endpoint_id: str,
    service: str,
    failure_domain: str,
    store_url: str,
    record: pathlib.Path,
    stage: str = "",
    version: str = "",
) -> None:
    """Serve until SIGTERM."""
    worker = _app.WorkerApp(
        endpoint_id, stage, _journal.Journal(record), version
    )
    registration = _app.Registration(
        service, announced, port, failure_domain, store_url
    )
    _serve.run(_app.build(worker, registration), address, port)


if __name__ == "__main__":
    app()
