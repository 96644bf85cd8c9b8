"""Exceptions of the link that its callers handle."""

import typing

import attrs

from .. import errors


@attrs.define(slots=False, eq=False)
class LinkDown(errors.BilberrydealError):
    """There is no link to the agent; the request was not sent."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.NO_ENDPOINT

    #: IP address of the agent.
    address: str
    #: Control port of the agent.
    control_port: int


@attrs.define(slots=False, eq=False)
class LinkFull(errors.BilberrydealError):
    """The outbox for the agent is full; the request was not sent."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.OVERLOADED

    #: Messages in the outbox.
    waiting: int
    #: Bytes of request bodies in the outbox.
    waiting_bytes: int


@attrs.define(slots=False, eq=False)
class CallLost(errors.BilberrydealError):
    """The rest of an answer will not arrive over this link."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.ENDPOINT_FAILED

    #: Sequence number of the request.
    sequence: int
    #: Whether any part of it may have run; ``False`` is certain.
    started: bool
    #: Whether a new incarnation replaced the agent: the former one and its
    #: usage records are gone. ``False`` means that the link is down.
    agent_replaced: bool = False


@attrs.define(slots=False, eq=False)
class CallExpired(errors.BilberrydealError):
    """The consumer's deadline passed before the end of the answer."""

    code: typing.ClassVar[errors.ErrorCode] = (
        errors.ErrorCode.DEADLINE_EXCEEDED
    )

    #: Sequence number of the request.
    sequence: int


@attrs.define(slots=False, eq=False)
class HelloFailed(errors.BilberrydealError):
    """The agent refused a hello or did not reply."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.NO_ENDPOINT

    #: Error message of the agent or the library.
    detail: str
