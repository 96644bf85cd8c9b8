"""Reloading of settings in a running gateway."""

import pathlib

import pytest

from ... import settings
from .. import _settings_watcher

TEXT = """
role: gateway
host_id: g1
failure_domain: d1
listen:
  callers: "127.0.0.1:1"
  readiness: "127.0.0.1:2"
  metrics: "127.0.0.1:3"
  peers: "127.0.0.1:4"
platform: {store: "127.0.0.1:5", usage: "127.0.0.1:6"}
bounds:
  grace_s: 8
  extra_sends_ratio: 0.2
  extra_sends_slack: 50
  extra_sends_window_s: 10
  lease_ms: 3000
  usage_window_s: 5
  usage_due_s: 10
open_files_limit: 4100
memory_limit_mb: 300
"""


def _watcher(
    path: pathlib.Path,
) -> tuple[_settings_watcher.SettingsWatcher, list[settings.GatewaySettings]]:
    path.write_text(TEXT)
    gateway_settings = settings.load(path)
    assert isinstance(gateway_settings, settings.GatewaySettings)
    applied: list[settings.GatewaySettings] = []
    return _settings_watcher.SettingsWatcher(
        path, gateway_settings, applied.append
    ), applied


def test_changed_settings_are_applied_once(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "g.yaml"
    watcher, applied = _watcher(path)
    watcher.check("poll")
    assert applied == []
    path.write_text(TEXT.replace("grace_s: 8", "grace_s: 12"))
    watcher.check("poll")
    watcher.check("signal")
    assert [each.bounds.grace_s for each in applied] == [12.0]


def test_invalid_settings_leave_the_current_in_force(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "g.yaml"
    watcher, applied = _watcher(path)
    for text in ("role: gateway", "{", TEXT.replace("gateway", "agent")):
        path.write_text(text)
        watcher.check("poll")
    path.unlink()
    watcher.check("poll")
    assert applied == []


def test_unknown_fields_are_reported(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "g.yaml"
    path.write_text(TEXT + "surprise: 1\n")
    with pytest.raises(settings.SettingsInvalid) as caught:
        settings.load(path)
    assert [each.path for each in caught.value.problems] == ["surprise"]
