"""Strikes of contents: given, confirmed later, recorded, cleared."""

import dataclasses
import itertools
import threading
import time
from collections.abc import Callable

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import _exchange, _suspects, _upstream_call

_CONTENT = "digest"
_SILENT = _upstream_call.Fault.SILENT.value
_NO_ANSWER = _upstream_call.Fault.NO_ANSWER.value
_CALLER_GONE = _upstream_call.Fault.CALLER_GONE.value
_VALID_S = 3.0


@dataclasses.dataclass
class _Facts:
    request_id: str = "r1"


@dataclasses.dataclass
class _Exchange:
    """The part of an exchange that the guard reads."""

    content: str = _CONTENT
    facts: _Facts = dataclasses.field(default_factory=_Facts)


class _SlowClient(state.LocalStateClient):
    """Takes proposals once it is told to."""

    def __init__(self) -> None:
        super().__init__(state.FileRulesParser(), core.ManualClock(1_000.0))
        self.has_quorum = threading.Event()

    def propose(
        self, command: state.Command, timeout_s: float
    ) -> state.Result | core.Refusal:
        assert self.has_quorum.wait(timeout=10.0)
        return super().propose(command, timeout_s)


class _Instance:
    """The guard of one instance, with upstreams that announce themselves."""

    def __init__(self, client: state.StateClient | None = None) -> None:
        self.clock = core.ManualClock(1_000.0)
        self._sequence = itertools.count(1)
        self.client = client or state.LocalStateClient(
            state.FileRulesParser(), self.clock
        )
        self.soft_state = membership.LocalSoftState("here", self.clock)
        counters = core.MemoryCounters()
        self.directory = membership.UpstreamDirectory(
            self.soft_state, self.clock, counters, 0.0
        )
        self.suspects = _suspects.Suspects(
            self.soft_state,
            self.directory,
            self.client,
            self.clock,
            counters,
            core.DecisionLog(self.clock),
        )

    def announce(
        self, name: str, incarnation: int, address: str = ""
    ) -> membership.Upstream:
        self.directory.announce(
            membership.Announcement(
                name=name,
                address=address or f"{name}:80",
                incarnation=incarnation,
                sequence=next(self._sequence),
                state=membership.UpstreamState.READY,
                zone="gent",
                versions=(),
                service="s",
                capacity=4,
                running=0,
                queued=0,
                checks_fencing=False,
                valid_s=_VALID_S,
            )
        )
        found = self.directory.find(name)
        assert isinstance(found, membership.Upstream)
        return found

    def run(
        self, upstream: membership.Upstream, outcome: str, is_lost: bool = False
    ) -> None:
        attempt = _exchange.Attempt(upstream.name, 0.0, outcome=outcome)
        self.suspects.run_ended(
            _Exchange(),  # type: ignore[arg-type]
            attempt,
            upstream,
            is_lost,
        )

    def seconds(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.directory.tick()
        # Reading expires what has had its time.
        self.soft_state.records(membership.RecordKind.STRIKE)
        self.suspects.look()

    @property
    def strikes(self) -> int:
        return self.suspects.strikes(_CONTENT)


def _next_start(instance: _Instance, upstream: membership.Upstream) -> None:
    instance.announce(upstream.name, upstream.incarnation + 5)


def _other_name(instance: _Instance, upstream: membership.Upstream) -> None:
    instance.announce("other", upstream.incarnation + 5, upstream.address)


def _falls_silent(instance: _Instance, upstream: membership.Upstream) -> None:
    instance.seconds(_VALID_S + 0.1)


def _leaves(instance: _Instance, upstream: membership.Upstream) -> None:
    instance.soft_state.put(
        membership.RecordKind.UPSTREAM,
        upstream.name,
        upstream.incarnation,
        membership.LEFT_SEQUENCE,
        b"",
        removed=True,
    )


def _stays(instance: _Instance, upstream: membership.Upstream) -> None:
    for _ in range(15):
        instance.seconds(1.0)
        instance.announce(upstream.name, upstream.incarnation)


@pytest.mark.parametrize("outcome", [_NO_ANSWER, _SILENT, _CALLER_GONE])
@pytest.mark.parametrize(
    ("event", "strikes"),
    [
        (_next_start, 1),
        (_other_name, 1),
        (_falls_silent, 1),
        (_leaves, 0),
        (_stays, 0),
    ],
)
def test_the_upstreams_announcements_confirm_a_strike(
    outcome: str,
    event: Callable[[_Instance, membership.Upstream], None],
    strikes: int,
) -> None:
    """Guards against crashes that no refused connection shows.

    The upstream is back at once, stands behind a proxy, fell silent, or
    crashed after its caller had gone.
    """
    instance = _Instance()
    upstream = instance.announce("w1", 1)
    instance.run(upstream, outcome)
    event(instance, upstream)
    instance.seconds(0.5)
    # Longer than an unconfirmed strike, shorter than a confirmed one.
    instance.seconds(_suspects._SUSPECTED_S + 1.0)
    assert instance.strikes == strikes


def test_runs_that_break_off_block_until_their_upstreams_are_known() -> None:
    """Guards against upstreams lost while announcements are on their way."""
    instance = _Instance()
    for number in range(decisions.BLOCKING_STRIKES):
        instance.run(instance.announce(f"w{number}", 1), _NO_ANSWER)
    assert instance.suspects.blocked_s(_CONTENT) > 0.0
    for _ in range(12):
        instance.seconds(1.0)
        for number in range(decisions.BLOCKING_STRIKES):
            instance.announce(f"w{number}", 1)
    assert instance.suspects.blocked_s(_CONTENT) == 0.0


def _recorded(instance: _Instance) -> int:
    """Returns the recorded strikes once all proposals are through."""
    recorder = instance.suspects._recorder
    while recorder.waiting():
        time.sleep(0.001)
    return instance.client.view().strikes_by_digest.get(_CONTENT, 0)


def test_second_strikes_are_recorded_with_the_first() -> None:
    """Guards against a block that no restart of all instances outlives.

    A single strike is common, and is not worth a record.
    """
    instance = _Instance()
    instance.run(instance.announce("w1", 1), _NO_ANSWER, is_lost=True)
    assert _recorded(instance) == 0
    instance.run(instance.announce("w2", 1), _NO_ANSWER, is_lost=True)
    assert _recorded(instance) == 2
    restarted = _Instance(instance.client)
    assert restarted.strikes == 2
    restarted.run(restarted.announce("w3", 1), _NO_ANSWER, is_lost=True)
    assert _recorded(restarted) == 3
    assert _Instance(instance.client).suspects.blocked_s(_CONTENT) > 0.0


def test_a_strike_counts_once_when_both_states_tell_of_it() -> None:
    """Guards against a sound content blocked for two losses.

    The view of the replicated state may come while the soft state still has
    the strikes as new ones.
    """
    one = _Instance()
    other = _Instance(one.client)
    for name in ("w0", "w1"):
        upstream = one.announce(name, 1)
        other.soft_state.put(
            membership.RecordKind.STRIKE,
            f"{_CONTENT}/{name}.{upstream.incarnation}",
            incarnation=0,
            sequence=_suspects.Standing.CONFIRMED,
            payload=b"",
        )
        one.run(upstream, _NO_ANSWER, is_lost=True)
    assert _recorded(one) == 2
    assert other.strikes == 2
    assert other.suspects.blocked_s(_CONTENT) == 0.0


def test_a_complete_run_clears_recorded_strikes() -> None:
    """Guards against a sound content that stays blocked for ever."""
    instance = _Instance()
    for number in range(2):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _NO_ANSWER, is_lost=True)
    assert _recorded(instance) == 2
    instance.run(upstream, "404")
    assert instance.strikes == 2
    instance.run(upstream, "200")
    assert _recorded(instance) == 0
    assert instance.strikes == 0


