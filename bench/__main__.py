"""Runs the experiments: ``python -m bench [name ...]``.

Prints a table and the verdicts on targets for each experiment, and writes
``out/bench.json`` and a plot for each.
"""

import argparse
import pathlib
import sys
import time

import msgspec

from . import _experiments
from . import _plots
from . import _runner
from . import _summary

#: Where results go.
OUT = pathlib.Path("out")


def main() -> int:
    """Run what the command line names."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("names", nargs="*", help="experiments, all if none")
    parser.add_argument("--load", default="", help="only this load")
    parser.add_argument("--size", default="", help="only this size")
    parser.add_argument(
        "--processes",
        type=int,
        default=_runner.PROCESSES,
        help="runs at once; daemons need the processors for themselves",
    )
    options = parser.parse_args()
    names = options.names or list(_experiments.EXPERIMENTS.names())
    began_s = time.monotonic()
    results = _runner.run_all(
        names,
        lambda case: (
            options.load in ("", case.load) and options.size in ("", case.size)
        ),
        options.processes,
    )
    OUT.mkdir(exist_ok=True)
    for name, measured in results.items():
        experiment = _experiments.EXPERIMENTS.get(name)()
        rows = _summary.rows(measured, experiment.columns)
        print(_summary.table(experiment.title, experiment.columns, rows))
        print()
        for line in _summary.verdicts(measured, experiment.targets):
            print(line)
        print()
        _plots.draw(experiment.title, experiment.columns, rows, OUT / name)
    everything = [one for group in results.values() for one in group]
    (OUT / "bench.json").write_bytes(msgspec.json.encode(everything))
    print(f"{len(everything)} runs in {time.monotonic() - began_s:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
