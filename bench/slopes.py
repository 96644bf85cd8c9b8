"""Prints how costs grow with the fleet: ``python -m bench.slopes``.

Each slope covers the size of state or messages, or processor time. It is
measured at four sizes or more and extrapolated linearly to the design size.
The module of each subject registers its slopes in
:data:`bench._slopes.SLOPES`. Processor time is the minimum of several runs.
"""

import argparse
import pathlib

import msgspec

from . import _slopes
from . import _slopes_billing
from . import _slopes_configuration
from . import _slopes_link
from . import _slopes_members
from . import _slopes_planners
from . import _slopes_request
from . import _slopes_subsets

#: Modules whose slopes are measured.
SUBJECTS = (
    _slopes_billing,
    _slopes_configuration,
    _slopes_link,
    _slopes_members,
    _slopes_planners,
    _slopes_request,
    _slopes_subsets,
)
#: Directory that the results are written to.
OUTPUT_DIR = pathlib.Path("out")


def main() -> None:
    """Print a table of all slopes and write them as JSON."""
    parser = argparse.ArgumentParser(prog="python -m bench.slopes")
    parser.add_argument(
        "names", nargs="*", help="slopes to measure (default: all)"
    )
    options = parser.parse_args()
    print("| slope | per | measured | slope | at design size | value |")
    print("| --- | --- | --- | --- | --- | --- |")
    slopes = []
    for name in options.names or _slopes.SLOPES.names():
        slope = _slopes.SLOPES.get(name)()
        slopes.append(slope)
        print(_row(slope), flush=True)
    OUTPUT_DIR.mkdir(exist_ok=True)
    (OUTPUT_DIR / "slopes.json").write_bytes(msgspec.json.encode(slopes))


def _row(slope: _slopes.Slope) -> str:
    points = ", ".join(f"{p.size:g}: {p.value:.3g}" for p in slope.points)
    gradient, _ = slope.fitted()
    return (
        f"| {slope.name} | {slope.per} | {points} | {gradient:.3g}"
        f" | {slope.design:g} | {slope.projected():.3g} |"
    )


if __name__ == "__main__":
    main()
