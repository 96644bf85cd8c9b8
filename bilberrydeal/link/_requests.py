"""Single requests and replies over nng.

Each request uses its own connection, so that a connection that has gone
silent never blocks the next request.
"""

import asyncio
import collections.abc
import typing

import attrs
import pynng

from .. import errors
from .. import telemetry
from . import _nng

LOG = telemetry.logger("link")

#: Delay between two dials for one request. A request may arrive twice, so
#: only requests that are safe to repeat are sent this way.
RECONNECT_MS = 50


@attrs.define(slots=False, eq=False)
class RequestFailed(errors.BilberrydealError):
    """No reply to a request arrived in time."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.INTERNAL

    #: Error message of the nng library.
    detail: str


async def send_request(
    address: str, port: int, request: bytes, timeout_s: float
) -> bytes:
    """Send a request and return the reply.

    Raises :class:`RequestFailed` when none arrives in time.
    """
    _nng.limit_threads()
    clock = asyncio.get_running_loop().time
    ends_s = clock() + timeout_s
    try:
        with pynng.Req0(
            send_timeout=_timeout_ms(timeout_s),
            resend_time=_nng.NEVER_MS,
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=RECONNECT_MS,
        ) as socket:
            socket.dial(_nng.url(address, port), block=False)
            await _nng.await_call(socket.asend(request))
            socket.recv_timeout = _timeout_ms(ends_s - clock())
            reply = await _nng.await_call(socket.arecv())
            return typing.cast(bytes, reply)
    except pynng.NNGException as error:
        raise RequestFailed(detail=str(error)) from error


def _timeout_ms(timeout_s: float) -> int:
    """Return a timeout for nng; 0 would not wait at all."""
    return max(1, round(timeout_s * _nng.MS_PER_S))


class Responder:
    """Replies to requests on one port."""

    def __init__(self, address: str, port: int) -> None:
        """Listen, or raise ``OSError``."""
        _nng.limit_threads()
        self._socket = pynng.Rep0(recv_max_size=_nng.MESSAGE_LIMIT_BYTES)
        try:
            self._socket.listen(_nng.url(address, port))
        except pynng.NNGException as error:
            self._socket.close()
            raise OSError(str(error)) from error

    async def serve(
        self, handler: collections.abc.Callable[[bytes], bytes]
    ) -> None:
        """Reply to requests until :meth:`close`.

        A request for which ``handler`` raises a
        :class:`bilberrydeal.errors.BilberrydealError` gets no reply, nor
        does one whose handling fails unexpectedly.
        """
        while True:
            try:
                request = await _nng.await_call(self._socket.arecv())
                await _nng.await_call(self._socket.asend(handler(request)))
            except pynng.Closed:
                return
            except (pynng.NNGException, errors.BilberrydealError):
                continue  # The request was bad; serve the next one.
            except Exception:
                LOG.exception("Request failed unexpectedly.")

    def close(self) -> None:
        """Stop serving and close the port."""
        self._socket.close()
