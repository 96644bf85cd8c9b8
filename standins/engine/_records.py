"""Journal events of the fake engine."""

import attrs


@attrs.frozen
class Executed:
    """A generation was accepted."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    executed_s: float


@attrs.frozen
class Applied:
    """An order was processed or rejected."""

    order_version: int
    fence: int
    role: str
    model: str
    started_s: float
    ended_s: float
    #: ``done``, ``fenced`` or ``overlap``.
    outcome: str
    #: Number of generations that the order cancelled.
    cut: int


@attrs.frozen
class Headers:
    """A set of request headers that was not recorded before."""

    headers: dict[str, str]
