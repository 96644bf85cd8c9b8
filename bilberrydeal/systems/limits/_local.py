"""Limits that each entry holds alone."""

from .. import _entities
from .. import _tables
from . import _account
from . import _base
from . import _messages


@_base.LIMITERS.register("local_only")
class LocalLimiter:
    """Gives each entry the whole limit: the baseline.

    With n entries an organisation gets up to n times its limit.
    """

    def __init__(self, entry: str) -> None:
        self.entry = entry
        self._accounts: dict[str, _account.Account] = {}

    def admit(
        self,
        organisation: _entities.OrganisationView,
        tokens: float,
        now_s: float,
    ) -> _base.Admission:
        """Admit what the own buckets allow."""
        name = organisation.organisation
        if name not in self._accounts:
            self._accounts[name] = _account.opened(now_s)
        allowance = _account.whole(organisation)
        return self._accounts[name].admit(allowance, tokens, now_s)

    def settle(
        self,
        organisation: str,
        tokens: float,
        actual_tokens: float,
        now_s: float,
    ) -> None:
        """Give back what an admitted request did not use."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.settle(tokens, actual_tokens)

    def exchange(
        self, tables: _tables.Tables, now_s: float
    ) -> list[_messages.Outgoing]:
        """Send nothing."""
        return []

    def receive_need(self, report: _messages.NeedReport, now_s: float) -> None:
        """Ignore the report."""

    def receive_grant(self, grant: _messages.ShareGrant, now_s: float) -> None:
        """Ignore the grant."""

    def receive_ask(self, ask: _messages.NeedAsk, now_s: float) -> None:
        """Ignore the request."""
