"""The interface of limiters."""

import collections.abc
import typing

import attrs

from ... import registry
from .. import _entities
from .. import _tables
from . import _messages


@attrs.frozen
class Admission:
    """The decision whether a request is within its organisation's limits."""

    #: Whether the request is admitted.
    admitted: bool
    #: Delay until a retry could be admitted, in seconds; 0 if admitted.
    retry_after_s: float = 0.0
    #: The exceeded limit: ``requests``, ``tokens`` or ``concurrency``; empty
    #: if admitted.
    limit: str = ""


class Limiter(typing.Protocol):
    """Enforces the limits of organisations.

    Call ``settle`` exactly once for each admitted request, when it ends.

    Example::

        limiter = LIMITERS.get("exchanged")("entry-1")
        admission = limiter.admit(organisation, tokens, now_s)
        ...
        limiter.settle(organisation.organisation, tokens, actual, now_s)
        for outgoing in limiter.exchange(tables, now_s):
            ...  # every membership.exchange_s
    """

    def admit(
        self,
        organisation: _entities.OrganisationView,
        tokens: float,
        now_s: float,
    ) -> Admission:
        """Admit a request and charge its tokens if the limits permit it."""

    def settle(
        self,
        organisation: str,
        tokens: float,
        actual_tokens: float,
        now_s: float,
    ) -> None:
        """Release the slot and correct the tokens of an ended request."""

    def exchange(
        self, tables: _tables.Tables, now_s: float
    ) -> list[_messages.OutgoingMessage]:
        """Return the messages to send to peers now."""

    def receive_need(self, report: _messages.NeedReport, now_s: float) -> None:
        """Handle a need report as the home of its organisations."""

    def receive_grant(self, grant: _messages.ShareGrant, now_s: float) -> None:
        """Handle a grant from a home."""

    def receive_report_request(
        self, request: _messages.NeedReportRequest, now_s: float
    ) -> None:
        """Handle a home's request for a need report."""


#: Limiters by their names in settings; called with this entry's incarnation.
LIMITERS: registry.Registry[collections.abc.Callable[[str], Limiter]] = (
    registry.Registry("limiter")
)
