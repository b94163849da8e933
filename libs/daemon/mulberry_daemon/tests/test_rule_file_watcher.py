"""Tests of the rule file watcher."""

import pathlib
from collections.abc import Callable
from concurrent import futures

import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_daemon import _rule_file_watcher

_BASE = """\
edited-from 0
model m cost 1 quality 0.9 # asked by x
version m 1                # asked by x
"""


class _InlineTasks(core.TaskPool):
    """Runs each task synchronously in `spawn`."""

    def __init__(self) -> None:
        super().__init__("inline", 1)

    def spawn(
        self, name: str, task: Callable[..., None]
    ) -> futures.Future[None]:
        """Runs the task and returns a finished future."""
        done: futures.Future[None] = futures.Future()
        task(self.stopping)
        done.set_result(None)
        return done


class _FakeRules:
    """A fake of the replicated rules."""

    def __init__(self) -> None:
        self.texts: list[str] = [""]
        self.submitted: list[str] = []
        self.refusing = False
        self.known = True

    def number(self) -> int | core.Missing:
        return len(self.texts) - 1 if self.known else core.Missing.UNSET

    def text(self, number: int) -> str | core.Missing:
        if number < len(self.texts):
            return self.texts[number]
        return core.Missing.UNSET

    def submit(self, text: str) -> str | core.Refusal:
        if self.refusing:
            return core.Refusal(
                core.ErrorKind.QUORUM_UNAVAILABLE,
                core.RunState.NOT_RUN,
                "no quorum",
            )
        self.submitted.append(text)
        return _rule_file_watcher.describe_result(self._result(text))

    def _result(self, text: str) -> _rule_file_watcher.SubmitResult:
        parsed = rules.parse_rules(text)
        if isinstance(parsed, rules.RuleErrors):
            return state.RulesRejected(tuple(map(str, parsed.errors)))
        newest = len(self.texts) - 1
        if parsed.edited_from != newest:
            return state.RulesConflict(newest, "Inés", ("A change.",))
        self.texts.append(text)
        return state.RulesAccepted(newest + 1)


