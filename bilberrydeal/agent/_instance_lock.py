"""Ensures that only one agent process runs on a host."""

import socket
import typing

import attrs

from .. import errors

#: The lock is local to the host, whatever address the agent listens on.
ADDRESS = "127.0.0.1"


@attrs.define(slots=False, eq=False)
class InstanceLockHeld(errors.BilberrydealError):
    """Another agent process, possibly paused, holds the lock."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.FENCED

    #: Port that the other process has bound.
    port: int


class InstanceLock:
    """Lock implemented as an exclusively bound local port.

    The kernel releases it only when the process exits. A paused agent
    therefore prevents its successor from starting, and the two never both
    send orders to the endpoint.
    """

    def __init__(self, port: int) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # A bound socket that does not listen is exclusive too, and no
        # connection can keep its port in use after the process exits.
        try:
            self._socket.bind((ADDRESS, port))
        except OSError as error:
            self._socket.close()
            raise InstanceLockHeld(port=port) from error

    def release(self) -> None:
        """Release the lock so that another agent can start."""
        self._socket.close()
