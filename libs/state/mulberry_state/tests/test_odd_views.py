"""Tests of views and refusals that this version cannot read.

A voter of another version may have sent them.
"""

import threading
from typing import Any

import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state
from mulberry_state import _view
from mulberry_wire import state_pb2


class _Client(state.RemoteStateClient):
    """A client whose voter replies with a given message."""

    def __init__(self, replies: list[Any], clock: core.Clock) -> None:
        super().__init__("i", ["a"], clock, rules.Timing())
        self.replies = replies
        self.voter_client.call = self._call  # type: ignore[method-assign]

    def _call(
        self, address: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        return self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]


def _view_reply(**fields: Any) -> state_pb2.RenewReply:
    return state_pb2.RenewReply(
        granted=True, view=state_pb2.ViewMessage(revision=5, **fields)
    )


_VIEWS = {
    "unknown enum": {"verdicts": [state_pb2.VerdictEntry(state="later")]},
    "document not compressed": {
        "routing": state_pb2.RoutingDocument(version=1, packed=b"x")
    },
    "rules": {"rules_number": 3, "rules_text": "no rule of this version"},
}


@pytest.mark.parametrize("fields", _VIEWS.values(), ids=_VIEWS)
def test_unreadable_view_is_no_renewal(
    fields: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against renewals that end, and with them all service."""
    client = _Client([_view_reply(**fields)], core.ManualClock(1_000.0))
    for _ in range(3):
        assert not client.renew_once(0.1)
    assert client.lease_remaining_s() == 0.0
    assert sum("could not decode" in line for line in caplog.messages) == 1
    client.replies = [_view_reply()]
    assert client.renew_once(0.1)
    assert client.view().revision == 5


def test_renewals_outlive_errors() -> None:
    """Guards against an instance that renews no lease until a restart."""
    client = _Client([_view_reply()], core.SystemClock())
    seen = threading.Event()
    calls = 0

    def fail(view: _view.View) -> None:
        raise ValueError("odd document")

    def report() -> bytes:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise OverflowError("odd count")
        return b""

    client.subscribe(fail)
    client.subscribe(lambda view: seen.set())
    client.set_report_source(report)
    client.start()
    try:
        assert seen.wait(10.0)
    finally:
        client.stop()
    assert client.lease_remaining_s() > 0.0


def test_unknown_kind_of_refusal_is_a_refusal() -> None:
    """Guards against an error where a later voter refuses a command."""
    reply = state_pb2.ProposeReply(
        refusal=state_pb2.StateRefusal(kind="later", reason="r")
    )
    clock = core.ManualClock(1_000.0)
    client = _Client([reply], clock)
    call = client.voter_client.call

    def advance(*args: Any) -> Any:
        clock.advance(1.0)
        return call(*args)

    client.voter_client.call = advance  # type: ignore[assignment,method-assign]
    result = client.propose(state.ClearStrikes("c", ("d",)), 0.5)
    assert isinstance(result, core.Refusal)
    assert result.kind is core.ErrorKind.INTERNAL


@pytest.mark.parametrize("times", [(), (1.0,), (1.0, 2.0, 3.0)])
def test_crash_times_of_another_version(times: tuple[float, ...]) -> None:
    """Guards against a view whose crashes cannot be paired with times."""
    client = _Client(
        [
            _view_reply(
                strikes=[
                    state_pb2.StrikeEntry(
                        digest="d", crashes=["a 1", "b 2"], crash_wall_s=times
                    )
                ]
            )
        ],
        core.ManualClock(1_000.0),
    )
    assert client.renew_once(0.1)
    assert set(client.view().crash_times_by_digest()["d"]) == {"a 1", "b 2"}
