"""Changes, their JSON form and conflicts between them."""

import pytest

from bilberrydeal import configuration
from bilberrydeal import ports
from bilberrydeal.configuration import _codec
from bilberrydeal.configuration import _configuration

RUSSO = configuration.Organisation("russo", weight=2.0)
KEY = configuration.KeyRecord("k1", "russo", "hash1")
CHAT = configuration.Route("chat", "/v1/chat/completions")
MODEL = configuration.Model("m", "assistant")
ASSIGNED = configuration.Assignment("e1", ports.EngineRole.PREFILL, "v2")

CHANGES = [
    configuration.SetOrganisation(RUSSO, 0),
    configuration.IssueKey(KEY),
    configuration.WithdrawKey("k1"),
    configuration.SetRoute(CHAT, 0),
    configuration.SetModel(MODEL, 0),
    configuration.RemoveRoute("chat", 4),
    configuration.RemoveModel("m", 5),
    configuration.SetAssignment(ASSIGNED, 0),
    configuration.RemoveAssignment("e1", 8),
]


def _applied(
    changes: list[configuration.Change],
) -> configuration.Configuration:
    current = configuration.Configuration()
    for change in changes:
        current = current.apply(change)
    return current


@pytest.mark.parametrize("change", CHANGES, ids=lambda c: type(c).__name__)
def test_change_round_trips_through_json(change: configuration.Change) -> None:
    data = configuration.encode_change(change)
    assert configuration.decode_change(data) == change


def test_changes_apply_in_order() -> None:
    current = _applied(CHANGES)
    assert current.revision == len(CHANGES)
    assert current.organisations["russo"].revision == 1
    assert current.keys["hash1"].withdrawn
    assert not current.routes
    assert not current.models
    assert not current.assignments


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (
            configuration.SetOrganisation(RUSSO, 0),
            configuration.RevisionConflict,
        ),
        (configuration.SetRoute(CHAT, 3), configuration.RevisionConflict),
        (configuration.RemoveModel("m", 4), configuration.RevisionConflict),
        (
            configuration.SetAssignment(ASSIGNED, 8),
            configuration.RevisionConflict,
        ),
        (configuration.RemoveAssignment("e1", 8), _configuration.RowMissing),
        (configuration.IssueKey(KEY), configuration.RevisionConflict),
        (configuration.WithdrawKey("k9"), _configuration.RowMissing),
        (configuration.RemoveRoute("x", 0), _configuration.RowMissing),
        (
            configuration.IssueKey(
                configuration.KeyRecord("k2", "nobody", "hash2")
            ),
            _configuration.RowMissing,
        ),
    ],
)
def test_invalid_change_is_rejected(
    change: configuration.Change, error: type[Exception]
) -> None:
    current = _applied(CHANGES[:5])
    with pytest.raises(error):
        current.apply(change)


def test_conflict_reports_both_rows() -> None:
    current = _applied(CHANGES[:1])
    given = configuration.Organisation("russo", weight=7.0)
    with pytest.raises(configuration.RevisionConflict) as caught:
        current.apply(configuration.SetOrganisation(given, 0))
    assert "weight=7.0" in caught.value.given
    assert "weight=2.0" in caught.value.found


def test_envelope_contains_the_kind() -> None:
    assert _codec.envelope(CHANGES[2]).kind == "withdraw_key"
