"""The interface and the registry of subset choosers."""

import collections.abc
import typing

import attrs

from ... import registry


@attrs.frozen
class EntryMember:
    """An entry that chooses a subset."""

    #: Name of the entry's host, which is stable across process restarts.
    key: str
    #: Failure domain of the member.
    failure_domain: str


@attrs.frozen
class EndpointMember:
    """An endpoint that may be chosen."""

    #: Name of the endpoint.
    key: str
    #: Failure domain of the member.
    failure_domain: str
    #: The model or plain service that it serves.
    service: str
    #: Capacity relative to other endpoints of its service.
    weight: float = 1.0


class SubsetChooser(typing.Protocol):
    """Chooses endpoints for one entry.

    Entries with the same view of the members compute consistent subsets. A
    view that differs slightly changes only a few endpoints.
    """

    def choose(
        self,
        entry: EntryMember,
        entries: collections.abc.Sequence[EntryMember],
        endpoints: collections.abc.Sequence[EndpointMember],
        size: int,
        now_s: float,
    ) -> tuple[EndpointMember, ...]:
        """Return the endpoints of an entry's subset, sorted by key.

        ``entries`` includes ``entry``. All endpoints are returned if there
        are at most ``size``.
        """


SUBSETS: registry.Registry[type[SubsetChooser]] = registry.Registry("subset")
