"""Strikes of contents are added, confirmed, recorded and cleared."""

from collections.abc import Callable

import pytest

import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_gateway import _strike_ledger, _strike_records, _upstream_call
from mulberry_gateway.tests import quarantine_harness as harness

_SILENT = _upstream_call.Fault.SILENT.value
_NO_ANSWER = _upstream_call.Fault.NO_ANSWER.value
_CALLER_GONE = _upstream_call.Fault.CALLER_GONE.value


def _restarts(
    instance: harness.Instance, upstream: membership.Upstream
) -> None:
    instance.announce(upstream.name, upstream.incarnation + 5)


def _restarts_under_another_name(
    instance: harness.Instance, upstream: membership.Upstream
) -> None:
    instance.announce("other", upstream.incarnation + 5, upstream.address)


def _stops_announcing(
    instance: harness.Instance, upstream: membership.Upstream
) -> None:
    instance.elapse(harness.ANNOUNCEMENT_TTL_S + 0.1)


def _deregisters(
    instance: harness.Instance, upstream: membership.Upstream
) -> None:
    instance.soft_state.put(
        membership.RecordKind.UPSTREAM,
        upstream.name,
        upstream.incarnation,
        membership.LEFT_SEQUENCE,
        b"",
        removed=True,
    )


def _keeps_announcing(
    instance: harness.Instance, upstream: membership.Upstream
) -> None:
    for _ in range(15):
        instance.elapse(1.0)
        instance.announce(upstream.name, upstream.incarnation)


@pytest.mark.parametrize("outcome", [_NO_ANSWER, _SILENT, _CALLER_GONE])
@pytest.mark.parametrize(
    ("event", "strikes"),
    [
        (_restarts, 1),
        (_restarts_under_another_name, 1),
        (_stops_announcing, 1),
        (_deregisters, 0),
        (_keeps_announcing, 0),
    ],
)
def test_announcements_confirm_or_dismiss_a_strike(
    outcome: str,
    event: Callable[[harness.Instance, membership.Upstream], None],
    strikes: int,
) -> None:
    """Guards against crashes that no refused connection reveals.

    The upstream restarts at once, is behind a proxy, stops announcing itself,
    or crashed after the caller disconnected.
    """
    instance = harness.Instance()
    upstream = instance.announce("w1", 1)
    instance.run(upstream, outcome)
    event(instance, upstream)
    instance.elapse(0.5)
    # Longer than an unconfirmed strike, shorter than a confirmed one.
    instance.elapse(_strike_ledger.SUSPECTED_TTL_S + 1.0)
    assert instance.strikes == strikes


def test_incomplete_runs_block_until_the_upstreams_announce() -> None:
    """Guards against further losses before announcements confirm strikes."""
    instance = harness.Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        instance.run(instance.announce(f"w{number}", 1), _NO_ANSWER)
    assert instance.quarantine.blocked_s(harness.CONTENT) > 0.0
    for _ in range(12):
        instance.elapse(1.0)
        for number in range(decisions.BLOCKING_STRIKES):
            instance.announce(f"w{number}", 1)
    assert instance.quarantine.blocked_s(harness.CONTENT) == 0.0


@pytest.mark.parametrize(
    ("event", "strikes"), [(_stops_announcing, 1), (_keeps_announcing, 0)]
)
def test_another_instance_confirms_the_strikes_of_one_that_ended(
    event: Callable[[harness.Instance, membership.Upstream], None],
    strikes: int,
) -> None:
    """Replays a soak: strikes expired when their instance was killed.

    The request then crashed three more upstreams.
    """
    killed = harness.Instance()
    other = harness.Instance(killed.client, killed.soft_state, killed.clock)
    upstream = other.announce("w1", 1)
    killed.run(upstream, _NO_ANSWER)
    event(other, upstream)
    for _ in range(10):
        other.elapse(0.5)
    other.elapse(_strike_ledger.SUSPECTED_TTL_S + 1.0)
    assert other.strikes == strikes


def test_second_strike_is_recorded_with_the_first() -> None:
    """Guards against a block that is lost when all instances restart.

    A single strike is common and is not recorded.
    """
    instance = harness.Instance()
    instance.run(instance.announce("w1", 1), _NO_ANSWER, is_lost=True)
    assert harness.recorded(instance) == 0
    instance.run(instance.announce("w2", 1), _NO_ANSWER, is_lost=True)
    assert harness.recorded(instance) == 2
    restarted = harness.Instance(instance.client)
    assert restarted.strikes == 2
    restarted.run(restarted.announce("w3", 1), _NO_ANSWER, is_lost=True)
    assert harness.recorded(restarted) == 3
    assert (
        harness.Instance(instance.client).quarantine.blocked_s(harness.CONTENT)
        > 0.0
    )


