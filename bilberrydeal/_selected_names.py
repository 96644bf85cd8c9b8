"""Checks that names in settings are registered implementations."""

import collections.abc
import typing

import attrs

from . import registry
from . import settings


@attrs.frozen
class SelectedName:
    """A name in the settings and the registry that must contain it."""

    #: Path of the field in the settings.
    path: str
    name: str
    registry: registry.Registry[typing.Any]


def unregistered(
    names: collections.abc.Iterable[SelectedName],
) -> tuple[settings.Problem, ...]:
    """Return a problem for each name that is not registered."""
    return tuple(
        settings.Problem(
            path=selected.path,
            given=selected.name,
            allowed=" or ".join(selected.registry.names()),
        )
        for selected in names
        if selected.name not in selected.registry.names()
    )
