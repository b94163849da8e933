"""Background queue that proposes commands until a quorum records them."""

import collections
import threading
import time
from collections.abc import Callable

from absl import logging

import mulberry_core as core
from mulberry_state import _client, _codec, _commands

_PROPOSE_TIMEOUT_S = 2.0
#: Minimum time from the start of a failed proposal to the next one, seconds.
_RETRY_PERIOD_S = 0.5


def _ignore_result(
    command: _commands.Command, result: _commands.Result
) -> None:
    """Default callback: ignores the result."""


def _ignore_refusal(command: _commands.Command, refusal: core.Refusal) -> None:
    """Default callback: ignores the refusal."""


class ProposalQueue:
    """Proposes commands one at a time, in the background.

    Commands are recorded in the order in which they were added. Only a command
    whose proposal raises an exception moves to the end of the queue.
    """

    def __init__(
        self,
        client: _client.StateClient,
        tasks: core.TaskPool,
        max_waiting: int,
        on_recorded: Callable[
            [_commands.Command, _commands.Result], None
        ] = _ignore_result,
        on_refused: Callable[
            [_commands.Command, core.Refusal], None
        ] = _ignore_refusal,
    ) -> None:
        """Creates an empty queue; a thread runs only while commands wait.

        Args:
            client: Client to propose through.
            tasks: Provides the thread.
            max_waiting: Maximum number of queued commands; bounds memory while
                there is no quorum.
            on_recorded: Called with each recorded command and its result.
            on_refused: Called with each refusal; the command is retried.
        """
        self._client = client
        self._tasks = tasks
        self._max_waiting = max_waiting
        self._on_recorded = on_recorded
        self._on_refused = on_refused
        self._lock = threading.Lock()
        self._waiting: collections.deque[_commands.Command] = (
            collections.deque()
        )
        self._is_running = False

    def add(self, command: _commands.Command) -> bool:
        """Queues a command.

        Returns:
            False if the queue is full or stopped, or if the command cannot be
            encoded; the command is then not proposed.
        """
        try:
            _codec.encode_command(command)
        except (ValueError, TypeError):
            # It would be tried again for ever.
            logging.exception("cannot encode %s", type(command).__name__)
            return False
        with self._lock:
            if (
                len(self._waiting) >= self._max_waiting
                or self._tasks.stopping.is_set()
            ):
                return False
            self._waiting.append(command)
            if not self._is_running:
                self._tasks.spawn("propose", self._run)
                self._is_running = True
            return True

    def waiting(self) -> int:
        """Returns the number of commands that are not recorded yet."""
        with self._lock:
            return len(self._waiting)

    def _run(self, stop: threading.Event) -> None:
        while not stop.is_set():
            with self._lock:
                if not self._waiting:
                    self._is_running = False
                    return
                command = self._waiting[0]
            started_s = time.monotonic()
            if not self._propose(command):
                stop.wait(
                    max(0.0, started_s + _RETRY_PERIOD_S - time.monotonic())
                )

    def _propose(self, command: _commands.Command) -> bool:
        """Proposes the first command; returns whether it was recorded."""
        try:
            result = self._client.propose(command, _PROPOSE_TIMEOUT_S)
        except Exception:
            logging.exception("proposing %s failed", type(command).__name__)
            with self._lock:
                self._waiting.rotate(-1)
            return False
        is_recorded = not isinstance(result, core.Refusal)
        if is_recorded:
            with self._lock:
                self._waiting.popleft()
        try:
            if isinstance(result, core.Refusal):
                self._on_refused(command, result)
            else:
                self._on_recorded(command, result)
        except Exception:
            logging.exception("callback for %s failed", type(command).__name__)
        return is_recorded
