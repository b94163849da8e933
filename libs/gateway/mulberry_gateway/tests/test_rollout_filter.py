"""Tests of rollout evidence and session pins on one instance."""

import json
import re
import threading
import types
from typing import Any, cast

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import (
    _rollout_controller,
    _rollout_filter,
    _rollout_reports,
    _settings,
)

_SESSION_S = 5.0
_IDLE_S = _SESSION_S + 1.0


def _report(key: str, version: str, answers: int, bad: int) -> bytes:
    return json.dumps({key: {version: {"r": [answers, bad]}}}).encode()


def test_reports_of_all_instances_are_summed() -> None:
    """Guards against missing a bad version with few answers per instance."""
    evidence = _rollout_controller.sum_reports(
        [
            _report("s/1", "v2", 5, 1),
            _report("s/1", "v2", 6, 2),
            _report("s/1", "v1", 9, 0),
            _report("s/0", "v2", 50, 50),
        ],
        "s/1",
        "v2",
    )
    assert evidence.target_by_route == {"r": decisions.AnswerCounts(11, 3)}
    assert evidence.baseline_by_route == {"r": decisions.AnswerCounts(9, 0)}


@pytest.mark.parametrize(
    "report",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"s/1": []}',
        b'{"s/1": {"v2": {"r": [1]}}}',
        b'{"s/1": {"v2": {"r": [1, 0, 7]}}}',
        b'{"s/1": {"v2": {"r": ["x", 0]}}}',
        b'{"s/1": {"v2": {"r": [1, 0]}}, "paces s/1": {"v2": {"r": 3}}}',
        b"[" * 30_000,
        b'{"s/1":' * 3_000 + b"1" + b"}" * 3_000,
        b'{"s/1": {"v2": {"r": [1e400, 0]}}}',
        b'{"s/1": {"v2": {"r": [Infinity, 0]}}}',
        b'{"s/1": {"v2": {"r": [NaN, 0]}}}',
        b'{"s/1": {"v2": {"r": [1' + b"0" * 400 + b", 0]}}}",
        b'{"s/1": {"v2": {"r": [' + b"9" * 5_000 + b", 0]}}}",
        b'{"s/1": {"v2": {"r": [-1, 0]}}}',
        b'{"s/1": {"v2": {"r": [1, 2]}}}',
        b'{"s/1": {"v2": {"r": [1, 0]}}, "paces s/1": {"v2": {"r": {"x": 1}}}}',
        b'{"s/1": {"v2": {"r": [1, 0]}}, "paces s/1": {"v2": {"r": {"1": "x"}}}}',
        b'{"s/1": {"v2": {"r": [1, 0]}}, "paces s/1": {"v2": {"r": {"1": -1}}}}',
        b'{"s/1": {"v2": {"r": [1, 0]}}, "paces s/1": {"v2": {"r": {"1": NaN}}}}',
    ],
)
def test_unreadable_report_is_ignored(
    report: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an unreadable report that prevents all decisions."""
    _rollout_reports._log_unreadable.cache_clear()
    evidence = _rollout_controller.sum_reports(
        [report, _report("s/1", "v2", 5, 1)], "s/1", "v2"
    )
    assert evidence.target_by_route == {"r": decisions.AnswerCounts(5, 1)}
    _rollout_controller.sum_reports([report], "s/1", "v2")
    assert sum("cannot be parsed" in line for line in caplog.messages) == 1


class _FailingPlan(decisions.RolloutPlan):
    """Raises at the first decisions."""

    def __init__(self) -> None:
        super().__init__(0.1)
        self.calls = 0
        self.decided = threading.Event()

    def decide(self, *args: Any) -> Any:
        self.calls += 1
        if self.calls <= 2:
            raise OverflowError("odd counts")
        self.decided.set()
        return core.Missing.UNSET


def test_decisions_go_on_after_an_error() -> None:
    """Guards against a rollout that nobody decides until a restart."""
    clock = core.SystemClock()
    client = state.LocalStateClient(state.FileRulesParser(), clock)
    plan = _FailingPlan()
    node = types.SimpleNamespace(
        is_leader=True, reports=types.SimpleNamespace(all=lambda: ())
    )
    controller = _rollout_controller.RolloutController(
        client,
        cast(state.StateNode, node),
        plan,
        clock,
        core.DecisionLog(clock),
    )
    client.propose(state.BeginServiceRollout("c", "s", "v2", 60.0), 1.0)
    controller.start()
    try:
        assert plan.decided.wait(10.0)
    finally:
        controller._pool.stop()


class _RecordingSoftState(membership.LocalSoftState):
    """Keeps the ids of published records, which all instances store."""

    def __init__(self, clock: core.Clock) -> None:
        super().__init__("here", clock)
        self.published: list[str] = []

    def publish(
        self,
        kind: membership.RecordKind,
        id: str,
        payload: bytes,
        ttl_s: float | core.Missing = core.Missing.UNLIMITED,
        urgent: bool = False,
    ) -> membership.Record:
        self.published.append(id)
        return super().publish(kind, id, payload, ttl_s, urgent)


class _Instance:
    """An instance with a running rollout."""

    def __init__(self) -> None:
        self.clock = core.ManualClock(100.0)
        self.soft_state = _RecordingSoftState(self.clock)
        self.client = client = state.LocalStateClient(
            state.FileRulesParser(), self.clock
        )
        rollout_controller = _rollout_controller.RolloutController(
            client,
            core.Missing.UNSET,
            decisions.RolloutPlan(1.0),
            self.clock,
            core.DecisionLog(self.clock),
        )
        client.propose(
            state.BeginServiceRollout(
                state.new_command_id(), "s", "v2", duration_s=120.0
            ),
            1.0,
        )
        client.propose(
            state.MoveServiceRollout(
                state.new_command_id(),
                "s",
                1,
                state.RolloutPhase.RUNNING,
                1.0,
                "all sessions may move",
            ),
            1.0,
        )
        self.rollout_filter = _rollout_filter.RolloutFilter(
            client,
            rollout_controller,
            self.soft_state,
            _SESSION_S,
            _settings.GatewayBounds().rollout_view_age_s,
            self.clock,
        )

    def version_of(self, session: str) -> str:
        upstreams = [_upstream("v1"), _upstream("v2")]
        (chosen,) = self.rollout_filter.filter("s", session, upstreams)
        self.rollout_filter.request_ended("s", session)
        return chosen.release


def _upstream(release: str) -> membership.Upstream:
    return membership.Upstream(
        name=f"w-{release}",
        address="127.0.0.1:1",
        zone="gent",
        state=membership.UpstreamState.READY,
        versions=(),
        service="s",
        capacity=4,
        running=0,
        queued=0,
        checks_fencing=False,
        load_age_s=0.0,
        home="here",
        incarnation=1,
        sequence=1,
        release=release,
    )


def test_active_sessions_stay_and_idle_ones_move() -> None:
    """Guards against a session that changes version in the first half.

    Sessions may change their version only in the second half of a rollout.
    """
    instance = _Instance()
    assert instance.version_of("busy") == "v1"
    instance.clock.advance(_IDLE_S + 0.1)
    assert instance.version_of("busy") == "v1"
    assert instance.version_of("new") == "v2"
    assert instance.version_of("new") == "v2"


def test_active_session_publishes_few_records() -> None:
    """Guards against publishing a record to all instances for each request.

    On a fleet of 69 instances these records took more CPU time than the
    requests themselves.
    """
    instance = _Instance()
    for _ in range(100):
        instance.version_of("busy")
        instance.clock.advance(0.1)
    assert len(instance.soft_state.published) <= 3


@pytest.mark.parametrize("run_s", [15.0, 29.0])
def test_long_request_keeps_its_session_pinned(run_s: float) -> None:
    """Guards against a session that changes version after a long stream."""
    instance = _Instance()
    upstreams = [_upstream("v1"), _upstream("v2")]
    instance.rollout_filter.filter("s", "long", upstreams)
    instance.clock.advance(run_s)
    instance.rollout_filter.request_ended("s", "long")
    instance.clock.advance(_SESSION_S)
    assert instance.version_of("long") == "v1"


def test_pin_id_contains_rollout_and_session() -> None:
    instance = _Instance()
    instance.version_of("a")
    assert re.fullmatch(r"s/1/a", instance.soft_state.published[0])


@pytest.mark.parametrize("session", ["a" * 508, "a" * 509, "\xe9" * 8_000])
def test_pin_of_a_long_session_reaches_the_others(session: str) -> None:
    """Guards against a session that other instances move to the target.

    They leave out a record whose id is longer than the limit.
    """
    instance = _Instance()
    assert instance.version_of(session) == "v1"
    (pin_id,) = set(instance.soft_state.published)
    assert len(pin_id) <= membership.MAX_NAME_LENGTH
    assert (pin_id == f"s/1/{session}") == (len(session) == 508)
    assert instance.version_of(session + "b") == "v1"
    assert len(set(instance.soft_state.published)) == 2


def test_target_gets_no_requests_while_nobody_can_roll_it_back() -> None:
    """Guards against a bad version that goes on while the voters stand still.

    Only a record of the voters rolls a version back.
    """
    instance = _Instance()
    instance.clock.advance(_IDLE_S + 0.1)
    assert instance.version_of("new") == "v2"
    instance.client.stop_renewing()
    instance.clock.advance(4.0)
    assert instance.version_of("new") == "v1"
    assert instance.version_of("other") == "v1"
    instance.client.resume_renewing()
    assert instance.version_of("new") == "v2"
