"""The interface of queues, and the requests in them."""

import collections.abc
import typing

import attrs

from ... import registry

#: Cost of computing one prompt token; the unit of all costs.
PREFILL_TOKEN_COST = 1.0
#: Cost of generating one token, in prompt tokens.
DECODE_TOKEN_COST = 8.0
#: Ratio of run time to expected run time that is allowed for while an
#: organisation has many requests waiting; response lengths vary widely.
SAFE_RUN_FACTOR = 1.3


def cost(prompt_tokens: float, output_tokens: float) -> float:
    """Return the cost of a request, in computed prompt tokens."""
    return (
        PREFILL_TOKEN_COST * prompt_tokens + DECODE_TOKEN_COST * output_tokens
    )


@attrs.frozen
class QueuedRequest:
    """A request waiting at an agent."""

    #: Number of the request, as text.
    key: str
    #: Organisation that the request belongs to; empty on an open route.
    organisation: str
    #: Weight of the organisation.
    weight: float
    #: Lower classes are served first within the organisation.
    request_class: int
    #: Deadline of the caller, monotonic.
    deadline_s: float
    #: Estimated number of prompt tokens to compute.
    prompt_tokens: float
    #: Expected number of tokens to generate.
    output_tokens: float
    #: Expected run time once started.
    run_time_s: float = 0.0

    @property
    def cost(self) -> float:
        """Return the expected cost, in computed prompt tokens."""
        return cost(self.prompt_tokens, self.output_tokens)

    @property
    def latest_start_s(self) -> float:
        """Return the latest start that meets the deadline, monotonic."""
        return self.deadline_s - self.run_time_s

    @property
    def safe_start_s(self) -> float:
        """Return the latest start with a margin for longer runs, monotonic."""
        return self.deadline_s - SAFE_RUN_FACTOR * self.run_time_s


class Queue(typing.Protocol):
    """A queue of waiting requests; all calls take O(log n).

    Example::

        queue = QUEUES.get("weighted_fair")()
        excess_s = expected_lateness_s(queue, item, now_s)
        if excess_s > 0.0:
            ...  # refuse as not run, with excess_s as retry delay
        queue.push(item, now_s)
        for shed in queue.pop_overflow(waiting_limit, now_s):
            ...  # refuse as not run
        for late in queue.pop_expired(now_s):
            ...  # refuse as not run
        item = queue.pop(now_s, running_limit)
        ...
        queue.record_end(item, cost(prompt_tokens, output_tokens))
    """

    def push(self, item: QueuedRequest, now_s: float) -> None:
        """Add a request, whose key must be unique."""

    def pop(
        self, now_s: float, slots: int | None = None
    ) -> QueuedRequest | None:
        """Remove and return the request to run next, if any.

        ``slots`` is the maximum number of concurrent requests. If given, some
        slots are reserved for the classes that are served first.
        """

    def remove(self, key: str) -> QueuedRequest | None:
        """Remove and return a cancelled request if it is still waiting."""

    def pop_expired(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return requests that can no longer meet their deadline.

        Requests of an organisation with a large backlog may be removed
        earlier, while they could still just meet it.
        """

    def pop_overflow(self, limit: int, now_s: float) -> list[QueuedRequest]:
        """Remove and return requests until at most ``limit`` are waiting."""

    def wait_s(self, item: QueuedRequest, now_s: float) -> float:
        """Return the expected wait of a request that is pushed now."""

    def record_end(self, item: QueuedRequest, actual_cost: float) -> None:
        """Record the end and the actual cost of a popped request."""

    def __len__(self) -> int:
        """Return the number of waiting requests."""


def expected_lateness_s(
    queue: Queue, item: QueuedRequest, now_s: float
) -> float:
    """Return by how much a request would miss its deadline, in seconds.

    Zero means that the request can be pushed. Otherwise the caller may retry
    after the returned time.
    """
    wait_s = queue.wait_s(item, now_s)
    return max(0.0, now_s + wait_s - item.latest_start_s)


#: Queues by their names in settings.
QUEUES: registry.Registry[collections.abc.Callable[[], Queue]] = (
    registry.Registry("queue")
)
