"""Measures how the configuration grows with organisations and changes."""

from bilberrydeal import configuration
from bilberrydeal import store

from . import _slopes


def _configuration(organisations: int) -> configuration.Configuration:
    """Return a configuration with two keys for each organisation."""
    names = [f"organisation-{index:05d}" for index in range(organisations)]
    records = [
        configuration.KeyRecord(
            f"key{index}-{name}", name, f"{index:032x}{name}"
        )
        for name in names
        for index in range(2)
    ]
    return configuration.Configuration(
        revision=organisations * 3,
        organisations={
            name: configuration.Organisation(
                name, 1.0 + index, 10.0, 2000.0, 20, revision=index
            )
            for index, name in enumerate(names)
        },
        keys={record.key_hash: record for record in records},
    )


@_slopes.SLOPES.register("configuration memory")
def configuration_memory() -> _slopes.Slope:
    """Measure the memory of an entry for organisations and keys."""
    return _slopes.measure_sizes(
        "configuration in memory, bytes",
        "organisations",
        _slopes.ORGANISATIONS,
        lambda size: _slopes.memory_bytes(lambda: _configuration(size)),
    )


@_slopes.SLOPES.register("configuration snapshot")
def configuration_snapshot() -> _slopes.Slope:
    """Measure the size of the snapshot that a starting entry reads."""
    return _slopes.measure_sizes(
        "configuration snapshot, bytes",
        "organisations",
        _slopes.ORGANISATIONS,
        lambda size: len(store.encode(_configuration(size))),
    )


@_slopes.SLOPES.register("configuration load")
def configuration_load() -> _slopes.Slope:
    """Measure the processor time to decode a snapshot."""

    def measure(size: int) -> float:
        data = store.encode(_configuration(size))
        record_type = configuration.Configuration
        return _slopes.cpu_s(lambda: store.decode(data, record_type))

    return _slopes.measure_sizes(
        "snapshot decoded, s", "organisations", _slopes.ORGANISATIONS, measure
    )


@_slopes.SLOPES.register("revision applied")
def revision_applied() -> _slopes.Slope:
    """Measure the processor time to apply one change."""

    def measure(size: int) -> float:
        current = _configuration(size)
        organisation = configuration.Organisation("new")
        change = configuration.SetOrganisation(organisation, 0)
        return _slopes.cpu_s(lambda: current.apply(change))

    return _slopes.measure_sizes(
        "one change applied, s",
        "organisations",
        _slopes.ORGANISATIONS,
        measure,
    )


@_slopes.SLOPES.register("revision rows")
def revision_rows() -> _slopes.Slope:
    """Measure the size of the rows that a follower reads for changes."""

    def measure(size: int) -> float:
        change = configuration.SetOrganisation(
            configuration.Organisation("organisation-00001", 2.0, 10.0), 17
        )
        return float(size * len(configuration.encode_change(change)))

    return _slopes.measure_sizes(
        "changes as rows, bytes", "changes", (1, 10, 100, 1000), measure, 2700
    )
