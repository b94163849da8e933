"""Watches the rule file and submits it after it was saved.

The outcome of each saved file is written to `FILE.status` next to it. No other
file is written: the rule file belongs to the operator and the editor.

Once a file is accepted, the number in its `edited-from` line is outdated. The
status file states the number for the next edit. If an operator leaves the old
number in place, the watcher updates it where that is safe: the file must
contain every change accepted since then (see `mulberry_rules.rebase`). A file
that would revert such a change, for example a copy that a colleague edited at
the same time, is a conflict.
"""

import dataclasses
import hashlib
import os
import pathlib
import re
import threading
import time
from collections.abc import Callable
from concurrent import futures

from absl import logging

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state

#: Larger files are rejected. The parser also has a limit, in characters.
_MAX_FILE_BYTES = 2_000_000
#: First word of the outcome of a file that will be submitted again.
_WAITING = "waiting"

_DIGEST = re.compile(r"sha256 ([0-9a-f]{64})")

SubmitResult = state.RulesAccepted | state.RulesConflict | state.RulesRejected


def describe_result(result: SubmitResult) -> str:
    """Returns the text for the status file about a submission."""
    match result:
        case state.RulesAccepted(number):
            return (
                f"accepted as rules {number}\n"
                f"Begin the next edit with `edited-from {number}`."
            )
        case state.RulesConflict(number, changed_by, changes):
            return "\n".join(
                [
                    f"conflict: {changed_by} has changed the rules since "
                    "this file was edited; the rules in force are unchanged",
                    *(f"  {change}" for change in changes),
                    "Take these changes over into the file, or leave them "
                    "out to undo them, and write "
                    f"`edited-from {number}`.",
                ]
            )
        case state.RulesRejected(errors):
            return "\n".join(
                [
                    "rejected: the file has errors; the rules in force are "
                    "unchanged",
                    *(f"  {error}" for error in errors),
                ]
            )


@dataclasses.dataclass(frozen=True)
class RulesInForce:
    """Access of the watcher to accepted rules."""

    #: Returns the number of the rules in force, 0 before the first; unset while
    #: it is unknown, for example before the first rules lease.
    number: Callable[[], int | core.Missing]
    #: Returns an accepted file by its number, unset if it is unknown.
    text: Callable[[int], str | core.Missing]


@dataclasses.dataclass(frozen=True)
class _Stamp:
    """File metadata that changes when a file is saved."""

    modified_ns: int
    changed_ns: int
    size_bytes: int
    inode: int


