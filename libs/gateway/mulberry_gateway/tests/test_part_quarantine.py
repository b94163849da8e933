"""Prompt parts that crash upstreams are blocked, others are not."""

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_gateway import (
    _exchange,
    _quarantine,
    _strike_records,
    _upstream_call,
)
from mulberry_gateway.tests import quarantine_harness as harness

_NO_ANSWER = _upstream_call.Fault.NO_ANSWER.value
_DEADLY = _strike_records.part_digest("dead")


def _deadly(number: int) -> _exchange.Exchange:
    return harness.exchange(f"d{number}", "first", "subject", "dead")


def _sound(number: int) -> _exchange.Exchange:
    return harness.exchange(f"5{number}", "first", "subject")


def _is_blocked(
    instance: harness.Instance, request: _exchange.Exchange
) -> bool:
    found = instance.quarantine.find_block(request)
    return isinstance(found, _quarantine.Block)


def _crash(
    instance: harness.Instance, number: int, *requests: _exchange.Exchange
) -> None:
    """Loses an upstream while it runs requests."""
    upstream = instance.announce(f"w{number}", 1)
    for request in requests:
        instance.run(upstream, _NO_ANSWER, is_lost=True, request=request)
    instance.elapse(0.5)


def test_a_part_is_blocked_and_the_parts_beside_it_are_not() -> None:
    """Guards against crashes by requests of which no two are alike."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        assert not _is_blocked(instance, _deadly(90))
        _crash(instance, number, _deadly(number), _sound(number))
    assert _is_blocked(instance, _deadly(90))
    assert not _is_blocked(instance, _sound(90))


def test_crashes_with_a_known_cause_block_no_request_beside_it() -> None:
    """Guards against blocking requests that ran beside the cause three times.

    Requests that lose their upstream are retried at the same moment as the one
    that crashed it, and meet it again.
    """
    instance = harness.Instance()
    beside = harness.exchange("be51de", "first", "other")
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(instance, number, _deadly(number), beside)
    assert harness.recorded(instance, _DEADLY) == 3
    assert instance.quarantine.strikes("be51de") == 3
    assert not _is_blocked(instance, beside)


def test_a_cause_stays_one_until_it_is_recorded() -> None:
    """Guards against a cause that a request beside it calls in doubt.

    Without a quorum, causes are not recorded.
    """
    client = harness.BlockingClient()
    instance = harness.Instance(client)
    beside = harness.exchange("be51de", "first", "other")
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(instance, number, _deadly(number), beside)
    is_blocked = _is_blocked(instance, _deadly(90))
    client.has_quorum.set()
    assert is_blocked


def test_one_request_that_crashes_upstreams_blocks_no_other() -> None:
    """Guards against blocking a route whose first request crashes upstreams."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(instance, number, _deadly(0), _sound(number))
    assert _is_blocked(instance, _deadly(0))
    assert not _is_blocked(instance, _sound(90))


def test_a_complete_run_unblocks_a_part_on_all_instances() -> None:
    """Guards against blocking a sound part after several unrelated losses."""
    one = harness.Instance()
    other = harness.Instance(one.client, one.soft_state, one.clock)
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(one, number, _deadly(number))
    assert harness.recorded(one, _DEADLY) == 3
    assert _is_blocked(other, _deadly(90))
    other.run(one.announce("w9", 1), "200", request=_deadly(80))
    assert harness.recorded(other, _DEADLY) == 0
    assert not _is_blocked(one, _deadly(90))
    assert not _is_blocked(other, _deadly(90))


def test_each_instance_sees_one_crash_and_all_block_the_part() -> None:
    """Guards against crashes that each instance counts by itself."""
    first = harness.Instance()
    instances = [
        first,
        *(
            harness.Instance(first.client, first.soft_state, first.clock)
            for _ in range(decisions.BLOCKING_STRIKES - 1)
        ),
    ]
    for number, instance in enumerate(instances):
        _crash(instance, number, _deadly(number))
    assert all(_is_blocked(instance, _deadly(90)) for instance in instances)


def test_a_blocked_part_outlives_a_restart_of_all_instances() -> None:
    """Guards against a block that only the soft state keeps.

    The parts beside the cause are not recorded.
    """
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(instance, number, _deadly(number), _sound(number))
    assert harness.recorded(instance, _DEADLY) == 3
    restarted = harness.Instance(instance.client)
    assert _is_blocked(restarted, _deadly(90))
    assert not _is_blocked(restarted, _sound(90))


@pytest.mark.parametrize("outcome", ["silent", "caller_gone"])
def test_losses_shown_by_announcements_count_against_a_part(
    outcome: str,
) -> None:
    """Guards against callers that leave before the crash becomes known."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, outcome, request=_deadly(number))
        instance.elapse(harness.ANNOUNCEMENT_TTL_S + 0.1)
    assert _is_blocked(instance, _deadly(90))


@pytest.mark.parametrize(
    ("event_times_s", "is_blocked"),
    [([], True), ([0.1], True), ([0.1, 0.3], True), ([0.1, 0.5], False)],
)
def test_answers_under_way_are_no_evidence_against_parts(
    event_times_s: list[float], is_blocked: bool
) -> None:
    """Guards against blocking parts of streams that others broke off."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        upstream = instance.announce(f"w{number}", 1)
        instance.stream(upstream, _deadly(number), event_times_s, _NO_ANSWER)
        instance.elapse(0.5)
    assert _is_blocked(instance, _deadly(90)) is is_blocked


def test_an_answer_under_way_unblocks_its_parts() -> None:
    """Guards against blocking a sound part until a long answer is complete."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(instance, number, _deadly(number))
    assert harness.recorded(instance, _DEADLY) == 3
    upstream = instance.announce("w9", 1)
    instance.stream(upstream, _deadly(80), [0.1, 0.5], _NO_ANSWER)
    assert harness.recorded(instance, _DEADLY) == 0
    assert not _is_blocked(instance, _deadly(90))


def test_a_request_with_a_deadly_part_reaches_few_upstreams() -> None:
    """Guards against more than three late losses by one part in five minutes.

    Three late ones are allowed, later than 3 s after the fifth.
    """
    instance = harness.Instance()
    losses_s: list[float] = []
    while instance.clock.now() < 1_300.0:
        number = len(losses_s)
        if not _is_blocked(instance, _deadly(number)):
            losses_s.append(instance.clock.now())
            _crash(instance, number, _deadly(number))
        instance.elapse(0.5)
    late = [at_s for at_s in losses_s[5:] if at_s > losses_s[4] + 3.0]
    assert len(late) <= 3


def test_strikes_of_an_earlier_version_have_no_content() -> None:
    """Guards against records of a part whose payload cannot be read."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        instance.soft_state.put(
            membership.RecordKind.STRIKE,
            f"{_DEADLY}/w{number}.1",
            incarnation=0,
            sequence=_strike_records.StrikeState.CONFIRMED,
            payload=b"\xff",
        )
    assert instance.quarantine.strikes(_DEADLY) == 3
    assert isinstance(instance.quarantine.find_block(_deadly(0)), core.Missing)
