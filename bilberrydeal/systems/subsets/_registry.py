"""Ways to choose the endpoints that an entry keeps links to, by name."""

import collections.abc
import typing

import attrs

from ... import registry


@attrs.frozen
class EntryMember:
    """An entry that chooses a subset."""

    #: Name of the entry's host; survives a restart of its process.
    key: str
    #: Failure domain that it is in.
    failure_domain: str


@attrs.frozen
class EndpointMember:
    """An endpoint that may be chosen."""

    #: Name of the endpoint.
    key: str
    #: Failure domain that it is in.
    failure_domain: str
    #: What it serves: a model or a plain service.
    service: str
    #: Capacity beside the others of its service.
    weight: float = 1.0


class SubsetChooser(typing.Protocol):
    """Chooses endpoints for one entry.

    All entries that know the same members come to subsets that fit each
    other; an entry that knows others differs in a few endpoints only.
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

        ``entries`` holds ``entry`` too. All endpoints are returned where
        there are no more than ``size``.
        """


SUBSETS: registry.Registry[type[SubsetChooser]] = registry.Registry("subset")
