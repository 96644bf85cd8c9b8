"""What every limiter does."""

import collections.abc
import typing

import attrs

from ... import registry
from .. import _entities
from .. import _tables
from . import _messages


@attrs.frozen
class Admission:
    """Whether a request is within the limits of its organisation."""

    #: Whether it is.
    admitted: bool
    #: When it would be, in seconds; 0 for one that is admitted.
    retry_after_s: float = 0.0
    #: ``requests``, ``tokens`` or ``concurrency``; empty if admitted.
    limit: str = ""


class Limiter(typing.Protocol):
    """Holds organisations to their limits.

    Each admitted request is settled once, when it has ended.

    Example::

        limiter = LIMITERS.get("exchanged")("entry-1")
        admission = limiter.admit(organisation, tokens, now_s)
        ...
        limiter.settle(organisation.organisation, tokens, actual, now_s)
        for outgoing in limiter.exchange(tables, now_s):
            ...  # each membership.exchange_s
    """

    def admit(
        self,
        organisation: _entities.OrganisationView,
        tokens: float,
        now_s: float,
    ) -> Admission:
        """Take a request's tokens out of the limits, if they allow it."""

    def settle(
        self,
        organisation: str,
        tokens: float,
        actual_tokens: float,
        now_s: float,
    ) -> None:
        """Give back what an admitted request did not use."""

    def exchange(
        self, tables: _tables.Tables, now_s: float
    ) -> list[_messages.Outgoing]:
        """Return what is to be sent to peers now."""

    def receive_need(self, report: _messages.NeedReport, now_s: float) -> None:
        """Take a report as the home of its organisations."""

    def receive_grant(self, grant: _messages.ShareGrant, now_s: float) -> None:
        """Take the answer of a home."""

    def receive_ask(self, ask: _messages.NeedAsk, now_s: float) -> None:
        """Take a home's request for a report."""


#: Limiters by the names that settings use; made with the own incarnation.
LIMITERS: registry.Registry[collections.abc.Callable[[str], Limiter]] = (
    registry.Registry("limiter")
)
