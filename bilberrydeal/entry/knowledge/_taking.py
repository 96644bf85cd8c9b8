"""Takes changes of the configuration into the tables and the gate."""

from ... import configuration
from ... import systems
from .. import core


class ChangeTaker:
    """Makes each change hold for requests, those that run among them."""

    def __init__(
        self, admitter: core.RequestAdmitter, tables: systems.Tables
    ) -> None:
        self._request_admitter = admitter
        self._organisations = tables.of(systems.OrganisationView)

    def take(
        self,
        change: configuration.Change,
        current: configuration.Configuration,
    ) -> None:
        """Take one change; ``current`` is the configuration after it."""
        if isinstance(change, configuration.WithdrawKey):
            self._request_admitter.revoke_keys({change.key_id})
        elif isinstance(change, configuration.SetOrganisation):
            self._take_organisation(change.organisation, current)
        elif isinstance(change, configuration.SnapshotLoaded):
            self._take_all(current)

    def _take_organisation(
        self,
        row: configuration.Organisation,
        current: configuration.Configuration,
    ) -> None:
        self._organisations.put(_view(row))
        if not row.enabled:
            self._request_admitter.revoke_keys(_keys_off(current))

    def _take_all(self, current: configuration.Configuration) -> None:
        self._request_admitter.revoke_keys(_keys_off(current))
        for row in current.organisations.values():
            self._organisations.put(_view(row))


def _keys_off(current: configuration.Configuration) -> set[str]:
    """Return the keys that are withdrawn or of a disabled organisation."""
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
