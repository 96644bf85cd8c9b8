"""Tests the daemon's check of its settings file."""

import pathlib

import pytest

from bilberrydeal import daemon
from bilberrydeal.gateway.tests import test_reloading
from bilberrydeal.settings.tests import test_load

INVALID = [
    ("host_id: h1", "host_id: 'a b'", "host_id"),
    ("peer_port: 8001", "peer_port: 8001\npolicy: {roles: none}", "roles"),
    ("table: {adapter: http_json", "table: {adapter: telex", "table.adapter"),
]


def _check(
    tmp_path: pathlib.Path, text: str, monkeypatch: pytest.MonkeyPatch
) -> int:
    file = tmp_path / "entry.yaml"
    file.write_text(text)
    words = ["bilberrydeald", "check-config", str(file)]
    monkeypatch.setattr("sys.argv", words)
    return daemon.main()


def test_valid_settings_pass(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert _check(tmp_path, test_load.GOOD, monkeypatch) == 0


@pytest.mark.parametrize(("good", "bad", "named"), INVALID)
def test_invalid_settings_are_reported(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    good: str,
    bad: str,
    named: str,
) -> None:
    text = test_load.GOOD.replace(good, bad)
    assert _check(tmp_path, text, monkeypatch) == daemon.EXIT_USAGE
    assert named in capsys.readouterr().err


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ("placer: nobody", "placer: given nobody"),
        ("role_plan: nobody", "role_plan: given nobody"),
        ("uplink_mbps: 0", "uplink_mbps"),
        ("uplink_mbps: fast", "uplink_mbps"),
        ("trace: {exporter: pigeon}", "trace.exporter"),
    ],
)
def test_invalid_settings_of_a_gateway_are_reported(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    line: str,
    named: str,
) -> None:
    text = f"{test_reloading.TEXT}\n{line}\n"
    assert _check(tmp_path, text, monkeypatch) == daemon.EXIT_USAGE
    assert named in capsys.readouterr().err


def test_valid_settings_of_a_gateway_pass(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert _check(tmp_path, test_reloading.TEXT, monkeypatch) == 0


def test_missing_file_is_reported(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    words = ["bilberrydeald", "check-config", "/nowhere/entry.yaml"]
    monkeypatch.setattr("sys.argv", words)
    assert daemon.main() == daemon.EXIT_USAGE
    assert "/nowhere/entry.yaml" in capsys.readouterr().err
