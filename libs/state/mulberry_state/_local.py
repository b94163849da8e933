"""State client with an in-process state machine and no log."""

import threading
from collections.abc import Callable, Mapping

import mulberry_core as core
from mulberry_state import _client, _commands, _machine, _parser, _view


class LocalStateClient(_client.StateClient):
    """Applies commands directly to a state machine in memory.

    For tests and embedding; nothing is persisted.
    """

    def __init__(
        self,
        parser: _parser.RulesParser,
        clock: core.Clock,
        lease_term_s: float = 8.0,
        voters_by_name: Mapping[str, str] | None = None,
    ) -> None:
        self._clock = clock
        self._lease_term_s = lease_term_s
        self._lock = threading.Lock()
        #: For tests and embedding applications; access it only while no other
        #: thread proposes.
        self.machine = _machine.StateMachine(parser)
        self._callbacks: list[Callable[[_view.View], None]] = []
        self._lease_ends_s = float("inf")
        if voters_by_name:
            self.machine.set_voters(voters_by_name, "settings", self._stamp())

    def propose(
        self, command: _commands.Command, timeout_s: float
    ) -> _commands.Result | core.Refusal:
        """Applies a command and returns its result."""
        with self._lock:
            before = self.machine.view.revision
            result = self.machine.apply(command, self._stamp())
            view = self.machine.view
            callbacks = tuple(self._callbacks)
        if view.revision != before:
            for callback in callbacks:
                callback(view)
        return result

    def view(self) -> _view.View:
        """Returns the view after the last command."""
        return self.machine.view

    def lease_remaining_s(self) -> float:
        """Returns the full lease term, or less after `stop_renewing`."""
        remaining_s = self._lease_ends_s - self._clock.now()
        return max(0.0, min(self._lease_term_s, remaining_s))

    def view_age_s(self) -> float:
        """Returns zero until `stop_renewing`."""
        elapsed_s = self._lease_term_s - self.lease_remaining_s()
        return max(0.0, elapsed_s)

    def refresh(self, timeout_s: float) -> bool:
        """Returns true: the view is always current."""
        return True

    def set_report_source(self, source: Callable[[], bytes]) -> None:
        """Does nothing: there is no leader to report to."""

    def subscribe(self, callback: Callable[[_view.View], None]) -> None:
        """Registers a callback for new views, run on the proposing thread."""
        with self._lock:
            self._callbacks.append(callback)

    def stop_renewing(self) -> None:
        """Lets the rules lease expire, as on an isolated instance."""
        self._lease_ends_s = self._clock.now() + self._lease_term_s

    def resume_renewing(self) -> None:
        """Undoes `stop_renewing`."""
        self._lease_ends_s = float("inf")

    def _stamp(self) -> _machine.Stamp:
        return _machine.Stamp(
            index=self.machine.index + 1,
            wall_s=self._clock.wall(),
            log_s=self._clock.now(),
        )
