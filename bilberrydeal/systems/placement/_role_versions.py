"""Counts the engines of each software version that decode."""

import collections
import collections.abc

import attrs

from . import _entities

#: Decode engines that a software version should have, so that its streams go
#: on if one is lost.
DECODE_PAIR = 2


@attrs.frozen
class RoleVersions:
    """Engines of a service by software version.

    A stream goes on at its own version alone. A version is *kept* if streams
    may go on there and several of its engines serve.
    """

    #: Number of all engines by software version.
    engines: collections.Counter[str]
    #: Number of decode engines by software version.
    decode: collections.Counter[str]
    #: Versions at which streams may go on.
    with_streams: frozenset[str]

    @property
    def bare(self) -> frozenset[str]:
        """Return the kept versions without a decode engine."""
        return frozenset(
            version for version in self._kept if not self.decode[version]
        )

    @property
    def completable(self) -> frozenset[str]:
        """Return the versions to one of which a decode engine must be added.

        It is so while kept versions decode with one engine each.
        """
        decoding = [version for version in self._kept if self.decode[version]]
        if len(decoding) < 2 or self._pairs:
            return frozenset()
        return frozenset(decoding)

    def required(self, engine: _entities.EngineLoad) -> bool:
        """Return whether a decode engine must go on decoding.

        It is the last one of a kept version, or one of the only pair.
        """
        version = engine.software_version
        if version not in self._kept:
            return False
        if self.decode[version] <= 1:
            return True
        return self._pairs == [version] and self.paired(engine)

    def alone(self, engine: _entities.EngineLoad) -> bool:
        """Return whether a decode engine is the only one of its version."""
        return self.decode[engine.software_version] == 1

    def paired(self, engine: _entities.EngineLoad) -> bool:
        """Return whether a decode engine is one of two of a kept version.

        This is so only beside engines of another version.
        """
        if len(self.engines) < 2:
            return False
        version = engine.software_version
        return version in self._kept and self.decode[version] == DECODE_PAIR

    @property
    def _kept(self) -> frozenset[str]:
        return frozenset(
            version
            for version in self.with_streams
            if self.engines[version] >= DECODE_PAIR
        )

    @property
    def _pairs(self) -> list[str]:
        """Return the kept versions with two decode engines or more."""
        return [
            version
            for version in self._kept
            if self.decode[version] >= DECODE_PAIR
        ]


def role_versions(
    engines: collections.abc.Sequence[_entities.EngineLoad],
    with_streams: frozenset[str],
) -> RoleVersions:
    """Return the engines of a service by software version."""
    return RoleVersions(
        engines=by_version(engines),
        decode=by_version(
            [engine for engine in engines if not engine.prefill_only]
        ),
        with_streams=with_streams,
    )


def by_version(
    engines: collections.abc.Iterable[_entities.EngineLoad],
) -> collections.Counter[str]:
    """Return the number of engines of each software version."""
    return collections.Counter(each.software_version for each in engines)
