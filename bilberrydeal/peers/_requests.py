"""One question and its answer over nng.

Each question has a connection of its own: an old connection that has gone
silent for good never stands in the way of the next question.
"""

import collections.abc
import typing

import attrs
import pynng

from .. import errors
from .. import link

MS_PER_S = 1000
#: Longer than any process lives here: a socket never sends by itself.
NEVER_MS = 2**31 - 1
#: Larger questions are taken for a broken peer.
QUESTION_LIMIT_BYTES = 1024 * 1024


@attrs.define(slots=False, eq=False)
class ExchangeFailed(errors.BilberrydealError):
    """A question got no answer in time."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.INTERNAL

    #: What the library said.
    detail: str


async def ask(
    address: str, port: int, question: bytes, timeout_s: float
) -> bytes:
    """Return the answer, or raise :class:`ExchangeFailed`."""
    link.limit_threads()
    timeout_ms = max(1, round(timeout_s * MS_PER_S))
    try:
        with pynng.Req0(
            send_timeout=timeout_ms,
            recv_timeout=timeout_ms,
            resend_time=NEVER_MS,
            reconnect_time_min=NEVER_MS,
            reconnect_time_max=NEVER_MS,
        ) as socket:
            socket.dial(_url(address, port), block=False)
            await socket.asend(question)
            return typing.cast(bytes, await socket.arecv())
    except pynng.NNGException as error:
        raise ExchangeFailed(detail=str(error)) from error


class Responder:
    """Answers questions on one port."""

    def __init__(self, address: str, port: int) -> None:
        link.limit_threads()
        self._socket = pynng.Rep0(recv_max_size=QUESTION_LIMIT_BYTES)
        self._socket.listen(_url(address, port))

    async def serve(
        self, answer: collections.abc.Callable[[bytes], bytes]
    ) -> None:
        """Answer until :meth:`close`; a question that raises gets none."""
        while True:
            try:
                question = await self._socket.arecv()
                await self._socket.asend(answer(question))
            except pynng.Closed:
                return
            except (pynng.NNGException, errors.BilberrydealError):
                continue

    def close(self) -> None:
        """Stop answering."""
        self._socket.close()


def _url(address: str, port: int) -> str:
    host = f"[{address}]" if ":" in address else address
    return f"tcp://{host}:{port}"
