"""Commands that are proposed until a quorum has recorded them."""

import collections
import threading
import time
from collections.abc import Callable

from absl import logging

import mulberry_core as core
from mulberry_state import _client, _commands

_PROPOSE_TIMEOUT_S = 2.0
#: Between the starts of two proposals of which the first has failed, seconds.
_RETRY_PERIOD_S = 0.5


def _ignore_result(
    command: _commands.Command, result: _commands.Result
) -> None:
    """For commands whose result does not matter."""


def _ignore_refusal(command: _commands.Command, refusal: core.Refusal) -> None:
    """For commands whose delay does not matter."""


class ProposalQueue:
    """Proposes one command after another, off the tasks of requests.

    Commands are recorded in the order in which they were added, unless
    proposing one raises an error: it then goes to the end of the queue.
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
        """Creates an empty queue, which uses no thread.

        Args:
            client: Takes the proposals.
            tasks: Runs them on one thread while any command waits.
            max_waiting: Commands kept at most; bounds memory for as long as
                there is no quorum.
            on_recorded: Called with each command and its result.
            on_refused: Called with each refusal; the command is tried again.
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
            False if the queue is full or stopped; the command is then not
            proposed.
        """
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
        """Returns how many commands are not recorded yet."""
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
        """Proposes the first command; returns whether it left the queue."""
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
            logging.exception(
                "the callback for %s failed", type(command).__name__
            )
        return is_recorded
