"""What every placer does."""

import collections.abc
import math
import typing

import attrs

from ... import registry
from . import _entities
from . import _parts


@attrs.frozen
class Request:
    """What a placer knows of a request."""

    #: Its prompt.
    prompt: _parts.Prompt
    #: Time within which the first token is due, in seconds.
    target_s: float
    #: Time until the caller stops waiting, in seconds.
    left_s: float
    #: Failure domain of the process that places it.
    failure_domain: str
    #: Engines that were tried already.
    tried: frozenset[str] = frozenset()
    #: Time that one send of it takes on this host's link, its wait there
    #: included, in seconds.
    uplink_s: float = 0.0
    #: How urgent it is, 0 is the most urgent.
    rank: int = 0
    #: Whether an engine may have begun it: refused, it would be lost.
    begun: bool = False


@attrs.frozen
class Placement:
    """Where a prompt is read."""

    #: Engine that gets the request next.
    engine_id: str
    #: Whether another engine makes the tokens afterwards.
    split: bool
    #: Prompt tokens that the engine has to read, as expected.
    missing_tokens: float
    #: Time to the first token, as expected, in seconds.
    expected_s: float
    #: Time until the prompt is read, as expected, in seconds.
    read_s: float = 0.0
    #: Whether it is too late for its target, and waits for others.
    deferred: bool = False


@attrs.frozen
class Hopeless:
    """The request cannot be served in time."""

    #: When it could be, in seconds.
    retry_after_s: float
    #: Time to its first token, as expected; infinite without an engine.
    expected_s: float = math.inf


#: Engines that take work.
Engines = collections.abc.Sequence[_entities.EngineLoad]


def untried_makers(
    request: Request, engines: Engines
) -> list[_entities.EngineLoad]:
    """Return the engines that make tokens and were not tried yet."""
    return [
        engine
        for engine in engines
        if not engine.reads_only and engine.engine_id not in request.tried
    ]


class Placer(typing.Protocol):
    """Chooses engines.

    Example::

        chosen = placer.place(request, engines, now_s)
    """

    def place(
        self, request: Request, engines: Engines, now_s: float
    ) -> Placement | Hopeless:
        """Return where a request goes next."""

    def decode_engine(
        self, request: Request, prefilled_at: str, engines: Engines
    ) -> str | None:
        """Return where tokens are made once the prompt was read."""


#: Placers by the names that settings use.
PLACERS: registry.Registry[collections.abc.Callable[[], Placer]] = (
    registry.Registry("placer")
)