class RuleFileWatcher:
    """Polls one rule file from the timer service."""

    def __init__(
        self,
        path: str,
        submit: Callable[[str], str | core.Refusal],
        in_force: RulesInForce,
        tasks: core.TaskPool,
    ) -> None:
        """Creates a watcher; `start` begins polling.

        Args:
            path: The rule file.
            submit: Submits a text and returns the outcome for the status
                file, or a refusal if the text must be submitted again. It
                may block; it is called by one task at a time.
            in_force: Access to accepted rules.
            tasks: Runs submissions, which take too long for a timer callback.
        """
        self._path = pathlib.Path(path)
        self._status_path = pathlib.Path(f"{path}.status")
        self._submit = submit
        self._in_force = in_force
        self._tasks = tasks
        self._lock = threading.Lock()
        self._submission: futures.Future[None] | core.Missing = (
            core.Missing.UNSET
        )
        self._last_seen: _Stamp | core.Missing = core.Missing.UNSET
        self._last_handled: _Stamp | core.Missing = core.Missing.UNSET
        self._handled_digest = ""
        self._written_status = self._read_status()

    def start(
        self, timers: core.TimerService, period_s: float
    ) -> core.Subscription:
        """Polls every `period_s` seconds until the subscription is cancelled.

        A file is submitted once it has not changed for one period, so that
        partially written files are ignored.
        """
        return timers.every(period_s, self.poll, "rule-file")

    def poll(self) -> None:
        """Checks the file once."""
        with self._lock:
            submission = self._submission
            if isinstance(submission, futures.Future) and not submission.done():
                return
            stamp = _stamp(self._path)
            is_unchanged = stamp == self._last_seen
            self._last_seen = stamp
            if isinstance(stamp, core.Missing):
                self._report_missing()
            elif is_unchanged and stamp != self._last_handled:
                self._submission = self._tasks.spawn(
                    "rule-file", lambda stop: self._handle(stamp)
                )

    def _handle(self, stamp: _Stamp) -> None:
        """Submits the file unless its content was already submitted."""
        content = self._read(stamp)
        if isinstance(content, core.Missing):
            # It changed while being read; later polls see the new stamp.
            return
        digest = hashlib.sha256(content).hexdigest()
        if not self._was_handled(digest):
            outcome = self._outcome(content)
            if isinstance(outcome, core.Refusal):
                self._write_status(
                    stamp, digest, f"{_WAITING}: {outcome.reason}"
                )
                return
            self._write_status(stamp, digest, outcome)
            self._handled_digest = digest
        self._last_handled = stamp

    def _was_handled(self, digest: str) -> bool:
        """Whether this content has an outcome, including before a restart.

        Submitting it again could revert later changes of another operator. A
        deployment without rules is new, so that a status file left by an
        earlier deployment is ignored.
        """
        if digest == self._handled_digest:
            return True
        if self._in_force.number() in (0, core.Missing.UNSET):
            return False
        # Another instance that watches the same file may have written it.
        written = self._read_status()
        recorded_digest = _DIGEST.search(written)
        waiting = f"\n{_WAITING}" in written
        return bool(
            recorded_digest
            and recorded_digest.group(1) == digest
            and not waiting
        )

    def _outcome(self, content: bytes) -> str | core.Refusal:
        try:
            text = content.decode("utf-8-sig")
        except UnicodeDecodeError as error:
            return (
                f"rejected: the file is not UTF-8 text ({error}); the rules "
                "in force are unchanged"
            )
        if len(content) > _MAX_FILE_BYTES:
            return (
                f"rejected: the file is larger than {_MAX_FILE_BYTES} bytes; "
                "the rules in force are unchanged"
            )
        number = self._in_force.number()
        if isinstance(number, core.Missing):
            return core.Refusal(
                core.ErrorKind.RULES_LEASE_EXPIRED,
                core.RunState.NOT_RUN,
                "this instance does not know the rules in force yet",
            )
        accepted = self._in_force.text(number) if number else ""
        if isinstance(accepted, str) and rules.same_content(text, accepted):
            return (
                f"in force already as rules {number}\n"
                f"Begin the next edit with `edited-from {number}`."
            )
        return self._submit_rebased(text, number)

    def _submit_rebased(self, text: str, number: int) -> str | core.Refusal:
        rebased = rules.rebase(text, number, self._in_force.text)
        outcome = self._submit(rebased)
        if rebased == text or isinstance(outcome, core.Refusal):
            return outcome
        if not outcome.startswith("accepted"):
            return outcome
        return (
            f"{outcome}\nThe file says `edited-from {rules.edited_from(text)}`. "
            f"It holds every change up to rules {number} and was taken as "
            "edited from them."
        )

    def _read(self, stamp: _Stamp) -> bytes | core.Missing:
        """Returns the content, unset if it changed or cannot be read."""
        try:
            with self._path.open("rb") as file:
                content = file.read(_MAX_FILE_BYTES + 1)
        except OSError as error:
            logging.warning(
                "rule file %s cannot be read: %s", self._path, error
            )
            return core.Missing.UNSET
        return content if _stamp(self._path) == stamp else core.Missing.UNSET

    def _report_missing(self) -> None:
        text = (
            f"{self._path.name}\n{_WAITING}: the file is missing or cannot be "
            "read; the rules in force are unchanged\n"
        )
        self._write(text)

    def _write_status(self, stamp: _Stamp, digest: str, outcome: str) -> None:
        saved = time.strftime(
            "%Y-%m-%d %H:%M:%S", time.gmtime(stamp.modified_ns / 1e9)
        )
        self._write(
            f"{self._path.name}, saved {saved} UTC, sha256 {digest}\n"
            f"{outcome}\n"
        )

    def _write(self, text: str) -> None:
        """Replaces the status file atomically if its content differs."""
        if text == self._written_status:
            return
        temporary = self._status_path.with_name(f"{self._status_path.name}.new")
        try:
            temporary.write_text(text, encoding="utf-8")
            os.replace(temporary, self._status_path)
        except OSError as error:
            logging.error("%s cannot be written: %s", self._status_path, error)
        # Set even after a failure, so that each outcome is logged only once.
        self._written_status = text
        logging.info("rule file: %s", text.strip().replace("\n", " | "))

    def _read_status(self) -> str:
        try:
            return self._status_path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError):
            return ""


def _stamp(path: pathlib.Path) -> _Stamp | core.Missing:
    try:
        status = path.stat()
    except OSError:
        return core.Missing.UNSET
    return _Stamp(
        modified_ns=status.st_mtime_ns,
        changed_ns=status.st_ctime_ns,
        size_bytes=status.st_size,
        inode=status.st_ino,
    )