def test_a_complete_run_clears_strikes_that_wait_for_a_quorum() -> None:
    """Guards against strikes that are recorded after they were cleared."""
    client = _SlowClient()
    instance = _Instance(client)
    for number in range(2):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _NO_ANSWER, is_lost=True)
    instance.run(upstream, "200")
    client.has_quorum.set()
    assert _recorded(instance) == 0
    assert instance.strikes == 0


def test_a_sound_content_is_free_after_its_next_run() -> None:
    """Guards against sound requests blocked for what ran beside them.

    They meet the same losses as the request that crashes upstreams, also
    where they are tried again together with it.
    """
    instance = _Instance()
    for number in range(3):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _NO_ANSWER, is_lost=True)
    first_s = instance.suspects.blocked_s(_CONTENT)
    assert 0.0 < first_s <= 2 * decisions.block_duration_s(3)
    instance.seconds(first_s + 0.1)
    assert instance.suspects.blocked_s(_CONTENT) == 0.0
    instance.run(upstream, "200")
    assert _recorded(instance) == 0
    assert instance.strikes == 0


def test_one_run_after_a_restart_blocks_again() -> None:
    """Guards against three more losses by one request after each block.

    Its strikes of before are recorded, the new one is in the soft state.
    """
    instance = _Instance()
    for number in range(3):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _NO_ANSWER, is_lost=True)
    assert _recorded(instance) == 3
    restarted = _Instance(instance.client)
    restarted.seconds(2 * decisions.block_duration_s(3))
    assert restarted.suspects.blocked_s(_CONTENT) == 0.0
    restarted.run(restarted.announce("w4", 1), _NO_ANSWER)
    assert restarted.strikes == 4
    assert restarted.suspects.blocked_s(_CONTENT) >= decisions.block_duration_s(
        4
    )


