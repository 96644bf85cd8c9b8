"""Authentication of callers by their keys."""

import pytest

from bilberrydeal import configuration
from bilberrydeal import errors
from bilberrydeal import keys

PEPPER = b"pepper"
CODE = errors.ErrorCode


def _directory() -> tuple[keys.KeyDirectory, keys.NewKey]:
    key = keys.new_key()
    hashed = keys.hash_key(key.secret, PEPPER)
    off = configuration.Organisation("off", enabled=False)
    current = configuration.Configuration()
    for change in (
        configuration.SetOrganisation(configuration.Organisation("russo"), 0),
        configuration.SetOrganisation(off, 0),
        configuration.IssueKey(
            configuration.KeyRecord(key.key_id, "russo", hashed)
        ),
        configuration.IssueKey(
            configuration.KeyRecord(
                "gone", "russo", keys.hash_key("gone", PEPPER)
            )
        ),
        configuration.WithdrawKey("gone"),
        configuration.IssueKey(
            configuration.KeyRecord("o", "off", keys.hash_key("off", PEPPER))
        ),
    ):
        current = current.apply(change)
    return keys.KeyDirectory(lambda: current, PEPPER), key


def test_key_identifies_its_organisation() -> None:
    directory, key = _directory()
    record = directory.authenticate(f"Bearer {key.secret}")
    assert record.organisation == "russo"
    assert key.secret not in repr(key)


@pytest.mark.parametrize(
    ("header", "reason"),
    [
        (None, CODE.KEY_MISSING),
        ("", CODE.KEY_MISSING),
        ("Bearer", CODE.KEY_MISSING),
        ("Basic abc", CODE.KEY_MISSING),
        ("Bearer nothing", CODE.KEY_REJECTED),
        ("Bearer " + "x" * 9_999, CODE.KEY_REJECTED),
        ("Bearer \ud800", CODE.KEY_REJECTED),
        ("bearer gone", CODE.KEY_WITHDRAWN),
        ("Bearer off", CODE.KEY_REJECTED),
    ],
)
def test_invalid_keys_are_rejected(
    header: str | None, reason: errors.ErrorCode
) -> None:
    directory, _ = _directory()
    with pytest.raises(errors.Refusal) as caught:
        directory.authenticate(header)
    assert (caught.value.reason, caught.value.status) == (reason, 401)


def test_hash_depends_on_the_pepper() -> None:
    assert keys.hash_key("a", b"x") != keys.hash_key("a", b"y")
