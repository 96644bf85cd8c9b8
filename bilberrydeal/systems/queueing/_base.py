"""What every queue does."""

import collections.abc
import typing

import attrs

from ... import registry

#: Cost of one prompt token that is computed; the unit of all costs.
PREFILL_TOKEN_COST = 1.0
#: Cost of one token generated, in prompt tokens.
DECODE_TOKEN_COST = 8.0
#: Run time over the expected one that is allowed for where requests are
#: plenty: answers differ much in length.
SAFE_RUN_FACTOR = 1.3


def cost(prompt_tokens: float, output_tokens: float) -> float:
    """Return the cost of work, in prompt tokens computed."""
    return (
        PREFILL_TOKEN_COST * prompt_tokens + DECODE_TOKEN_COST * output_tokens
    )


@attrs.frozen
class QueuedRequest:
    """A request that waits at an agent."""

    #: Number of the request as text.
    key: str
    #: Organisation for which it runs; empty on an open route.
    organisation: str
    #: Weight of the organisation.
    weight: float
    #: Lower is served first within the organisation.
    request_class: int
    #: When the caller stops waiting, monotonic.
    deadline_s: float
    #: Prompt tokens to compute, as estimated.
    prompt_tokens: float
    #: Tokens to generate, as expected.
    output_tokens: float
    #: Time that the request needs once it has begun, as expected.
    run_time_s: float = 0.0

    @property
    def cost(self) -> float:
        """Return the expected cost, in prompt tokens computed."""
        return cost(self.prompt_tokens, self.output_tokens)

    @property
    def latest_start_s(self) -> float:
        """Return when it must have begun to end in time, monotonic."""
        return self.deadline_s - self.run_time_s

    @property
    def safe_start_s(self) -> float:
        """Return when it should have begun to end in time, monotonic."""
        return self.deadline_s - SAFE_RUN_FACTOR * self.run_time_s


class Queue(typing.Protocol):
    """Requests that wait; all calls take O(log n).

    Example::

        queue = QUEUES.get("weighted_fair")()
        excess_s = hopeless_s(queue, item, now_s)
        if excess_s > 0.0:
            ...  # refuse as not run, to come back after that time
        queue.push(item, now_s)
        for shed in queue.overflow(waiting_limit, now_s):
            ...  # refuse as not run
        for late in queue.expired(now_s):
            ...  # refuse as not run
        item = queue.pop(now_s, running_limit)
        ...
        queue.ended(item, cost(prompt_tokens, output_tokens))
    """

    def push(self, item: QueuedRequest, now_s: float) -> None:
        """Add a request; its key must be new."""

    def pop(
        self, now_s: float, slots: int | None = None
    ) -> QueuedRequest | None:
        """Remove and return the request to run next, if any is to run.

        ``slots`` is how many requests may run at once; given that, some are
        kept free for classes that are served first.
        """

    def remove(self, key: str) -> QueuedRequest | None:
        """Remove a request that was cancelled, if it still waits."""

    def expired(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return requests that can no longer end in time.

        Those of an organisation that has more than enough waiting may be
        given up while they could still just end in time.
        """

    def overflow(self, limit: int, now_s: float) -> list[QueuedRequest]:
        """Remove and return requests until no more than a limit wait."""

    def wait_s(self, item: QueuedRequest, now_s: float) -> float:
        """Return the time a request would wait if it were pushed now."""

    def ended(self, item: QueuedRequest, actual_cost: float) -> None:
        """Note that a request that was popped has ended, and its cost."""

    def __len__(self) -> int:
        """Return how many requests wait."""


def hopeless_s(queue: Queue, item: QueuedRequest, now_s: float) -> float:
    """Return by how much a request would miss its deadline, in seconds.

    Zero says that it can be pushed; a refused caller may come back after the
    time returned.
    """
    wait_s = queue.wait_s(item, now_s)
    return max(0.0, now_s + wait_s - item.latest_start_s)


#: Queues by the names that settings use.
QUEUES: registry.Registry[collections.abc.Callable[[], Queue]] = (
    registry.Registry("queue")
)
