"""Reads off an endpoint's answer what became of the request."""

import enum

from .. import http1
from . import _headers

#: Statuses that tell a caller that its request did not run.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
#: Only this status says so without a field beside it.
MISDIRECTED = 421


class Verdict(enum.Enum):
    """What an answer says."""

    #: The request ran and this is its answer.
    ANSWER = "answer"
    #: The request ran, or was looked at, and failed; passed on as it is.
    FAILURE = "failure"
    #: The request did not run and will not.
    NOT_RUN = "not_run"
    #: Nothing that can be passed on; the request may have run.
    DEFECT = "defect"


def verdict(head: http1.ResponseHead) -> Verdict:
    """Return what an answer to a forwarded request says."""
    names = _headers.HEADERS
    if head.status == MISDIRECTED or head.header(names.not_executed):
        return Verdict.NOT_RUN
    if head.header(names.content_encoding) is not None:
        return Verdict.DEFECT
    if 200 <= head.status < 300:
        signed = head.header(names.signature) is not None
        return Verdict.ANSWER if signed else Verdict.DEFECT
    if head.status in NOT_RUN_STATUSES:
        return Verdict.DEFECT
    return Verdict.FAILURE


def read_prompt_verdict(head: http1.ResponseHead) -> Verdict:
    """Return what an answer to the reading of a prompt says."""
    if head.status == 200:
        return Verdict.ANSWER
    if head.status == MISDIRECTED or head.header(
        _headers.HEADERS.not_executed
    ):
        return Verdict.NOT_RUN
    return Verdict.DEFECT


def misdirected(head: http1.ResponseHead) -> bool:
    """Return whether another endpoint has the address by now."""
    return head.status == MISDIRECTED


def passed_on(head: http1.ResponseHead) -> list[http1.Header]:
    """Return the fields of an answer that the caller gets."""
    return http1.end_to_end(head.headers)


def retry_after(delay_s: float) -> http1.Header:
    """Return the field that tells a caller when to come back."""
    return (_headers.HEADERS.retry_after, b"%.3f" % delay_s)


def echo_id(request_id: bytes) -> http1.Header:
    """Return the field that names the request an answer belongs to."""
    return (_headers.HEADERS.request_id, request_id)
