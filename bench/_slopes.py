"""Measures and fits how costs grow with the size of the fleet."""

import collections.abc
import gc
import statistics
import time
import tracemalloc

import attrs

from bilberrydeal import registry

#: Number of timed runs; the fastest is used.
TIMED_RUNS = 5
ORGANISATIONS = (8, 80, 800, 5400)


@attrs.frozen
class Point:
    """The value measured at one size."""

    size: float
    value: float


@attrs.frozen
class Slope:
    """Values measured at several sizes."""

    #: Name of the measured quantity, with its unit.
    name: str
    #: Name of the quantity that the size counts.
    per: str
    points: tuple[Point, ...]
    #: Size that the system is designed for.
    design: float

    def fitted(self) -> tuple[float, float]:
        """Return the slope and intercept of a least-squares fit."""
        sizes = [point.size for point in self.points]
        values = [point.value for point in self.points]
        fit = statistics.linear_regression(sizes, values)
        return fit.slope, fit.intercept

    def projected(self) -> float:
        """Return the fitted value at the design size."""
        slope, intercept = self.fitted()
        return intercept + slope * self.design


Measure = collections.abc.Callable[[], Slope]
#: Measurement functions by name.
SLOPES: registry.Registry[Measure] = registry.Registry("slope")


def cpu_s(work: collections.abc.Callable[[], object]) -> float:
    """Return the processor time of the fastest of several runs."""
    times = []
    for _ in range(TIMED_RUNS):
        gc.collect()
        start_s = time.process_time()
        work()
        times.append(time.process_time() - start_s)
    return min(times)


def memory_bytes(build: collections.abc.Callable[[], object]) -> float:
    """Return the memory that a built object occupies, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(size)


def measure_sizes(
    name: str,
    per: str,
    sizes: collections.abc.Sequence[int],
    measure: collections.abc.Callable[[int], float],
    design: float | None = None,
) -> Slope:
    """Measure several sizes; the default design size is the last one."""
    return Slope(
        name=name,
        per=per,
        points=tuple(Point(size, measure(size)) for size in sizes),
        design=sizes[-1] if design is None else design,
    )
