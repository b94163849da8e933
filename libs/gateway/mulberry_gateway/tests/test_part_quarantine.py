"""Prompt parts that crash upstreams are blocked, others are not."""

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_gateway import (
    _blocks,
    _exchange,
    _running_requests,
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
    return isinstance(found, _blocks.Block)


def _is_unblocked_within_s(
    instance: harness.Instance, max_s: float, request: _exchange.Exchange
) -> bool:
    until_s = instance.clock.now() + max_s
    while instance.clock.now() < until_s:
        if not _is_blocked(instance, request):
            return True
        instance.elapse(0.1)
    return False


def _crash(
    instance: harness.Instance, number: int, *requests: _exchange.Exchange
) -> None:
    """Loses an upstream while it runs requests."""
    upstream = instance.announce(f"w{number}", 1)
    for request in requests:
        instance.run(upstream, _NO_ANSWER, is_lost=True, request=request)
    instance.elapse(0.5)


def test_a_part_is_blocked_with_the_first_strikes_that_suffice() -> None:
    """Guards against one crash more while no other part can be the cause."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        instance.elapse(0.5)
        upstream = instance.announce(f"w{number}", 1)
        for request in (_sound(number), _deadly(number)):
            instance.run(upstream, _NO_ANSWER, is_lost=True, request=request)
    assert _is_blocked(instance, _deadly(90))


def test_first_strikes_of_a_crash_are_no_evidence_if_others_may_come() -> None:
    """Replays a day: the first strikes of a crash came from another request.

    Its part was blocked, and seven crashes later the one that caused them.
    """
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        upstream = instance.announce(f"w{number}", 1)
        beside = harness.exchange(f"be{number}", "first", "beside")
        for request in (beside, _deadly(number)):
            instance.run(upstream, _NO_ANSWER, is_lost=True, request=request)
            assert not _is_blocked(instance, harness.exchange("b", "beside"))
            instance.elapse(0.2)
        instance.elapse(0.5)
    assert _is_blocked(instance, _deadly(90))
    assert not _is_blocked(instance, harness.exchange("b", "beside"))


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


def test_instances_tell_each_other_which_parts_are_sound() -> None:
    """Replays a day: an instance blamed a part that it had not seen before.

    Others had answered requests with it until just before the crashes.
    """
    one = harness.Instance()
    other = harness.Instance(one.client, one.soft_state, one.clock)
    one.run(one.announce("w9", 1), "200", request=_sound(9))
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(one, number, _sound(number))
    assert not _is_blocked(other, _sound(90))


def test_requests_with_a_cause_are_withdrawn_from_upstreams() -> None:
    """Replays days: one to three crashes came after the part was blocked.

    Upstreams had the requests in their queues, for seconds as fewer were left.
    """
    instance = harness.Instance()
    for number in range(5):
        instance.quarantine.find_block(_sound(number))
    queued = instance.announce("w8", 1)
    answering = instance.begin(queued, _deadly(70))
    answering.head_s = instance.clock.now()
    ended = instance.begin(queued, _deadly(71))
    instance.quarantine.run_left(ended)
    for request in (_deadly(80), _sound(80)):
        instance.begin(queued, request)
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(instance, number, _deadly(number))
    assert instance.withdrawn == ["d80"]


def test_requests_of_a_route_are_not_withdrawn_for_their_first_part() -> None:
    """Guards against ending the runs that show a part to be sound."""
    instance = harness.Instance()
    for number in range(8):
        instance.quarantine.find_block(harness.exchange(f"5{number}", "first"))
    instance.begin(instance.announce("w8", 1), harness.exchange("58", "first"))
    _block_route_at_its_start(instance)
    assert _is_blocked(instance, harness.exchange("59", "first"))
    assert instance.withdrawn == []


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


def _block_route_at_its_start(instance: harness.Instance) -> None:
    """One request crashes three upstreams, a part of another one a fourth.

    No request has been answered yet, and all have the part `first`.
    """
    request = harness.exchange("dead1", "first")
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(instance, number, request, harness.exchange("50", "first"))
    _crash(instance, 9, harness.exchange("dead2", "first", "dead"))
    for number in range(8):
        _is_blocked(instance, harness.exchange(f"5{number}", "first"))


def test_a_route_that_is_blocked_at_its_start_is_soon_served() -> None:
    """Replays a soak: the first part of a route was blocked for 20 to 40 s.

    The crashes of two causes count against the part that all requests share.
    """
    instance = harness.Instance()
    _block_route_at_its_start(instance)
    sound = harness.exchange("51", "first")
    assert _is_unblocked_within_s(instance, 4.1, sound)
    instance.stream(instance.announce("w1", 7), sound, [0.1, 0.5], "200")
    first = _strike_records.part_digest("first")
    assert harness.recorded(instance, first) == 0
    assert not _is_blocked(instance, harness.exchange("52", "first"))


def test_a_request_with_another_suspect_does_not_test_a_block_first() -> None:
    """Guards against a trial that fails by something else in the request."""
    instance = harness.Instance()
    _block_route_at_its_start(instance)
    other = harness.exchange("dead3", "first", "dead")
    sound = harness.exchange("51", "first")
    assert _is_unblocked_within_s(instance, 4.1, sound)
    assert _is_blocked(instance, other)
    assert _is_unblocked_within_s(instance, 4.1, other)


def test_only_one_request_tests_a_block() -> None:
    """Guards against a crash by each instance when a block has ended."""
    one = harness.Instance()
    other = harness.Instance(one.client, one.soft_state, one.clock)
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(one, number, _deadly(number))
    one.elapse(90.0)
    assert not _is_blocked(one, _deadly(90))
    assert not _is_blocked(other, _deadly(91))
    trial = _deadly(90)
    upstream = one.announce("w9", 1)
    attempt = one.begin(upstream, trial)
    for instance in (one, other):
        block = instance.quarantine.find_block(_deadly(91))
        assert isinstance(block, _blocks.Block)
        assert block.remaining_s <= 2.0
        assert isinstance(
            instance.quarantine.run_begins(
                _running_requests.RunningRequest(
                    _deadly(91), _exchange.Attempt("w8", 0.0), lambda: None
                ),
                upstream,
            ),
            _blocks.Block,
        )
    attempt.outcome = _NO_ANSWER
    one.quarantine.run_ended(trial, attempt, upstream, is_lost=True)
    assert _is_blocked(one, trial)


@pytest.mark.parametrize(
    "outcome", [_exchange.TURNED_AWAY, _exchange.OTHER_UPSTREAM]
)
def test_a_trial_that_did_not_run_goes_on_elsewhere(outcome: str) -> None:
    """Guards against a part that stays blocked because upstreams are busy."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(instance, number, _deadly(number))
    instance.elapse(90.0)
    trial = _deadly(90)
    busy = instance.announce("w8", 1)
    attempt = instance.begin(busy, trial)
    attempt.outcome = outcome
    assert _is_blocked(instance, trial)
    instance.quarantine.run_ended(trial, attempt, busy, is_lost=False)
    assert not _is_blocked(instance, trial)
    instance.run(instance.announce("w9", 1), "200", request=trial)
    assert harness.recorded(instance, _DEADLY) == 0
    assert not _is_blocked(instance, _deadly(91))


@pytest.mark.parametrize("outcome", ["500", _NO_ANSWER])
def test_a_trial_without_a_result_is_soon_repeated(outcome: str) -> None:
    """Guards against a longer block by a trial whose upstream did not end."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        _crash(instance, number, _deadly(number))
    instance.elapse(90.0)
    upstream = instance.announce("w9", 1)
    instance.run(upstream, outcome, request=_deadly(90))
    for _ in range(12):
        instance.elapse(1.0)
        instance.announce("w9", 1)
    assert not _is_blocked(instance, _deadly(91))


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


@pytest.mark.parametrize("is_first", [False, True])
def test_a_dropped_answer_counts_if_its_upstream_crashes(
    is_first: bool,
) -> None:
    """Replays a day: two of eight crashes were nobody's.

    The request that crashed the upstream had got a head, and the router had
    dropped the answer for one of a larger model.
    """
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        upstream = instance.announce(f"w{number}", 1)
        other = _sound(number)
        if not is_first:
            instance.run(upstream, _NO_ANSWER, is_lost=True, request=other)
        instance.run(upstream, _exchange.UNSURE, request=_deadly(number))
        if is_first:
            instance.run(upstream, _NO_ANSWER, is_lost=True, request=other)
        instance.elapse(0.5)
    assert instance.quarantine.strikes(_DEADLY) == decisions.BLOCKING_STRIKES
    assert _is_blocked(instance, _deadly(90))


def test_an_answer_dropped_long_before_a_crash_counts_not() -> None:
    """Guards against strikes for all that an upstream has run lately."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _exchange.UNSURE, request=_deadly(number))
        instance.elapse(1.0)
        other = _sound(number)
        instance.run(upstream, _NO_ANSWER, is_lost=True, request=other)
        instance.elapse(0.5)
    assert instance.quarantine.strikes(_DEADLY) == 0


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
