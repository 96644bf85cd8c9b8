"""Failures of the link that callers of it handle."""

import typing

import attrs

from .. import errors


@attrs.define(slots=False, eq=False)
class LinkDown(errors.BilberrydealError):
    """There is no link to the agent now; nothing was handed over."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.NO_ENDPOINT

    #: IP number of the agent.
    address: str
    #: Control port of the agent.
    control_port: int


@attrs.define(slots=False, eq=False)
class LinkFull(errors.BilberrydealError):
    """Too much waits to be sent to the agent; nothing was handed over."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.OVERLOADED

    #: Messages that wait.
    waiting: int
    #: Bytes of request bodies that wait.
    waiting_bytes: int


@attrs.define(slots=False, eq=False)
class CallLost(errors.BilberrydealError):
    """The answer of a request will not come over this link."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.ENDPOINT_FAILED

    #: Sequence of the request.
    sequence: int
    #: Whether any part of it may have run; ``False`` is proved.
    started: bool
    #: Whether another incarnation of the agent has come: the former one and
    #: its usage records are gone. ``False`` says that the link is away.
    agent_replaced: bool = False


@attrs.define(slots=False, eq=False)
class CallExpired(errors.BilberrydealError):
    """The consumer's own deadline came before the end of the answer."""

    code: typing.ClassVar[errors.ErrorCode] = (
        errors.ErrorCode.DEADLINE_EXCEEDED
    )

    #: Sequence of the request.
    sequence: int


@attrs.define(slots=False, eq=False)
class HelloFailed(errors.BilberrydealError):
    """The agent did not answer a hello, or refused it."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.NO_ENDPOINT

    #: Why, in the words of the agent or the library.
    detail: str
