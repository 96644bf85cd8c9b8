import typing

import attrs

from bilberrydeal import systems


@attrs.define
class Reading:
    key: str
    value: int = 0


@attrs.define
class Total:
    key: str
    value: int = 0


class SumSystem:
    reads: typing.ClassVar[tuple[type, ...]] = (Reading,)
    writes: typing.ClassVar[tuple[type, ...]] = (Total,)

    def run(self, tables: systems.Tables, now_s: float) -> None:
        value = sum(reading.value for reading in tables.of(Reading))
        tables.of(Total).put(Total("all", value))


class ReadingSystem:
    reads: typing.ClassVar[tuple[type, ...]] = ()
    writes: typing.ClassVar[tuple[type, ...]] = (Reading,)

    def run(self, tables: systems.Tables, now_s: float) -> None:
        tables.of(Reading).put(Reading("one", int(now_s)))


def test_writers_run_before_readers() -> None:
    """Guards against systems that read tables of the previous tick."""
    tables = systems.Tables()
    systems.Schedule([SumSystem(), ReadingSystem()]).run(tables, 5.0)
    assert tables.of(Total).get("all") == Total("all", 5)
