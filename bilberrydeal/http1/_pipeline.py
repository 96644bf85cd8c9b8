"""Requests of one connection that wait for earlier ones."""

import collections

import attrs

from . import _request

#: Pipelined requests on one connection at which reading pauses.
PAUSE_REQUESTS = 8
#: Pipelined requests at which reading resumes.
RESUME_REQUESTS = 2


@attrs.frozen
class PendingRequest:
    """A pipelined request that waits for earlier ones."""

    request: _request.Request
    #: Whether the connection stays open afterwards.
    keep_alive: bool
    #: Memory that it occupies, in bytes.
    held_bytes: int


class Pipeline:
    """Queue of the requests of one connection, in the order of arrival.

    Example::

        pipeline.append(PendingRequest(request, True, 4_096))
        pending = pipeline.popleft()
    """

    def __init__(self) -> None:
        #: Memory that the requests occupy, in bytes.
        self.held_bytes = 0
        self._requests: collections.deque[PendingRequest] = collections.deque()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._requests)

    @property
    def full(self) -> bool:
        """Return whether no further request may be read."""
        return len(self._requests) >= PAUSE_REQUESTS

    @property
    def short(self) -> bool:
        """Return whether reading that was paused may resume."""
        return len(self._requests) <= RESUME_REQUESTS

    def append(self, pending: PendingRequest) -> None:
        """Add a complete request."""
        self._requests.append(pending)
        self.held_bytes += pending.held_bytes

    def popleft(self) -> PendingRequest:
        """Remove the first request and return it."""
        pending = self._requests.popleft()
        self.held_bytes -= pending.held_bytes
        return pending

    def clear(self) -> None:
        """Drop all requests."""
        self._requests.clear()
        self.held_bytes = 0
