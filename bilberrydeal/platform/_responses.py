"""Classifies endpoints' responses by what happened to the request."""

import enum

from .. import http1
from . import _headers

#: Statuses by which a caller may assume that its request did not run.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
#: The only status that proves this without a ``not-executed`` header.
MISDIRECTED = 421


class ResponseClass(enum.Enum):
    """What a response says about the execution of the request."""

    #: The request ran and this is its result.
    RESULT = "answer"
    #: The request ran or was examined, and failed; forwarded unchanged.
    FAILURE = "failure"
    #: The request did not run and will not run.
    NOT_RUN = "not_run"
    #: Invalid, so it cannot be forwarded; the request may have run.
    INVALID = "defect"


def classify_response(
    head: http1.ResponseHead, reused: bool = False
) -> ResponseClass:
    """Classify the response to a forwarded request.

    Without an id it may be a copy of an earlier response, if the connection
    was ``reused``.
    """
    names = _headers.HEADERS
    if reused and head.header(names.request_id) is None:
        return ResponseClass.INVALID
    if head.status == MISDIRECTED or head.header(names.not_executed):
        return ResponseClass.NOT_RUN
    if head.header(names.content_encoding) is not None:
        return ResponseClass.INVALID
    if 200 <= head.status < 300:
        signed = head.header(names.signature) is not None
        return ResponseClass.RESULT if signed else ResponseClass.INVALID
    if head.status in NOT_RUN_STATUSES:
        return ResponseClass.INVALID
    return ResponseClass.FAILURE


def classify_prefill_response(
    head: http1.ResponseHead, reused: bool = False
) -> ResponseClass:
    """Classify the response to a prefill request."""
    if reused and head.header(_headers.HEADERS.request_id) is None:
        return ResponseClass.INVALID
    if head.status == 200:
        return ResponseClass.RESULT
    if head.status == MISDIRECTED or head.header(
        _headers.HEADERS.not_executed
    ):
        return ResponseClass.NOT_RUN
    return ResponseClass.INVALID


def misdirected(head: http1.ResponseHead) -> bool:
    """Return whether the address now belongs to another endpoint."""
    return head.status == MISDIRECTED


def forwarded_headers(head: http1.ResponseHead) -> list[http1.Header]:
    """Return the headers of a response that are forwarded to the caller."""
    return http1.end_to_end_headers(head.headers)


def retry_after_header(delay_s: float) -> http1.Header:
    """Return the header that tells a caller when to retry."""
    return (_headers.HEADERS.retry_after, b"%.3f" % delay_s)


def request_id_header(request_id: bytes) -> http1.Header:
    """Return the header that identifies the request of a response."""
    return (_headers.HEADERS.request_id, request_id)
