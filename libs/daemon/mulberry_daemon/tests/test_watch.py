"""Tests of the watcher of the rule file."""

import pathlib
from collections.abc import Callable
from concurrent import futures

import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_daemon import _watch

_BASE = """\
edited-from 0
model m cost 1 quality 0.9 # asked by x
version m 1                # asked by x
"""


class _InlineTasks(core.TaskPool):
    """Runs each task at once, so that tests need no waiting."""

    def __init__(self) -> None:
        super().__init__("inline", 1)

    def spawn(
        self, name: str, task: Callable[..., None]
    ) -> futures.Future[None]:
        """Runs the task to its end."""
        done: futures.Future[None] = futures.Future()
        task(self.stopping)
        done.set_result(None)
        return done


class _RuleBook:
    """A stand-in of the replicated rules."""

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
        return _watch.describe(self._result(text))

    def _result(self, text: str) -> _watch.SubmitResult:
        parsed = rules.parse_rules(text)
        if isinstance(parsed, rules.RuleErrors):
            return state.RulesRejected(tuple(map(str, parsed.errors)))
        newest = len(self.texts) - 1
        if parsed.edited_from != newest:
            return state.RulesConflict(newest, "Inés", ("A change.",))
        self.texts.append(text)
        return state.RulesAccepted(newest + 1)


class _Bench:
    """A watched file in a folder of its own."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / "a.rules"
        self.status_path = folder / "a.rules.status"
        self.book = _RuleBook()
        self.restart()

    def restart(self) -> None:
        self.watcher = _watch.RuleFileWatcher(
            str(self.path),
            self.book.submit,
            _watch.RulesInForce(self.book.number, self.book.text),
            _InlineTasks(),
        )

    def save(self, text: str) -> str:
        """Saves the file and returns the status after two periods."""
        self.path.write_text(text)
        self.watcher.poll()
        self.watcher.poll()
        return self.status_path.read_text()


@pytest.fixture
def bench(tmp_path: pathlib.Path) -> _Bench:
    return _Bench(tmp_path)


def test_saved_file_is_submitted_once(bench: _Bench) -> None:
    """Guards against missed saves, repeats, and a rewritten rule file."""
    status = bench.save(_BASE)
    assert "accepted as rules 1" in status
    assert "`edited-from 1`" in status
    bench.watcher.poll()
    bench.path.touch()
    bench.watcher.poll()
    bench.watcher.poll()
    assert bench.book.submitted == [_BASE]
    assert bench.path.read_text() == _BASE
    names = {path.name for path in bench.path.parent.iterdir()}
    assert names == {"a.rules", "a.rules.status"}


def test_file_is_left_alone_while_it_is_written(bench: _Bench) -> None:
    """Guards against the first half of a file being put in force."""
    for end in range(20, len(_BASE), 20):
        bench.path.write_text(_BASE[:end])
        bench.watcher.poll()
    bench.path.write_text(_BASE)
    bench.watcher.poll()
    assert bench.book.submitted == []
    bench.watcher.poll()
    assert bench.book.submitted == [_BASE]


def test_timer_service_drives_the_watcher(bench: _Bench) -> None:
    """Guards against a watcher that is never called."""
    clock = core.ManualClock()
    timers = core.TimerService(clock)
    subscription = bench.watcher.start(timers, 0.5)
    bench.path.write_text(_BASE)
    for _ in range(2):
        clock.advance(0.5)
        timers.run_due()
    assert bench.book.submitted == [_BASE]
    subscription.cancel()


def test_invalid_file_gets_its_errors_beside_it(bench: _Bench) -> None:
    """Guards against errors that the operator does not see."""
    bench.save(_BASE)
    status = bench.save(_BASE + "modle x\n")
    assert "rejected" in status
    assert "line 4" in status
    assert bench.book.number() == 1
    bench.path.write_bytes(b"\xff\xfe")
    bench.watcher.poll()
    bench.watcher.poll()
    assert "not UTF-8" in bench.status_path.read_text()


def test_next_edit_with_the_old_number_is_accepted(bench: _Bench) -> None:
    """Guards against operators in conflict with their own last change."""
    bench.save(_BASE)
    second = _BASE.replace("from 0", "from 1") + "version m 2 # asked by x\n"
    assert "accepted as rules 2" in bench.save(second)
    third = second.replace("version m 1  ", "withdraw m 1 ")
    status = bench.save(third)
    assert "accepted as rules 3" in status
    assert "taken as edited from them" in status
    # The last change itself is taken back; a stale copy would look the same.
    fourth = third.replace("version m 2", "version m 3")
    assert "conflict" in bench.save(fourth)
    fourth = fourth.replace("from 1", "from 3")
    assert "accepted as rules 4" in bench.save(fourth)


def test_stale_copy_of_a_colleague_is_a_conflict(bench: _Bench) -> None:
    """Guards against two operators with equal numbers undoing each other."""
    bench.save(_BASE)
    bench.save(_BASE.replace("from 0", "from 1") + "service a # asked by x\n")
    stale = _BASE.replace("from 0", "from 1") + "service b # asked by y\n"
    status = bench.save(stale)
    assert "conflict" in status
    assert "`edited-from 2`" in status
    assert bench.book.number() == 2
    renewed = stale.replace("from 1", "from 2")
    assert "accepted as rules 3" in bench.save(renewed)


def test_restart_does_not_put_back_what_a_colleague_changed(
    bench: _Bench,
) -> None:
    """Guards against a restart, or a touch, that undoes later changes."""
    with_service = _BASE + "service a # asked by x\n"
    bench.save(_BASE)
    bench.save(with_service)
    bench.book.texts.append(_BASE.replace("from 0", "from 2"))
    before = len(bench.book.submitted)
    bench.restart()
    bench.save(with_service)
    assert len(bench.book.submitted) == before
    status = bench.save(with_service + "service b # asked by x\n")
    assert "conflict" in status
    assert bench.book.number() == 3


def test_new_deployment_takes_a_file_with_an_old_status(
    bench: _Bench,
) -> None:
    """Guards against a new deployment that gets no rules at all."""
    bench.save(_BASE)
    bench.book.texts = [""]
    bench.restart()
    assert "accepted as rules 1" in bench.save(_BASE)


def test_file_waits_for_a_quorum(bench: _Bench) -> None:
    """Guards against a saved file that is forgotten during an outage."""
    bench.book.refusing = True
    assert "waiting: no quorum" in bench.save(_BASE)
    bench.restart()
    bench.book.known = False
    assert "waiting: this instance" in bench.save(_BASE)
    bench.book.known = True
    bench.book.refusing = False
    bench.watcher.poll()
    assert "accepted as rules 1" in bench.status_path.read_text()


def test_missing_file_and_unwritable_status(bench: _Bench) -> None:
    """Guards against a watcher that stops when files cannot be used."""
    bench.watcher.poll()
    assert "missing" in bench.status_path.read_text()
    bench.status_path.unlink()
    bench.status_path.mkdir()
    bench.path.write_text(_BASE)
    for _ in range(3):
        bench.watcher.poll()
    assert bench.book.submitted == [_BASE]
