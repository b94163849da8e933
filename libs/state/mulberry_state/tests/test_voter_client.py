"""Tests of failover between voters when some do not answer.

Guards against renewals that repeatedly spend their whole timeout on a frozen
leader after the other voters have elected a new one. The instance would then
use an outdated view although it can reach a quorum.
"""

import mulberry_core as core
from mulberry_state import _channels, _peers, _voter_client
from mulberry_wire import state_pb2


class _SilentChannels(_channels.Channels):
    """Simulates voters that never answer; calls to them time out."""

    def __init__(self, clock: core.ManualClock, silent: set[str]) -> None:
        super().__init__(_channels.open_insecure)
        self.clock = clock
        self.silent = silent
        self.called: list[str] = []

    def call(
        self,
        address: str,
        stub_type: object,
        method: str,
        request: object,
        timeout_s: float,
    ) -> object:
        self.called.append(address)
        if address in self.silent:
            self.clock.advance(timeout_s)
            return _peers.Unreachable("no answer")
        return state_pb2.RenewReply(granted=True, leader_address=address)


def _renew(
    voter_client: _voter_client.VoterClient, clock: core.ManualClock
) -> bool:
    """Renews with a deadline shorter than the timeout of one attempt."""
    for address, attempt_s in voter_client.attempts(clock.now() + 0.4):
        reply = voter_client.call(address, "Renew", None, attempt_s)
        if not isinstance(reply, _peers.Unreachable):
            return True
    return False


def test_a_silent_voter_is_not_asked_first_again() -> None:
    clock = core.ManualClock()
    channels = _SilentChannels(clock, {"a:1"})
    voter_client = _voter_client.VoterClient(
        ["a:1", "b:1", "c:1"], channels, clock
    )
    voter_client.set_leader("a:1")
    renewals = [_renew(voter_client, clock) for _ in range(3)]
    assert any(renewals), channels.called


def test_the_order_survives_a_new_view() -> None:
    """Guards against trying a failed voter first again after each new view."""
    clock = core.ManualClock()
    channels = _SilentChannels(clock, {"a:1"})
    voter_client = _voter_client.VoterClient(["a:1", "b:1"], channels, clock)
    voters = {"a": "a:1", "b": "b:1"}
    renewals = []
    for _ in range(4):
        voter_client.set_voters(voters)
        voter_client.set_leader("")
        renewals.append(_renew(voter_client, clock))
    assert any(renewals), channels.called


def test_new_addresses_are_tried_after_many_replacements() -> None:
    """Guards against an instance that only knows machines that are gone.

    The list was full, and each new address was left out.
    """
    clock = core.ManualClock()
    gone = {f"gone-{number}:1" for number in range(40)}
    channels = _SilentChannels(clock, set(gone))
    voter_client = _voter_client.VoterClient(["a:1"], channels, clock)
    channels.silent.add("a:1")
    for address in sorted(gone):
        voter_client.add_addresses([address])
    voter_client.add_addresses(["new:1"])
    assert any(_renew(voter_client, clock) for _ in range(3)), channels.called


def test_an_address_that_is_named_again_is_kept() -> None:
    """Guards against dropping a live machine that was known before others."""
    clock = core.ManualClock()
    gone = [f"gone-{number}:1" for number in range(40)]
    channels = _SilentChannels(clock, set(gone))
    voter_client = _voter_client.VoterClient([], channels, clock)
    for address in gone:
        voter_client.add_addresses([address, "live:1"])
    tried = range(len(gone))
    assert any(_renew(voter_client, clock) for _ in tried), channels.called
