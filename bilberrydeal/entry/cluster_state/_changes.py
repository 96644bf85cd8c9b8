"""Applies configuration changes to the tables and running requests."""

from ... import configuration
from ... import systems
from .. import core


class ChangeApplier:
    """Applies each change to new and running requests."""

    def __init__(
        self, admitter: core.RequestAdmitter, tables: systems.Tables
    ) -> None:
        self._request_admitter = admitter
        self._organisations = tables.of(systems.OrganisationView)

    def apply(
        self,
        change: configuration.Change,
        current: configuration.Configuration,
    ) -> None:
        """Apply one change; ``current`` is the configuration after it."""
        if isinstance(change, configuration.WithdrawKey):
            self._request_admitter.revoke_keys({change.key_id})
        elif isinstance(change, configuration.SetOrganisation):
            self._apply_organisation(change.organisation, current)
        elif isinstance(change, configuration.SnapshotLoaded):
            self._apply_snapshot(current)

    def _apply_organisation(
        self,
        row: configuration.Organisation,
        current: configuration.Configuration,
    ) -> None:
        self._organisations.put(_view(row))
        if not row.enabled:
            self._request_admitter.revoke_keys(_inactive_keys(current))

    def _apply_snapshot(self, current: configuration.Configuration) -> None:
        self._request_admitter.revoke_keys(_inactive_keys(current))
        for row in current.organisations.values():
            self._organisations.put(_view(row))


def _inactive_keys(current: configuration.Configuration) -> set[str]:
    """Return the keys that are withdrawn or whose organisation is disabled."""
    return {
        key.key_id
        for key in current.keys.values()
        if key.withdrawn or not current.organisations[key.organisation].enabled
    }


def _view(row: configuration.Organisation) -> systems.OrganisationView:
    unlimited = float("inf")
    return systems.OrganisationView(
        organisation=row.name,
        weight=row.weight,
        requests_per_s=row.requests_per_s or unlimited,
        tokens_per_s=row.tokens_per_s or unlimited,
        concurrency=row.concurrency or unlimited,
    )
