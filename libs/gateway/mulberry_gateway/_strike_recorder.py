"""Records strikes in the replicated state, off the tasks of requests."""

import collections
import threading
import time
from collections.abc import Callable

import mulberry_core as core
import mulberry_state as state

_PROPOSE_TIMEOUT_S = 2.0
#: Between two proposals while there is no quorum, seconds.
_PAUSE_S = 0.5
#: Commands that may wait for a quorum; each is a content that was lost with
#: two upstreams, so there are few.
_MAX_WAITING = 1_000

_Command = state.RecordCrash | state.ClearStrikes


class StrikeRecorder:
    """Proposes one command after another until each is recorded."""

    def __init__(
        self,
        client: state.StateClient,
        on_recorded: Callable[[str, str, int], None],
        log: core.DecisionLog,
    ) -> None:
        """Creates a recorder that has nothing to record.

        Args:
            client: Takes the proposals.
            on_recorded: Called with content, upstream and incarnation of each
                strike once it is recorded.
            log: Receives a line for each command.
        """
        self._client = client
        self._on_recorded = on_recorded
        self._log = log
        self._lock = threading.Lock()
        self._waiting: collections.deque[_Command] = collections.deque()
        self._is_running = False
        self._pool = core.TaskPool("strikes", 1)

    def record(self, content: str, upstream: str, incarnation: int) -> None:
        """Records that an upstream was lost during a run of a content."""
        self._add(
            state.RecordCrash(
                state.new_command_id(), upstream, incarnation, (content,)
            )
        )

    def clear(self, content: str) -> None:
        """Records that a content is no longer suspected."""
        self._add(state.ClearStrikes(state.new_command_id(), (content,)))

    def _add(self, command: _Command) -> None:
        with self._lock:
            is_full = len(self._waiting) >= _MAX_WAITING
            if not is_full:
                self._waiting.append(command)
            starts = not self._is_running
            self._is_running = True
        if is_full:
            self._log.note("strike_not_recorded", keep=True, reason="full")
        if starts:
            self._pool.spawn("record strikes", self._run)

    def _run(self, stop: threading.Event) -> None:
        while not stop.is_set():
            with self._lock:
                if not self._waiting:
                    self._is_running = False
                    return
                command = self._waiting[0]
            began_s = time.monotonic()
            result = self._client.propose(command, _PROPOSE_TIMEOUT_S)
            if isinstance(result, core.Refusal):
                self._log.note(
                    "strike_not_recorded",
                    keep=True,
                    command=type(command).__name__,
                    reason=result.reason,
                    waiting=len(self._waiting),
                )
                stop.wait(max(0.0, began_s + _PAUSE_S - time.monotonic()))
                continue
            with self._lock:
                self._waiting.popleft()
            if isinstance(command, state.RecordCrash):
                for content in command.digests:
                    self._on_recorded(
                        content, command.upstream, command.incarnation
                    )
            self._log.note(
                "strike_recorded",
                keep=True,
                command=type(command).__name__,
                contents=command.digests,
            )
