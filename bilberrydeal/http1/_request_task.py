"""Runs the handler of the request that a connection serves."""

import asyncio
import collections.abc
import functools
import http
import typing

from .. import telemetry
from . import _pipeline
from . import _request
from . import _responder

LOG = telemetry.logger("http")

Handler = collections.abc.Callable[
    [_request.Request, _responder.Responder],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]
OnDone = collections.abc.Callable[[_responder.Responder], None]


class RequestTask:
    """The request of one connection that is being served, if any.

    Example::

        served = RequestTask(on_done)
        served.start(handler, pending, responder)
    """

    def __init__(self, on_done: OnDone) -> None:
        #: Memory of the request, in bytes.
        self.held_bytes = 0
        self._on_done = on_done
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Return whether a request is being served."""
        return self._task is not None

    def start(
        self,
        handler: Handler,
        pending: _pipeline.PendingRequest,
        responder: _responder.Responder,
    ) -> None:
        """Serve a request."""
        self.held_bytes = pending.held_bytes
        self._task = asyncio.get_running_loop().create_task(
            handler(pending.request, responder)
        )
        # A task that is cancelled before its first step runs none of its
        # code, so the cleanup is done in a callback.
        self._task.add_done_callback(
            functools.partial(self._on_handler_done, responder)
        )

    def cancel(self) -> None:
        """Cancel the request, if any."""
        if self._task is not None:
            self._task.cancel()

    def _on_handler_done(
        self, responder: _responder.Responder, task: asyncio.Task[None]
    ) -> None:
        self._task = None
        self.held_bytes = 0
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, _responder.CallerGone):
            LOG.error("Request handler failed unexpectedly.", exc_info=error)
            _answer_failure(responder)
        self._on_done(responder)


def _answer_failure(responder: _responder.Responder) -> None:
    """Answer a request whose handler failed, unless its response began."""
    if not responder.started:
        responder.keep_alive = False
        responder.send(http.HTTPStatus.INTERNAL_SERVER_ERROR, [], b"")
