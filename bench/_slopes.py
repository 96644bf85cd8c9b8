"""Measures how state, messages and processor time grow with the fleet."""

import collections.abc
import gc
import statistics
import time
import tracemalloc

import attrs

from bilberrydeal import registry

#: Runs of which the fastest counts.
RUNS = 5
ORGANISATIONS = (8, 80, 800, 5400)


@attrs.frozen
class Point:
    """One measured size."""

    size: float
    value: float


@attrs.frozen
class Slope:
    """One measured slope."""

    #: What was measured, with its unit.
    name: str
    #: What the size counts.
    per: str
    points: tuple[Point, ...]
    #: The design size.
    design: float

    def fitted(self) -> tuple[float, float]:
        """Return the slope and the value at no size, by least squares."""
        sizes = [point.size for point in self.points]
        values = [point.value for point in self.points]
        fit = statistics.linear_regression(sizes, values)
        return fit.slope, fit.intercept

    def projected(self) -> float:
        """Return the value at the design size."""
        slope, intercept = self.fitted()
        return intercept + slope * self.design


Measure = collections.abc.Callable[[], Slope]
#: Slopes by name.
SLOPES: registry.Registry[Measure] = registry.Registry("slope")


def cpu_s(work: collections.abc.Callable[[], object]) -> float:
    """Return the processor time of the fastest of some runs."""
    times = []
    for _ in range(RUNS):
        gc.collect()
        begin_s = time.process_time()
        work()
        times.append(time.process_time() - begin_s)
    return min(times)


def memory_bytes(build: collections.abc.Callable[[], object]) -> float:
    """Return the bytes that a built object keeps."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def over(
    name: str,
    per: str,
    sizes: collections.abc.Sequence[int],
    measure: collections.abc.Callable[[int], float],
    design: float | None = None,
) -> Slope:
    return Slope(
        name=name,
        per=per,
        points=tuple(Point(size, measure(size)) for size in sizes),
        design=sizes[-1] if design is None else design,
    )
