"""Keeps a second agent of the same host out."""

import socket
import typing

import attrs

from .. import errors

#: The guard is local to the host, whatever address the agent listens on.
ADDRESS = "127.0.0.1"


@attrs.define(slots=False, eq=False)
class GuardHeld(errors.BilberrydealError):
    """Another agent of this host is alive, be it paused."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED

    #: The port that it holds.
    port: int


class Guard:
    """An exclusive local port, held while the process lives.

    The kernel frees it when the process dies, and only then: a paused agent
    keeps its successor from starting, so the two never both give orders to
    the endpoint.
    """

    def __init__(self, port: int) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # A socket that is bound but does not listen excludes others just as
        # well, and no connection can keep the port busy after its death.
        try:
            self._socket.bind((ADDRESS, port))
        except OSError as error:
            self._socket.close()
            raise GuardHeld(port=port) from error

    def release(self) -> None:
        """Let another agent start."""
        self._socket.close()
