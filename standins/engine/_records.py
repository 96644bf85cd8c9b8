"""Events of an engine's journal."""

import attrs


@attrs.frozen
class Executed:
    """A generation was admitted."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    executed_s: float


@attrs.frozen
class Applied:
    """An order arrived and was done with."""

    order_version: int
    fence: int
    role: str
    model: str
    started_s: float
    ended_s: float
    #: ``done``, ``fenced`` or ``overlap``.
    outcome: str
    #: Generations that the order cut off.
    cut: int


@attrs.frozen
class Headers:
    """A set of headers that was not seen before."""

    headers: dict[str, str]
