"""Tests of the background queue for proposals."""

import threading
from collections.abc import Callable, Iterator

import pytest

import mulberry_core as core
import mulberry_state as state

_TIMEOUT_S = 10.0


class Client(state.LocalStateClient):
    """Fails one proposal for each given failure, in order."""

    def __init__(self, *failures: core.Refusal | Exception) -> None:
        super().__init__(state.FileRulesParser(), core.SystemClock())
        self.failures = list(failures)
        self.proposed: list[str] = []
        #: Proposals block until this is set.
        self.is_open = threading.Event()

    def propose(
        self, command: state.Command, timeout_s: float
    ) -> state.Result | core.Refusal:
        assert self.is_open.wait(_TIMEOUT_S)
        self.proposed.append(_name(command))
        if self.failures:
            failure = self.failures.pop(0)
            if isinstance(failure, Exception):
                raise failure
            return failure
        return super().propose(command, timeout_s)


_NO_QUORUM = core.Refusal(
    core.ErrorKind.QUORUM_UNAVAILABLE, core.RunState.NOT_RUN, "no leader"
)


def _clear(content: str) -> state.ClearStrikes:
    return state.ClearStrikes(state.new_command_id(), (content,))


def _name(command: state.Command) -> str:
    assert isinstance(command, state.ClearStrikes)
    return command.digests[0]


@pytest.fixture
def tasks() -> Iterator[core.TaskPool]:
    pool = core.TaskPool("proposals", 2)
    yield pool
    pool.stop()


def _wait_for(condition: Callable[[], bool]) -> None:
    changed = threading.Event()
    for _ in range(int(_TIMEOUT_S / 0.01)):
        if condition():
            return
        changed.wait(0.01)
    raise AssertionError("not reached in time")


@pytest.mark.parametrize(
    ("failure", "proposed"),
    [
        # A refused command is retried first, which keeps the order.
        (_NO_QUORUM, ["a", "a", "b"]),
        # A command whose proposal raises does not block the others.
        (RuntimeError("codec"), ["a", "b", "a"]),
    ],
)
def test_a_failed_proposal_is_made_again(
    failure: core.Refusal | Exception,
    proposed: list[str],
    tasks: core.TaskPool,
) -> None:
    """Guards against lost commands and a queue that stops permanently."""
    client = Client(failure)
    recorded: list[str] = []
    queue = state.ProposalQueue(
        client, tasks, 10, lambda command, result: recorded.append("")
    )
    queue.add(_clear("a"))
    queue.add(_clear("b"))
    client.is_open.set()
    _wait_for(lambda: len(recorded) == 2)
    assert client.proposed == proposed
    assert queue.waiting() == 0


def test_a_failed_callback_does_not_stop_the_queue(
    tasks: core.TaskPool,
) -> None:
    """Guards against one unexpected error that ends the queue's thread."""
    client = Client()

    def fail(command: state.Command, result: state.Result) -> None:
        raise ValueError("callback")

    queue = state.ProposalQueue(client, tasks, 10, fail)
    for content in "abc":
        queue.add(_clear(content))
    client.is_open.set()
    _wait_for(lambda: client.proposed == ["a", "b", "c"])


def test_a_full_queue_refuses(tasks: core.TaskPool) -> None:
    """Guards against unbounded memory use while there is no quorum."""
    client = Client(*[_NO_QUORUM] * 1_000)
    client.is_open.set()
    queue = state.ProposalQueue(client, tasks, 2)
    assert [queue.add(_clear(content)) for content in "abc"] == [
        True,
        True,
        False,
    ]
    assert queue.waiting() == 2


def test_nothing_is_proposed_after_a_stop(tasks: core.TaskPool) -> None:
    """Guards against an error for a caller whose answer ends while draining."""
    client = Client()
    queue = state.ProposalQueue(client, tasks, 10)
    tasks.stop()
    assert not queue.add(_clear("a"))
    assert client.proposed == []


def test_command_that_cannot_be_encoded_is_not_queued(
    tasks: core.TaskPool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a command that is proposed again for ever."""
    client = Client()
    client.is_open.set()
    queue = state.ProposalQueue(client, tasks, 10)
    odd = state.RecordCrash(state.new_command_id(), "w", 2**63, ("d",))
    assert not queue.add(odd)
    assert any("cannot encode" in line for line in caplog.messages)
    assert queue.add(_clear("a"))
    _wait_for(lambda: not queue.waiting())
    assert client.proposed == ["a"]
