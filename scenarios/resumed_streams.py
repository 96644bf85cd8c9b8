"""Kills gateways and counts the streams that go on after it.

Run as ``python -m scenarios.resumed_streams --earlier 12000 --link-mbps 5``;
exits 1 when streams were lost.
"""

import pathlib
import random
import sys
import tempfile

import cyclopts
import uvloop

from . import _gateways
from . import _lost_gateways


async def run(
    loss: _lost_gateways.Loss, seed: int, folder: pathlib.Path
) -> _lost_gateways.Counts:
    """Start a fleet, kill its gateways and return the counts."""
    async with _gateways.Fleet(loss.size, folder) as fleet:
        counts = await _lost_gateways.lose_gateways(
            fleet, loss, random.Random(seed)
        )
    print(counts)
    return counts


def fleet_size(
    gateways: int, link_mbps: float = 0.0, target_latency_ms: float = 150.0
) -> _gateways.FleetSize:
    """Return a fleet with six engines of two versions."""
    return _gateways.FleetSize(
        gateways=gateways,
        plain_workers=0,
        prefill_workers=2,
        decode_workers=4,
        versions=2,
        prefill_versions=("v0", "v1"),
        link_mbps=link_mbps,
        target_latency_ms=target_latency_ms,
    )


app = cyclopts.App()


@app.default
def main(
    *,
    gateways: int = 3,
    link_mbps: float = 0.0,
    target_latency_ms: float = 150.0,
    earlier: int = 0,
    streams: int = 24,
    age_s: float = 1.5,
    killed_share: float = 1.0,
    tries: int = 2,
    seed: int = 1,
    folder: pathlib.Path | None = None,
) -> None:
    """Run one case; logs and journals are written to the folder."""
    chosen = folder or pathlib.Path(tempfile.mkdtemp(prefix="resumed-"))
    chosen.mkdir(parents=True, exist_ok=True)
    loss = _lost_gateways.Loss(
        fleet_size(gateways, link_mbps, target_latency_ms),
        earlier=earlier,
        streams=streams,
        age_s=age_s,
        killed_share=killed_share,
        tries=tries,
    )
    counts = uvloop.run(run(loss, seed, chosen))
    print(f"logs in {chosen}")
    sys.exit(1 if counts.is_lost or counts.joined else 0)


if __name__ == "__main__":
    app()
