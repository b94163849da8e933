"""What every instance sees of the replicated state."""

import abc
from collections.abc import Callable

import mulberry_core as core
from mulberry_state import _commands, _view


class StateClient(abc.ABC):
    """Proposes commands and reads the local view.

    Implementations may be called from any thread.
    """

    @abc.abstractmethod
    def propose(
        self, command: _commands.Command, timeout_s: float
    ) -> _commands.Result | core.Refusal:
        """Applies a command through the leader and returns its result.

        Returns:
            The result once a quorum has synced the command, or a refusal of
            kind `QUORUM_UNAVAILABLE` when that did not happen in time; the
            command may then still be applied later.
        """

    @abc.abstractmethod
    def view(self) -> _view.View:
        """Returns the newest view known here, without blocking."""

    @abc.abstractmethod
    def lease_remaining_s(self) -> float:
        """Returns how long this instance may trust its view, 0 if expired."""

    @abc.abstractmethod
    def view_age_s(self) -> float:
        """Returns for how long the view may have been outdated, seconds.

        Counts from the sending of the last renewal that was granted, and is
        infinite before the first.
        """

    @abc.abstractmethod
    def refresh(self, timeout_s: float) -> bool:
        """Fetches the newest view now, rather than with the next renewal.

        Returns:
            Whether `view` now holds every change that was committed before
            this call.
        """

    @abc.abstractmethod
    def set_report_source(self, source: Callable[[], bytes]) -> None:
        """Tells the leader what `source` returns with each renewal.

        The leader has it in `StateNode.reports`; empty says nothing.
        """

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[_view.View], None]) -> None:
        """Calls back with each new view, on a thread of the client."""
