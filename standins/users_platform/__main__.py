"""Runs the store: ``python -m standins.users_platform --port 9400 ...``."""

import pathlib

import cyclopts

from .. import _journal
from .. import _serve
from . import _app

app = cyclopts.App()


@app.default
def main(*, port: int, address: str, record: pathlib.Path) -> None:
    """Serve until SIGTERM."""
    _serve.run(_app.build(_journal.Journal(record)), address, port)


if __name__ == "__main__":
    app()