def test_strike_present_in_both_states_counts_once() -> None:
    """Guards against blocking a content after only two losses.

    The replicated state may deliver strikes that the soft state still has, so
    that each would count twice.
    """
    one = harness.Instance()
    other = harness.Instance(one.client)
    for name in ("w0", "w1"):
        upstream = one.announce(name, 1)
        other.soft_state.put(
            membership.RecordKind.STRIKE,
            f"{harness.CONTENT}/{name}.{upstream.incarnation}",
            incarnation=0,
            sequence=_strike_records.StrikeState.CONFIRMED,
            payload=b"",
        )
        one.run(upstream, _NO_ANSWER, is_lost=True)
    assert harness.recorded(one) == 2
    assert other.strikes == 2
    assert other.quarantine.blocked_s(harness.CONTENT) == 0.0


def test_a_complete_run_clears_recorded_strikes() -> None:
    """Guards against a harmless content that stays blocked forever."""
    instance = harness.Instance()
    for number in range(2):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _NO_ANSWER, is_lost=True)
    assert harness.recorded(instance) == 2
    instance.run(upstream, "404")
    assert instance.strikes == 2
    instance.run(upstream, "200")
    assert harness.recorded(instance) == 0
    assert instance.strikes == 0


def test_a_complete_run_clears_strikes_not_yet_committed() -> None:
    """Guards against strikes that are committed after they were cleared."""
    client = harness.BlockingClient()
    instance = harness.Instance(client)
    for number in range(2):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _NO_ANSWER, is_lost=True)
    instance.run(upstream, "200")
    client.has_quorum.set()
    assert harness.recorded(instance) == 0
    assert instance.strikes == 0


def test_harmless_content_is_unblocked_by_its_next_run() -> None:
    """Guards against blocking harmless requests for longer than needed.

    They run beside the request that crashes upstreams and get the same
    strikes, also when they are retried together with it.
    """
    instance = harness.Instance()
    for number in range(3):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _NO_ANSWER, is_lost=True)
    first_s = instance.quarantine.blocked_s(harness.CONTENT)
    assert 0.0 < first_s <= 2 * decisions.block_duration_s(3)
    instance.elapse(first_s + 0.1)
    assert instance.quarantine.blocked_s(harness.CONTENT) == 0.0
    instance.run(upstream, "200")
    assert harness.recorded(instance) == 0
    assert instance.strikes == 0


def test_one_strike_after_a_restart_blocks_again() -> None:
    """Guards against three more losses by one request after each block.

    The earlier strikes are in the replicated state, the new one is in the
    soft state.
    """
    instance = harness.Instance()
    for number in range(3):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _NO_ANSWER, is_lost=True)
    assert harness.recorded(instance) == 3
    restarted = harness.Instance(instance.client)
    restarted.elapse(2 * decisions.block_duration_s(3))
    assert restarted.quarantine.blocked_s(harness.CONTENT) == 0.0
    restarted.run(restarted.announce("w4", 1), _NO_ANSWER)
    assert restarted.strikes == 4
    assert restarted.quarantine.blocked_s(
        harness.CONTENT
    ) >= decisions.block_duration_s(4)


def test_recently_completed_content_has_a_higher_threshold() -> None:
    """Guards against blocking common requests for losses others caused."""
    instance = harness.Instance()
    instance.run(instance.announce("w0", 1), "200")
    for number in range(1, 6):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _NO_ANSWER, is_lost=True)
        assert instance.quarantine.blocked_s(harness.CONTENT) == 0.0
    instance.run(instance.announce("w6", 1), _NO_ANSWER, is_lost=True)
    assert instance.quarantine.blocked_s(harness.CONTENT) > 0.0


def test_each_further_strike_blocks_for_longer() -> None:
    """Guards against one request that crashes upstreams repeatedly.

    The platform allows three losses that come more than 3 s after the third.
    """
    instance = harness.Instance()
    losses_s: list[float] = []
    while instance.clock.now() < 1_600.0:
        if not instance.quarantine.blocked_s(harness.CONTENT):
            losses_s.append(instance.clock.now())
            upstream = instance.announce(f"w{len(losses_s)}", 1)
            instance.run(upstream, _NO_ANSWER, is_lost=True)
            harness.recorded(instance)
        instance.elapse(1.0)
    late = [at_s for at_s in losses_s if at_s > losses_s[2] + 3.0]
    assert len(late) <= 3


@pytest.mark.parametrize(
    ("name", "sequence"),
    [
        *(("w0.1", sequence) for sequence in (-1, 0, 99, 2**40)),
        *(
            (name, _strike_records.StrikeState.CONFIRMED)
            for name in ("cleared", "w0.")
        ),
    ],
)
def test_strikes_of_another_version_are_ignored(
    name: str, sequence: int
) -> None:
    """Guards against one record of a peer that ends a gossip exchange.

    Earlier versions use other record ids and sequence numbers.
    """
    instance = harness.Instance()
    instance.soft_state.put(
        membership.RecordKind.STRIKE,
        f"{harness.CONTENT}/{name}",
        incarnation=1,
        sequence=sequence,
        payload=b"",
    )
    assert instance.strikes == 0
    instance.run(instance.announce("w1", 1), _NO_ANSWER, is_lost=True)
    assert instance.strikes == 1
