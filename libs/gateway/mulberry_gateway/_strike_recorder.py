"""Records strikes in the replicated state, outside of request tasks."""

import mulberry_core as core
import mulberry_state as state

#: Commands that may wait for a quorum. Few are expected, because a content is
#: recorded only after two upstreams were lost.
_MAX_WAITING = 1_000


class StrikeRecorder:
    """Proposes strikes and their removal until each is committed."""

    def __init__(
        self, client: state.StateClient, log: core.DecisionLog
    ) -> None:
        """Creates a recorder with an empty queue.

        Args:
            client: Takes the proposals.
            log: Receives an event for each command.
        """
        self._log = log
        self._queue = state.ProposalQueue(
            client,
            core.TaskPool("strikes", 1),
            _MAX_WAITING,
            self._on_recorded,
            self._on_refused,
        )

    def record(self, digest: str, upstream: str, incarnation: int) -> None:
        """Records that an upstream was lost while it ran a content."""
        self._add(
            state.RecordCrash(
                state.new_command_id(), upstream, incarnation, (digest,)
            )
        )

    def clear(self, digest: str) -> None:
        """Records that the strikes of a content are cleared."""
        self._add(state.ClearStrikes(state.new_command_id(), (digest,)))

    def waiting(self) -> int:
        """Returns the number of commands that are not committed yet."""
        return self._queue.waiting()

    def _add(self, command: state.RecordCrash | state.ClearStrikes) -> None:
        if not self._queue.add(command):
            self._log.note(
                "strike_not_recorded",
                keep=True,
                reason="the queue is full, or the command cannot be encoded",
            )

    def _on_refused(
        self, command: state.Command, refusal: core.Refusal
    ) -> None:
        self._log.note(
            "strike_not_recorded",
            keep=True,
            command=type(command).__name__,
            reason=refusal.reason,
            waiting=self._queue.waiting(),
        )

    def _on_recorded(
        self, command: state.Command, result: state.Result
    ) -> None:
        content_digests: tuple[str, ...] = ()
        if isinstance(command, state.RecordCrash | state.ClearStrikes):
            content_digests = command.digests
        self._log.note(
            "strike_recorded",
            keep=True,
            command=type(command).__name__,
            contents=content_digests,
        )
