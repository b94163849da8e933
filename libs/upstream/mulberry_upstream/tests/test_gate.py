"""Tests of the send gate."""

import dataclasses
from typing import Any

import pytest

import mulberry_core as core
import mulberry_upstream as upstream

_Kind = core.ErrorKind
_UNSET = core.Missing.UNSET


@dataclasses.dataclass(frozen=True)
class View:
    """The part of the state view that the gate uses."""

    rules: Any


def _check_send(
    harness: Any, **changes: Any
) -> upstream.SendPermit | core.Refusal:
    clock = core.ManualClock(100.0)
    target = dataclasses.replace(
        harness.target("127.0.0.1:9"), **changes.pop("target", {})
    )
    arguments = {
        "team": "coop",
        "model": "cedro",
        "version": "2026-02",
        "lease_remaining_s": 5.0,
        "view": View(harness.rules),
        **changes,
    }
    result: upstream.SendPermit | core.Refusal = upstream.SendGate(clock).check(
        upstream=target, **arguments
    )
    return result


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"team": "other"}, _Kind.NOT_ALLOWED),
        ({"team": "pinned", "version": "2026-03"}, _Kind.NOT_ALLOWED),
        ({"model": "unknown"}, _Kind.NOT_ALLOWED),
        ({"version": "2025-12"}, _Kind.VERSION_WITHDRAWN),
        ({"version": "2020-01"}, _Kind.VERSION_WITHDRAWN),
        ({"lease_remaining_s": 0.0}, _Kind.RULES_LEASE_EXPIRED),
        ({"lease_remaining_s": -1.0}, _Kind.RULES_LEASE_EXPIRED),
        ({"view": View(_UNSET)}, _Kind.NO_RULES),
        ({"target": {"leaving": True}}, _Kind.NO_UPSTREAM),
        ({"target": {"valid_until_s": 100.0}}, _Kind.NO_UPSTREAM),
        ({"target": {"serves": frozenset()}}, _Kind.NO_UPSTREAM),
    ],
)
def test_each_failed_check_refuses_the_send(
    harness: Any, changes: dict[str, Any], kind: _Kind
) -> None:
    """Guards against sends that violate P1, P2 or P8."""
    refusal = _check_send(harness, **changes)
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is kind
    assert refusal.run is core.RunState.NOT_RUN


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"team": "pinned"},
        {"version": "2026-03"},
        {"target": {"valid_until_s": 100.1}},
        {"lease_remaining_s": 0.01},
    ],
)
def test_allowed_sends_get_a_permit(
    harness: Any, changes: dict[str, Any]
) -> None:
    """Guards against a gate that refuses everything."""
    assert isinstance(_check_send(harness, **changes), upstream.SendPermit)


def test_service_calls_are_checked(harness: Any) -> None:
    """Guards against calls of services that a team is not allowed to use."""
    gate = upstream.SendGate(core.ManualClock())
    target = harness.target("127.0.0.1:9")
    view = View(harness.rules)
    permit = gate.check_service(view, "coop", "taller-app", target, 5.0)
    assert isinstance(permit, upstream.SendPermit)
    for team, service, kind in (
        ("pinned", "taller-app", _Kind.NOT_ALLOWED),
        ("coop", "loket", _Kind.UNKNOWN_SERVICE),
    ):
        refusal = gate.check_service(view, team, service, target, 5.0)
        assert isinstance(refusal, core.Refusal)
        assert refusal.kind is kind


def test_only_the_gate_creates_permits(harness: Any) -> None:
    """Guards against sends that bypass the gate."""
    with pytest.raises(TypeError):
        upstream.SendPermit(
            object(),
            harness.target("127.0.0.1:9"),
            "cedro",
            "2026-02",
            1e9,
            core.ManualClock(),
        )


@pytest.mark.parametrize("lease_s", [5.0, 0.1])
def test_permits_are_single_use_and_expire(
    harness: Any, lease_s: float
) -> None:
    """Guards against a send on an outdated check, or two on one check."""
    clock = core.ManualClock(10.0)
    gate = upstream.SendGate(clock)
    target = harness.target("127.0.0.1:9")
    permits = [
        gate.check(
            View(harness.rules), "coop", "cedro", "2026-02", target, lease_s
        )
        for _ in range(2)
    ]
    first, second = permits
    assert isinstance(first, upstream.SendPermit)
    assert isinstance(second, upstream.SendPermit)
    assert first.redeem()
    assert not first.redeem()
    clock.advance(min(lease_s, upstream.PERMIT_VALID_S))
    assert not second.redeem()


@pytest.mark.parametrize(
    ("changes", "allowed"),
    [
        ({"service": "rater", "serves": frozenset()}, True),
        ({"service": "taller-app", "serves": frozenset()}, False),
        ({"service": "rater"}, False),
        ({"service": "rater", "serves": frozenset(), "leaving": True}, False),
    ],
)
def test_only_platform_services_bypass_rules(
    harness: Any, changes: dict[str, Any], allowed: bool
) -> None:
    """Guards against bypassing the rules of teams."""
    gate = upstream.SendGate(core.ManualClock(100.0))
    target = dataclasses.replace(harness.target("127.0.0.1:9"), **changes)
    permit = gate.check_platform(target)
    assert isinstance(permit, upstream.SendPermit) == allowed
