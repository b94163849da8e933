"""Tests of session pins shared by several entries."""

import dataclasses
from collections.abc import Iterator

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
import mulberry_state as state
from mulberry_entry import _requests, _versions
from mulberry_entry.tests import harness

_BOTH_VERSIONS = harness.RULES + "version m v2  # asked by test\n"
_WITHOUT_V1 = _BOTH_VERSIONS + "withdraw m v1  # asked by test\n"


@pytest.fixture
def entry_harness() -> Iterator[harness.Harness]:
    started = harness.Harness()
    yield started
    started.stop()


class _Entries:
    """Entries with separate pin caches and one replicated state."""

    def __init__(self, entry_harness: harness.Harness, count: int) -> None:
        self._state = entry_harness.state
        self._now_s = entry_harness.clock.now()
        self._pickers = []
        for _ in range(count):
            components = dataclasses.replace(
                entry_harness.components,
                pins=entry.SessionPins(
                    entry_harness.state, entry_harness.counters
                ),
            )
            self._pickers.append(_versions.VersionPicker(components))

    def accept(self, text: str) -> None:
        number = self._state.view().rules_number
        result = self._state.propose(
            state.SubmitRules(f"rules {number}", text, number, "test"), 1.0
        )
        assert isinstance(result, state.RulesAccepted), result

    def version_at(self, index: int) -> str | core.Refusal:
        request = _requests.CallerRequest(
            request_id="request",
            team="equipo",
            idempotency_key=core.Missing.UNSET,
            session="session",
            kind_name=core.Missing.UNSET,
            deadline_s=core.Missing.UNSET,
            arrived_s=self._now_s,
            content_type="",
            body=b"",
        )
        work = decisions.Work("equipo", "default", 2, self._now_s, "session")
        return self._pickers[index].pick(request, work, "m")


def test_entry_uses_pin_moved_by_another_entry(
    entry_harness: harness.Harness,
) -> None:
    """Guards against a session whose version depends on the entry.

    An entry that got no request of the session while its version was withdrawn
    must not return to its cached pin once that version is usable again.
    """
    entries = _Entries(entry_harness, 2)
    entries.accept(_BOTH_VERSIONS)
    assert [entries.version_at(0), entries.version_at(1)] == ["v1", "v1"]
    entries.accept(_WITHOUT_V1)
    assert entries.version_at(1) == "v2"
    entries.accept(_BOTH_VERSIONS)
    assert [entries.version_at(1), entries.version_at(0)] == ["v2", "v2"]


def test_pin_is_kept_without_a_quorum(entry_harness: harness.Harness) -> None:
    """Guards against a version change when a pin cannot be confirmed."""
    entries = _Entries(entry_harness, 1)
    entries.accept(_WITHOUT_V1)
    assert entries.version_at(0) == "v2"
    entries.accept(_BOTH_VERSIONS)
    entry_harness.state.failing = (state.PinSession,)
    assert entries.version_at(0) == "v2"