def test_a_content_that_many_send_is_blocked_later() -> None:
    """Guards against lookups refused since upstreams are lost to others."""
    instance = _Instance()
    instance.run(instance.announce("w0", 1), "200")
    for number in range(1, 6):
        upstream = instance.announce(f"w{number}", 1)
        instance.run(upstream, _NO_ANSWER, is_lost=True)
        assert instance.suspects.blocked_s(_CONTENT) == 0.0
    instance.run(instance.announce("w6", 1), _NO_ANSWER, is_lost=True)
    assert instance.suspects.blocked_s(_CONTENT) > 0.0


def test_each_further_loss_blocks_for_longer() -> None:
    """Guards against upstreams lost to one request again and again.

    The platform allows three that come late.
    """
    instance = _Instance()
    losses_s: list[float] = []
    while instance.clock.now() < 1_600.0:
        if not instance.suspects.blocked_s(_CONTENT):
            losses_s.append(instance.clock.now())
            upstream = instance.announce(f"w{len(losses_s)}", 1)
            instance.run(upstream, _NO_ANSWER, is_lost=True)
            _recorded(instance)
        instance.seconds(1.0)
    late = [at_s for at_s in losses_s if at_s > losses_s[2] + 3.0]
    assert len(late) <= 3


@pytest.mark.parametrize(
    ("name", "sequence"),
    [
        *(("w0.1", sequence) for sequence in (-1, 0, 99, 2**40)),
        *((name, _suspects.Standing.CONFIRMED) for name in ("cleared", "w0.")),
    ],
)
def test_strikes_of_another_version_are_passed_over(
    name: str, sequence: int
) -> None:
    """Guards against an exchange that one record of a peer ends.

    Earlier versions name and number their records in their own way.
    """
    instance = _Instance()
    instance.soft_state.put(
        membership.RecordKind.STRIKE,
        f"{_CONTENT}/{name}",
        incarnation=1,
        sequence=sequence,
        payload=b"",
    )
    assert instance.strikes == 0
    instance.run(instance.announce("w1", 1), _NO_ANSWER, is_lost=True)
    assert instance.strikes == 1
