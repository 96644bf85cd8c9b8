"""Names in settings that must be registered."""

import collections.abc
import typing

import attrs

from . import registry
from . import settings


@attrs.frozen
class Choice:
    """A name in the settings and the registry that must hold it."""

    #: Where the settings name it.
    path: str
    name: str
    registry: registry.Registry[typing.Any]


def unregistered(
    choices: collections.abc.Iterable[Choice],
) -> tuple[settings.Problem, ...]:
    """Return a problem for each name that nobody registered."""
    return tuple(
        settings.Problem(
            path=choice.path,
            given=choice.name,
            allowed=" or ".join(choice.registry.names()),
        )
        for choice in choices
        if choice.name not in choice.registry.names()
    )
