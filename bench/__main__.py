"""Runs the experiments: ``python -m bench [name ...]``.

Prints a table and the result of each target for each experiment. Writes all
results to ``out/bench.json`` and one plot for each experiment.
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

#: Directory that the results are written to.
OUTPUT_DIR = pathlib.Path("out")


def main() -> int:
    """Run the experiments named on the command line."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument(
        "names", nargs="*", help="experiments to run (default: all)"
    )
    parser.add_argument("--load", default="", help="run only this load")
    parser.add_argument("--size", default="", help="run only this size")
    parser.add_argument(
        "--processes",
        type=int,
        default=_runner.DEFAULT_PROCESSES,
        help="parallel runs; use 1 for daemons, which need all processors",
    )
    options = parser.parse_args()
    names = options.names or list(_experiments.EXPERIMENTS.names())
    start_s = time.monotonic()
    results = _runner.run_all(
        names,
        lambda case: (
            options.load in ("", case.load) and options.size in ("", case.size)
        ),
        options.processes,
    )
    OUTPUT_DIR.mkdir(exist_ok=True)
    for name, measurements in results.items():
        experiment = _experiments.EXPERIMENTS.get(name)()
        rows = _summary.rows(measurements, experiment.columns)
        print(_summary.table(experiment.title, experiment.columns, rows))
        print()
        for line in _summary.target_results(measurements, experiment.targets):
            print(line)
        print()
        _plots.write_plot(
            experiment.title, experiment.columns, rows, OUTPUT_DIR / name
        )
    all_measurements = [
        measurement for group in results.values() for measurement in group
    ]
    (OUTPUT_DIR / "bench.json").write_bytes(
        msgspec.json.encode(all_measurements)
    )
    print(
        f"{len(all_measurements)} runs in {time.monotonic() - start_s:.0f} s"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
