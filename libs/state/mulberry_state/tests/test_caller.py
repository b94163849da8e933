"""Finding a voter that answers while others are silent.

Guards against renewals that spend their whole time at a leader that is
frozen, again and again, while the other voters have elected another one:
the instance then works by an outdated view although it reaches a quorum.
"""

import mulberry_core as core
from mulberry_state import _caller, _channels, _peers
from mulberry_wire import state_pb2


class _SilentChannels(_channels.Channels):
    """Voters of which some never answer; each call takes its whole time."""

    def __init__(self, clock: core.ManualClock, silent: set[str]) -> None:
        super().__init__(_channels.open_insecure)
        self.clock = clock
        self.silent = silent
        self.asked: list[str] = []

    def call(
        self,
        address: str,
        stub_type: object,
        method: str,
        request: object,
        timeout_s: float,
    ) -> object:
        self.asked.append(address)
        if address in self.silent:
            self.clock.advance(timeout_s)
            return _peers.Unreachable("no answer")
        return state_pb2.RenewReply(granted=True, leader_address=address)


def _renew(caller: _caller.VoterCaller, clock: core.ManualClock) -> bool:
    """One renewal with less time than one silent voter may take."""
    for address, attempt_s in caller.attempts(clock.now() + 0.4):
        reply = caller.call(address, "Renew", None, attempt_s)
        if not isinstance(reply, _peers.Unreachable):
            return True
    return False


def test_a_silent_voter_is_not_asked_first_again() -> None:
    clock = core.ManualClock()
    channels = _SilentChannels(clock, {"a:1"})
    caller = _caller.VoterCaller(["a:1", "b:1", "c:1"], channels, clock)
    caller.note_leader("a:1")
    renewals = [_renew(caller, clock) for _ in range(3)]
    assert any(renewals), channels.asked


def test_the_order_survives_a_new_view() -> None:
    """The voters of a view come in the same order each time."""
    clock = core.ManualClock()
    channels = _SilentChannels(clock, {"a:1"})
    caller = _caller.VoterCaller(["a:1", "b:1"], channels, clock)
    voters = {"a": "a:1", "b": "b:1"}
    renewals = []
    for _ in range(4):
        caller.set_voters(voters)
        caller.note_leader("")
        renewals.append(_renew(caller, clock))
    assert any(renewals), channels.asked
