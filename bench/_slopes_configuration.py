"""How the configuration grows with organisations and changes."""

from bilberrydeal import configuration
from bilberrydeal import store

from . import _slopes


def _configuration(organisations: int) -> configuration.Configuration:
    """Return a configuration with two keys for each organisation."""
    named = [f"organisation-{i:05d}" for i in range(organisations)]
    records = [
        configuration.KeyRecord(f"key{i}-{name}", name, f"{i:032x}{name}")
        for name in named
        for i in range(2)
    ]
    return configuration.Configuration(
        revision=organisations * 3,
        organisations={
            name: configuration.Organisation(
                name, 1.0 + i, 10.0, 2000.0, 20, revision=i
            )
            for i, name in enumerate(named)
        },
        keys={record.key_hash: record for record in records},
    )


@_slopes.SLOPES.register("configuration memory")
def configuration_memory() -> _slopes.Slope:
    """Measure what an entry keeps of organisations and keys."""
    return _slopes.over(
        "configuration in memory, bytes",
        "organisations",
        _slopes.ORGANISATIONS,
        lambda size: _slopes.memory_bytes(lambda: _configuration(size)),
    )


@_slopes.SLOPES.register("configuration snapshot")
def configuration_snapshot() -> _slopes.Slope:
    """Measure the object that a starting entry reads."""
    return _slopes.over(
        "configuration snapshot, bytes",
        "organisations",
        _slopes.ORGANISATIONS,
        lambda size: len(store.encode(_configuration(size))),
    )


@_slopes.SLOPES.register("configuration load")
def configuration_load() -> _slopes.Slope:
    """Measure the processor time of reading a snapshot."""

    def measure(size: int) -> float:
        data = store.encode(_configuration(size))
        kind = configuration.Configuration
        return _slopes.cpu_s(lambda: store.decode(data, kind))

    return _slopes.over(
        "snapshot decoded, s", "organisations", _slopes.ORGANISATIONS, measure
    )


@_slopes.SLOPES.register("revision applied")
def revision_applied() -> _slopes.Slope:
    """Measure the processor time of one change."""

    def measure(size: int) -> float:
        current = _configuration(size)
        organisation = configuration.Organisation("new")
        change = configuration.SetOrganisation(organisation, 0)
        return _slopes.cpu_s(lambda: current.apply(change))

    return _slopes.over(
        "one change applied, s",
        "organisations",
        _slopes.ORGANISATIONS,
        measure,
    )


@_slopes.SLOPES.register("revision rows")
def revision_rows() -> _slopes.Slope:
    """Measure the rows that a follower reads for some changes."""

    def measure(size: int) -> float:
        change = configuration.SetOrganisation(
            configuration.Organisation("organisation-00001", 2.0, 10.0), 17
        )
        return float(size * len(configuration.encode_change(change)))

    return _slopes.over(
        "changes as rows, bytes", "changes", (1, 10, 100, 1000), measure, 2700
    )
