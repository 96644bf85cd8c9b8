"""Runs a fake plain service: ``python -m standins.plain --port 9200``."""

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
    delay_s: float = 0.0,
) -> None:
    """Serve until SIGTERM."""
    control = _app.Control(delay_s=delay_s)
    journal = _journal.Journal(record)
    _serve.run(_app.build(journal, control), address, port)


if __name__ == "__main__":
    app()
