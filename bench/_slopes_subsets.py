"""Measures how the cost of choosing a subset grows."""

from bilberrydeal.systems import subsets

from . import _slopes
from . import fleet_subsets


@_slopes.SLOPES.register("subset, whole fleet")
def subset_whole() -> _slopes.Slope:
    """Measure a choice after a change, over all entries and endpoints."""

    def measure(size: int) -> float:
        entries, endpoints = fleet_subsets.members(
            size, max(3, size * 410 // 4000), 23, 1
        )

        def choose() -> None:
            chooser = subsets.CoveredRendezvous()
            chooser.choose(entries[0], entries, endpoints, 40, 0.0)

        return _slopes.cpu_s(choose)

    return _slopes.measure_sizes(
        "one choice of a subset after a change, s",
        "endpoints, a tenth as many entries",
        (250, 500, 1333, 2666, 4000),
        measure,
    )


@_slopes.SLOPES.register("subset memory")
def subset_memory() -> _slopes.Slope:
    """Measure the memory of the chooser after a choice."""

    def measure(size: int) -> float:
        entries, endpoints = fleet_subsets.members(
            size, max(3, size * 410 // 4000), 23, 1
        )

        def build() -> subsets.CoveredRendezvous:
            chooser = subsets.CoveredRendezvous()
            chooser.choose(entries[0], entries, endpoints, 40, 0.0)
            return chooser

        return _slopes.memory_bytes(build)

    return _slopes.measure_sizes(
        "kept after a choice, bytes",
        "endpoints, a tenth as many entries",
        (250, 500, 1333, 4000),
        measure,
    )


@_slopes.SLOPES.register("subset, unchanged")
def subset_unchanged() -> _slopes.Slope:
    """Measure a repeated choice with unchanged members."""

    def measure(size: int) -> float:
        entries, endpoints = fleet_subsets.members(
            size, max(3, size * 410 // 4000), 23, 1
        )
        chooser = subsets.CoveredRendezvous()
        chooser.choose(entries[0], entries, endpoints, 40, 0.0)
        return _slopes.cpu_s(
            lambda: chooser.choose(entries[0], entries, endpoints, 40, 0.0)
        )

    return _slopes.measure_sizes(
        "one choice of a subset without a change, s",
        "endpoints, a tenth as many entries",
        (250, 500, 1333, 4000),
        measure,
    )
