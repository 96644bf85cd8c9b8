"""Tests loading valid and invalid settings."""

import pytest

from bilberrydeal import settings

ADAPTER = "{adapter: http_json, url: 'http://127.0.0.1:9000'}"
GOOD = f"""
role: entry
host_id: h1
listen_address: 127.0.0.1
advertise_address: 127.0.0.1
failure_domain: fd1
http: {{port: 8000}}
peer_port: 8001
platform:
  table: {ADAPTER}
  objects: {ADAPTER}
  endpoints: {ADAPTER}
  usage: {ADAPTER}
  hosts: {ADAPTER}
  weights: {ADAPTER}
secrets: {{key_hash_file: a, operator_key_hash_file: b, peer_file: c}}
"""

BAD = [
    ("http: {port: 8000}", "http: {port: 0}", "http.port"),
    ("http: {port: 8000}", "http: {prt: 1, port: 2}", "http.prt"),
    ("peer_port: 8001", "", "peer_port"),
    ("host_id: h1", "host_id: 'a b'", "host_id"),
    ("failure_domain: fd1", "failure_domain: 7", "failure_domain"),
]


def test_defaults_are_filled_in() -> None:
    loaded = settings.load_text(GOOD)
    assert isinstance(loaded, settings.EntrySettings)
    assert loaded.link == settings.LinkSettings()


@pytest.mark.parametrize(("good", "bad", "path"), BAD)
def test_invalid_field_is_reported(good: str, bad: str, path: str) -> None:
    with pytest.raises(settings.SettingsInvalid) as caught:
        settings.load_text(GOOD.replace(good, bad))
    assert [problem.path for problem in caught.value.problems] == [path]


def test_all_invalid_fields_are_reported_together() -> None:
    text = GOOD
    for good, bad, _ in BAD[2:]:
        text = text.replace(good, bad)
    with pytest.raises(settings.SettingsInvalid) as caught:
        settings.load_text(text)
    paths = {problem.path for problem in caught.value.problems}
    assert paths == {path for _, _, path in BAD[2:]}


@pytest.mark.parametrize("text", ["", "[1]", "role: boss", "a: [", "role: []"])
def test_text_without_a_valid_role_is_rejected(text: str) -> None:
    with pytest.raises(settings.SettingsInvalid):
        settings.load_text(text)
