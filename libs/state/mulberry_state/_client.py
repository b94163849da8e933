"""Interface of the clients of the replicated state."""

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
            kind `QUORUM_UNAVAILABLE` if that did not happen in time; the
            command may then still be applied later.
        """

    @abc.abstractmethod
    def view(self) -> _view.View:
        """Returns the latest view received, without blocking."""

    @abc.abstractmethod
    def lease_remaining_s(self) -> float:
        """Returns the remaining time of the rules lease, 0 if it has expired.

        The instance may act until then on the view, and on what callbacks have
        derived from it, if it reads them after this: a renewal installs a new
        view before it extends the lease.
        """

    @abc.abstractmethod
    def view_age_s(self) -> float:
        """Returns the maximum age of the view, seconds.

        Counts from when the last granted renewal was sent; infinite before the
        first.
        """

    @abc.abstractmethod
    def refresh(self, timeout_s: float) -> bool:
        """Fetches the latest view now instead of with the next renewal.

        Returns:
            Whether `view` now includes every change that was committed before
            this call.
        """

    @abc.abstractmethod
    def set_report_source(self, source: Callable[[], bytes]) -> None:
        """Attaches what `source` returns to each lease renewal.

        The leader stores it in `StateNode.reports`; an empty report is ignored.
        """

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[_view.View], None]) -> None:
        """Registers a callback for new views, run on a thread of the client.

        The lease is extended only after all callbacks have returned, so they
        must neither block for long nor call the client.
        """
