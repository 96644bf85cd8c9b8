"""Measures how usage rows and seals grow."""

from bilberrydeal import billing
from bilberrydeal import ports

from . import _slopes


def _figures(organisations: int) -> dict[str, ports.OrganisationFigures]:
    return {
        f"organisation-{index:05d}": ports.OrganisationFigures(
            123_456, 45_678, 98_765, 432
        )
        for index in range(organisations)
    }


@_slopes.SLOPES.register("seal row")
def seal_row() -> _slopes.Slope:
    """Measure the size of the row that seals one window."""

    def measure(size: int) -> float:
        row = billing.SealRow(29_000_000, _figures(size), (), 1e9, 7, "n" * 32)
        return len(billing.encode(row))

    return _slopes.measure_sizes(
        "seal row, bytes", "organisations", _slopes.ORGANISATIONS, measure
    )


@_slopes.SLOPES.register("usage row")
def usage_row() -> _slopes.Slope:
    """Measure the size of the row that an entry writes at a settlement."""

    def measure(size: int) -> float:
        row = billing.UsageRow(_figures(size), (), "n" * 32)
        return len(billing.encode(row))

    return _slopes.measure_sizes(
        "usage row of one entry, bytes",
        "busy organisations",
        (8, 40, 200, 1000),
        measure,
        1000,
    )


@_slopes.SLOPES.register("window sum")
def window_sum() -> _slopes.Slope:
    """Measure the sealer's time to sum the rows of all entries."""
    row = billing.encode(billing.UsageRow(_figures(200), (), "n" * 32))

    def measure(size: int) -> float:
        def sum_rows() -> None:
            total: dict[str, int] = {}
            for _ in range(size):
                figures = billing.decode_usage(row).figures
                for name, organisation_figures in figures.items():
                    total[name] = (
                        total.get(name, 0) + organisation_figures.output_tokens
                    )

        return _slopes.cpu_s(sum_rows)

    return _slopes.measure_sizes(
        "rows of 200 organisations decoded and summed, s",
        "entries",
        (3, 30, 137, 410),
        measure,
    )
