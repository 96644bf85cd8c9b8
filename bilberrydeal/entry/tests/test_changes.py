import typing

import pytest

from bilberrydeal import configuration
from bilberrydeal import systems
from bilberrydeal.entry.cluster_state import _changes

RUSSO = configuration.Organisation("russo", weight=2.0, requests_per_s=5.0)
OFF = configuration.Organisation("derwent", enabled=False)
ROWS = [
    configuration.SetOrganisation(RUSSO, 0),
    configuration.SetOrganisation(configuration.Organisation("derwent"), 0),
    configuration.IssueKey(configuration.KeyRecord("k1", "russo", "h1")),
    configuration.IssueKey(configuration.KeyRecord("k2", "russo", "h2")),
    configuration.IssueKey(configuration.KeyRecord("k3", "derwent", "h3")),
]


class _FakeAdmitter:
    def __init__(self) -> None:
        self.revoked: set[str] = set()

    def revoke_keys(self, key_ids: set[str]) -> None:
        self.revoked |= key_ids


def _applier() -> tuple[_changes.ChangeApplier, _FakeAdmitter, systems.Tables]:
    admitter = _FakeAdmitter()
    tables = systems.Tables()
    applier = _changes.ChangeApplier(typing.cast(typing.Any, admitter), tables)
    return applier, admitter, tables


@pytest.mark.parametrize("by_snapshot", [False, True])
@pytest.mark.parametrize(
    ("change", "revoked"),
    [
        (configuration.WithdrawKey("k1"), {"k1"}),
        (configuration.SetOrganisation(OFF, 2), {"k3"}),
    ],
)
def test_inactive_keys_are_revoked_for_running_requests(
    by_snapshot: bool, change: configuration.Change, revoked: set[str]
) -> None:
    """An entry that loads a snapshot past the change revokes them, too."""
    applier, admitter, tables = _applier()
    current = configuration.Configuration()
    for row in [*ROWS, change]:
        current = current.apply(row)
    applied = change
    if by_snapshot:
        applied = configuration.SnapshotLoaded(current.revision)
    applier.apply(applied, current)
    assert admitter.revoked == revoked


def test_organisation_without_limits_is_unlimited() -> None:
    applier, _, tables = _applier()
    current = configuration.Configuration().apply(ROWS[0])
    applier.apply(ROWS[0], current)
    view = tables.of(systems.OrganisationView).get("russo")
    assert view is not None
    assert view.weight == 2.0
    assert view.requests_per_s == 5.0
    assert view.tokens_per_s == float("inf")
