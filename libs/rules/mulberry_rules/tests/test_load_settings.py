"""Tests for the settings loader."""

import pathlib

import pytest

import mulberry_core as core
import mulberry_rules as rules

BASE = """{
  // One instance of Colmenas.
  name: "coban-a-1", zone: "coban-a", region: "altaverapaz",
  http_address: "127.0.0.1:7401",
  grpc_address: "127.0.0.1:7501",
  peers: ["127.0.0.1:7502"],
  data_dir: "data/coban-a-1",
  voter: true,
  voters: {"coban-a-1": "127.0.0.1:7501", "coban-b-1": "127.0.0.1:7502"},
  limits: {max_streams: 50},
  timing: {watch_period_s: 1},
  policy: {admission: "first_come"},
}
"""


def test_settings_are_read(tmp_path: pathlib.Path) -> None:
    """Guards against values that are not copied to the data class."""
    path = tmp_path / "settings.json"
    path.write_text(BASE)
    settings = rules.load_settings(str(path))
    assert isinstance(settings, rules.Settings), str(settings)
    assert settings.voters_by_name["coban-b-1"] == "127.0.0.1:7502"
    assert settings.data_dir == str(tmp_path / "data/coban-a-1")
    assert settings.rule_file is core.Missing.UNSET
    assert settings.limits == rules.Limits(max_streams=50)
    assert settings.timing == rules.Timing(watch_period_s=1.0)
    assert settings.policy == rules.Policy(admission="first_come")


def test_defaults_equal_those_of_the_data_classes() -> None:
    """Guards against diverging defaults of the file and the data classes."""
    text = """{name: "a", zone: "z", region: "r", peers: ["10.0.0.1:1"],
      http_address: "127.0.0.1:1", grpc_address: "[::1]:2"}"""
    settings = rules.parse_settings(text, "/")
    assert isinstance(settings, rules.Settings), str(settings)
    assert settings.limits == rules.Limits()
    assert settings.timing == rules.Timing()
    assert settings.policy == rules.Policy()
    assert not settings.voter


#: Text in `BASE`, its replacement, the key and part of what is allowed.
_ERRORS = [
    ('name: "coban-a-1"', "name: 7", "name", "a name of up to 64"),
    ('name: "coban-a-1",', "", "name", "a name of up to 64"),
    ('name: "coban-a-1"', 'name: "a\\n"', "name", "a name of up to 64"),
    ('"127.0.0.1:7401"', '"localhost:1"', "http_address", "IP:PORT"),
    ('"127.0.0.1:7401"', '"::1:7401"', "http_address", "IP:PORT"),
    ('"127.0.0.1:7401"', '"127.0.0.1:0"', "http_address", "IP:PORT"),
    ('"127.0.0.1:7401"', '"127.0.0.1:7501"', "grpc_address", "another"),
    ('["127.0.0.1:7502"]', '["x"]', "peers.0", "IP:PORT"),
    ('["127.0.0.1:7502"]', "3", "peers", "a list of"),
    ("voter: true", 'voter: "yes"', "voter", "true or false"),
    ("voter: true", "voter: false", "voter", "true, because"),
    ('data_dir: "data/coban-a-1"', 'rule_file: "x"', "data_dir", "a folder"),
    ('data_dir: "data/coban-a-1"', "data_dir: 1", "data_dir", "a folder as"),
    ('1": "127.0.0.1:7502"', '1": "x"', "voters.coban-b-1", "IP:PORT"),
    ('"coban-b-1":', '"a b":', "voters.a b", "instance names"),
    ('1": "127.0.0.1:7502"', '1": "127.0.0.1:7501"', "voters", "different"),
    ('1": "127.0.0.1:7501"', '1": "10.0.0.1:1"', "voters.coban-a-1", "own"),
    ("max_streams: 50", "max_streams: 0", "limits.max_streams", "from 1"),
    ("max_streams: 50", "max_streams: 1.5", "limits.max_streams", "whole"),
    ("max_streams: 50", "max_steams: 50", "limits.max_steams", "max_streams"),
    ("limits: {max_streams: 50}", "limits: 4", "limits", "an object of"),
    (
        "watch_period_s: 1",
        "watch_period_s: NaN",
        "timing.watch_period_s",
        "0.05",
    ),
    ("watch_period_s: 1", "lease_term_s: 9.5", "timing.lease_term_s", "12 s"),
    (
        "watch_period_s: 1",
        "lease_renew_period_s: 5",
        "timing.lease_renew_period_s",
        "half of lease_term_s",
    ),
    (
        "watch_period_s: 1",
        "heartbeat_period_s: 1",
        "timing.heartbeat_period_s",
        "half of election_timeout_s",
    ),
    ('"first_come"', '"fifo"', "policy.admission", "first_come"),
    ("voter: true", "voters: {}", "file", "no duplicate keys"),
    ("voter: true", "voter true", "file", "JSON with comments"),
    ("voter: true", "tls: {key_file: 'k'}", "tls.ca_file", "path of a file"),
    ("voter: true", "colour: 1", "colour", "one of the keys name"),
    ("voter: true", "announce_key_hash: 'x'", "announce_key_hash", "64 hex"),
]


@pytest.mark.parametrize(("old", "new", "key", "allowed"), _ERRORS)
def test_error_names_key_and_allowed_values(
    old: str, new: str, key: str, allowed: str
) -> None:
    """Guards against errors without the key or the allowed values."""
    assert old in BASE
    loaded = rules.parse_settings(BASE.replace(old, new), "/")
    assert isinstance(loaded, rules.SettingsErrors)
    found = [error for error in loaded.errors if error.key == key]
    assert found, str(loaded)
    assert any(allowed in error.allowed for error in found), str(loaded)


def test_all_errors_are_reported_together() -> None:
    """Guards against reporting only the first error."""
    text = BASE.replace("50", "0").replace('zone: "coban-a"', "zone: 1")
    loaded = rules.parse_settings(text, "/")
    assert isinstance(loaded, rules.SettingsErrors)
    assert {error.key for error in loaded.errors} == {
        "zone",
        "limits.max_streams",
    }


@pytest.mark.parametrize("content", [b"\xff\xfe{", b"", b"[]", b"[" * 100_000])
def test_unreadable_files_return_errors(
    tmp_path: pathlib.Path, content: bytes
) -> None:
    """Guards against a traceback instead of an error value."""
    path = tmp_path / "settings.json"
    path.write_bytes(content)
    assert isinstance(rules.load_settings(str(path)), rules.SettingsErrors)
    assert isinstance(rules.load_settings(str(tmp_path)), rules.SettingsErrors)
    assert isinstance(rules.load_settings("\x00"), rules.SettingsErrors)