class _WatchedFile:
    """A watched file with its status file and watcher."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / "a.rules"
        self.status_path = folder / "a.rules.status"
        self.fake_rules = _FakeRules()
        self.restart()

    def restart(self) -> None:
        self.watcher = _rule_file_watcher.RuleFileWatcher(
            str(self.path),
            self.fake_rules.submit,
            _rule_file_watcher.RulesInForce(
                self.fake_rules.number, self.fake_rules.text
            ),
            _InlineTasks(),
        )

    def save(self, text: str) -> str:
        """Saves the file and returns the status after two polls."""
        self.path.write_text(text)
        self.watcher.poll()
        self.watcher.poll()
        return self.status_path.read_text()


@pytest.fixture
def watched(tmp_path: pathlib.Path) -> _WatchedFile:
    return _WatchedFile(tmp_path)


def test_saved_file_is_submitted_once(watched: _WatchedFile) -> None:
    """Guards against missed or repeated submissions and file changes."""
    status = watched.save(_BASE)
    assert "accepted as rules 1" in status
    assert "`edited-from 1`" in status
    watched.watcher.poll()
    watched.path.touch()
    watched.watcher.poll()
    watched.watcher.poll()
    assert watched.fake_rules.submitted == [_BASE]
    assert watched.path.read_text() == _BASE
    names = {path.name for path in watched.path.parent.iterdir()}
    assert names == {"a.rules", "a.rules.status"}


def test_partially_written_file_is_ignored(watched: _WatchedFile) -> None:
    """Guards against the submission of a partially written file."""
    for end in range(20, len(_BASE), 20):
        watched.path.write_text(_BASE[:end])
        watched.watcher.poll()
    watched.path.write_text(_BASE)
    watched.watcher.poll()
    assert watched.fake_rules.submitted == []
    watched.watcher.poll()
    assert watched.fake_rules.submitted == [_BASE]


def test_timer_service_drives_the_watcher(watched: _WatchedFile) -> None:
    """Guards against a watcher that is never called."""
    clock = core.ManualClock()
    timers = core.TimerService(clock)
    subscription = watched.watcher.start(timers, 0.5)
    watched.path.write_text(_BASE)
    for _ in range(2):
        clock.advance(0.5)
        timers.run_due()
    assert watched.fake_rules.submitted == [_BASE]
    subscription.cancel()


def test_errors_are_written_to_the_status_file(watched: _WatchedFile) -> None:
    """Guards against errors that are not reported to the operator."""
    watched.save(_BASE)
    status = watched.save(_BASE + "modle x\n")
    assert "rejected" in status
    assert "line 4" in status
    assert watched.fake_rules.number() == 1
    watched.path.write_bytes(b"\xff\xfe")
    watched.watcher.poll()
    watched.watcher.poll()
    assert "not UTF-8" in watched.status_path.read_text()


def test_next_edit_with_the_old_number_is_accepted(
    watched: _WatchedFile,
) -> None:
    """Guards against a conflict of an operator with their own last change."""
    watched.save(_BASE)
    second = _BASE.replace("from 0", "from 1") + "version m 2 # asked by x\n"
    assert "accepted as rules 2" in watched.save(second)
    third = second.replace("version m 1  ", "withdraw m 1 ")
    status = watched.save(third)
    assert "accepted as rules 3" in status
    assert "taken as edited from them" in status
    # This reverts the last change, just as a stale copy would.
    fourth = third.replace("version m 2", "version m 3")
    assert "conflict" in watched.save(fourth)
    fourth = fourth.replace("from 1", "from 3")
    assert "accepted as rules 4" in watched.save(fourth)


def test_stale_copy_is_a_conflict(watched: _WatchedFile) -> None:
    """Guards against lost updates of operators with the same base number."""
    watched.save(_BASE)
    watched.save(_BASE.replace("from 0", "from 1") + "service a # asked by x\n")
    stale = _BASE.replace("from 0", "from 1") + "service b # asked by y\n"
    status = watched.save(stale)
    assert "conflict" in status
    assert "`edited-from 2`" in status
    assert watched.fake_rules.number() == 2
    renewed = stale.replace("from 1", "from 2")
    assert "accepted as rules 3" in watched.save(renewed)


def test_restart_does_not_revert_later_changes(
    watched: _WatchedFile,
) -> None:
    """Guards against a restart or a touch that reverts later changes."""
    with_service = _BASE + "service a # asked by x\n"
    watched.save(_BASE)
    watched.save(with_service)
    watched.fake_rules.texts.append(_BASE.replace("from 0", "from 2"))
    before = len(watched.fake_rules.submitted)
    watched.restart()
    watched.save(with_service)
    assert len(watched.fake_rules.submitted) == before
    status = watched.save(with_service + "service b # asked by x\n")
    assert "conflict" in status
    assert watched.fake_rules.number() == 3


def test_new_deployment_ignores_an_old_status_file(
    watched: _WatchedFile,
) -> None:
    """Guards against a new deployment that ignores its rule file."""
    watched.save(_BASE)
    watched.fake_rules.texts = [""]
    watched.restart()
    assert "accepted as rules 1" in watched.save(_BASE)


def test_file_is_submitted_once_a_quorum_is_available(
    watched: _WatchedFile,
) -> None:
    """Guards against a saved file that is lost during an outage."""
    watched.fake_rules.refusing = True
    assert "waiting: no quorum" in watched.save(_BASE)
    watched.restart()
    watched.fake_rules.known = False
    assert "waiting: this instance" in watched.save(_BASE)
    watched.fake_rules.known = True
    watched.fake_rules.refusing = False
    watched.watcher.poll()
    assert "accepted as rules 1" in watched.status_path.read_text()


def test_missing_file_and_unwritable_status(watched: _WatchedFile) -> None:
    """Guards against a watcher that stops on file errors."""
    watched.watcher.poll()
    assert "missing" in watched.status_path.read_text()
    watched.status_path.unlink()
    watched.status_path.mkdir()
    watched.path.write_text(_BASE)
    for _ in range(3):
        watched.watcher.poll()
    assert watched.fake_rules.submitted == [_BASE]
