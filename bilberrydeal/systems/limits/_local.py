"""A limiter without coordination between entries."""

from .. import _entities
from .. import _tables
from . import _account
from . import _base
from . import _messages


@_base.LIMITERS.register("local_only")
class LocalLimiter:
    """Applies the full limit at each entry: the baseline.

    With n entries an organisation can use up to n times its limit.
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
        """Admit a request if this entry's account permits it."""
        name = organisation.organisation
        if name not in self._accounts:
            self._accounts[name] = _account.new_account(now_s)
        allowance = _account.full_allowance(organisation)
        return self._accounts[name].admit(allowance, tokens, now_s)

    def settle(
        self,
        organisation: str,
        tokens: float,
        actual_tokens: float,
        now_s: float,
    ) -> None:
        """Release the slot and correct the tokens of an ended request."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.settle(tokens, actual_tokens)

    def exchange(
        self, tables: _tables.Tables, now_s: float
    ) -> list[_messages.OutgoingMessage]:
        """Return no messages."""
        return []

    def receive_need(self, report: _messages.NeedReport, now_s: float) -> None:
        """Ignore the report."""

    def receive_grant(self, grant: _messages.ShareGrant, now_s: float) -> None:
        """Ignore the grant."""

    def receive_report_request(
        self, request: _messages.NeedReportRequest, now_s: float
    ) -> None:
        """Ignore the request."""
