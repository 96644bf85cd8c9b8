"""Classifies endpoints' responses by what happened to the request."""

import enum

from .. import http1
from . import _headers

#: Statuses by which a caller may assume that its request did not run.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
#: The only status that proves this without a ``not-executed`` header.
MISDIRECTED = 421


class Verdict(enum.Enum):
    """What a response says about the execution of the request."""

    #: The request ran and this is its result.
    ANSWER = "answer"
    #: The request ran or was examined, and failed; forwarded unchanged.
    FAILURE = "failure"
    #: The request did not run and will not run.
    NOT_RUN = "not_run"
    #: Invalid, so it cannot be forwarded; the request may have run.
    DEFECT = "defect"


def verdict(head: http1.ResponseHead) -> Verdict:
    """Classify the response to a forwarded request."""
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
    """Classify the response to a prefill request."""
    if head.status == 200:
        return Verdict.ANSWER
    if head.status == MISDIRECTED or head.header(
        _headers.HEADERS.not_executed
    ):
        return Verdict.NOT_RUN
    return Verdict.DEFECT


def misdirected(head: http1.ResponseHead) -> bool:
    """Return whether the address now belongs to another endpoint."""
    return head.status == MISDIRECTED


def passed_on(head: http1.ResponseHead) -> list[http1.Header]:
    """Return the headers of a response that are forwarded to the caller."""
    return http1.end_to_end_headers(head.headers)


def retry_after(delay_s: float) -> http1.Header:
    """Return the header that tells a caller when to retry."""
    return (_headers.HEADERS.retry_after, b"%.3f" % delay_s)


def echo_id(request_id: bytes) -> http1.Header:
    """Return the header that identifies the request of a response."""
    return (_headers.HEADERS.request_id, request_id)
