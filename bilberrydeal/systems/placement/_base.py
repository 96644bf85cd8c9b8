"""Interface of the placers, with their inputs and results."""

import collections.abc
import math
import typing

import attrs

from ... import registry
from . import _entities
from . import _parts


@attrs.frozen
class Request:
    """A request to be placed."""

    #: Prompt of the request.
    prompt: _parts.Prompt
    #: Target for the time to the first token, in seconds.
    target_s: float
    #: Time left until the deadline of the caller, in seconds.
    time_left_s: float
    #: Failure domain of the process that places the request.
    failure_domain: str
    #: Engines that were already tried.
    tried: frozenset[str] = frozenset()
    #: Time to send the request once over the link of this host, including
    #: the wait for the link, in seconds.
    uplink_s: float = 0.0
    #: Priority; 0 is the most urgent.
    rank: int = 0
    #: Whether an engine may have started the request: a refusal would lose
    #: that work.
    may_have_run: bool = False
    #: Whether one engine may prefill and another decode.
    may_separate: bool = True
    #: Whether it is the rest of a stream whose first events its caller has.
    resumed: bool = False


@attrs.frozen
class Placement:
    """Engine that prefills a prompt, with the expected times."""

    #: Engine that receives the request next.
    engine_id: str
    #: Whether another engine decodes afterwards.
    separate_decode: bool
    #: Expected number of prompt tokens that the engine has to prefill.
    uncached_tokens: float
    #: Expected time to the first token, in seconds.
    expected_s: float
    #: Expected time until prefill is finished, in seconds.
    prefill_s: float = 0.0
    #: Prompt tokens that the engine prefills until then, with those queued
    #: before.
    work_tokens: float = 0.0
    #: Expected wait for a slot, in seconds.
    slot_wait_s: float = 0.0
    #: Engine from whose cache it fetches parts of the prompt first.
    fetch_from: str | None = None
    #: Whether the request would miss its target and therefore waits for
    #: those that can meet theirs.
    deferred: bool = False


@attrs.frozen
class DeadlineUnreachable:
    """The request cannot be served before its deadline."""

    #: Time after which the caller may retry, in seconds.
    retry_after_s: float
    #: Expected time to the first token, in seconds; infinite if there is
    #: no engine.
    expected_s: float = math.inf


#: What a placer decides about a request.
Outcome = Placement | DeadlineUnreachable

#: Engines that accept requests.
Engines = collections.abc.Sequence[_entities.EngineLoad]


def untried_decode_engines(
    request: Request, engines: Engines
) -> list[_entities.EngineLoad]:
    """Return the engines that decode and were not tried yet."""
    return [
        engine
        for engine in engines
        if not engine.prefill_only and engine.engine_id not in request.tried
    ]


class Placer(typing.Protocol):
    """Chooses the engines for a request.

    Example::

        chosen = placer.place(request, engines, now_s)
    """

    def place(
        self, request: Request, engines: Engines, now_s: float
    ) -> Outcome:
        """Choose the next engine for a request."""

    def decode_engine(
        self, request: Request, prefilled_at: str, engines: Engines
    ) -> str | None:
        """Choose the engine that decodes once the prompt is prefilled."""


#: Placers by the names used in the settings.
PLACERS: registry.Registry[collections.abc.Callable[[], Placer]] = (
    registry.Registry("placer")
)
