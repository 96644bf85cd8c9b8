"""A registry of interchangeable implementations by name."""

import collections.abc
import typing

import attrs

from .. import errors

Item = typing.TypeVar("Item")


@attrs.define(slots=False, eq=False)
class UnknownName(errors.BilberrydealError):
    """Raised if settings name an implementation that is not registered."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.SETTINGS_INVALID

    #: Kind of the registered implementations.
    kind: str
    #: The requested name.
    name: str
    #: The registered names.
    known: tuple[str, ...]


class Registry(typing.Generic[Item]):
    """Maps names to implementations of one kind.

    Example::

        ROUTERS: Registry[type[Router]] = Registry("router")

        @ROUTERS.register("round_robin")
        class RoundRobin: ...

        router = ROUTERS.get("round_robin")()
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> collections.abc.Callable[[Item], Item]:
        """Return a decorator that registers its argument under ``name``."""

        def store(item: Item) -> Item:
            if name in self._items:
                raise ValueError(f"{self.kind} {name} is registered twice")
            self._items[name] = item
            return item

        return store

    def get(self, name: str) -> Item:
        """Return an implementation or raise :class:`UnknownName`."""
        try:
            return self._items[name]
        except KeyError:
            raise UnknownName(
                kind=self.kind, name=name, known=self.names()
            ) from None

    def names(self) -> tuple[str, ...]:
        """Return all registered names, sorted."""
        return tuple(sorted(self._items))
