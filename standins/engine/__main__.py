"""Runs a fake engine: ``python -m standins.engine --port 9100 --model m``."""

import pathlib

import cyclopts

from .. import _journal
from .. import _serve
from . import _app
from . import _batch

app = cyclopts.App()


@app.default
def main(
    *,
    port: int,
    model: str,
    address: str = "127.0.0.1",
    record: pathlib.Path | None = None,
    step_s: float = 0.004,
    running_limit: int = 32,
    cache_blocks: int = 4096,
    change_s: float = 1.0,
    checks_fencing: bool = True,
) -> None:
    """Serve until SIGTERM."""
    engine = _app.EngineApp(
        journal=_journal.Journal(record),
        model=model,
        rates=_batch.Rates(
            step_s=step_s,
            running_limit=running_limit,
            cache_blocks=cache_blocks,
        ),
        change_s=change_s,
        checks_fencing=checks_fencing,
    )
    _serve.run(_app.build(engine), address, port)


if __name__ == "__main__":
    app()
