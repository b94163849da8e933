"""Parts of prompts that crash upstreams are blocked in chats, others are not."""

import random

import pytest

import mulberry_core as core
import mulberry_decisions as decisions

_DEADLY = core.digest128(b"deadly")
_SYSTEM = core.digest128(b"system")
_UPSTREAM_COUNT = 20


def _deadly(number: int) -> decisions.Work:
    return _work(f"d{number}", _SYSTEM, _DEADLY)


def _sound(number: int) -> decisions.Work:
    return _work(f"s{number}", _SYSTEM, core.digest128(b"%d" % number))


def _work(content: str, *parts: str) -> decisions.Work:
    return decisions.Work("a", "k", 2, 1e9, content=content, shared_parts=parts)


class _Entries:
    """The guards of two entries that share recorded crashes."""

    def __init__(self) -> None:
        self.clock = core.ManualClock(1_000.0)
        self.guards = [self.new_guard() for _ in range(2)]
        #: Unix time of each crash by its id, by digest.
        self.crashes_by_digest: dict[str, dict[str, float]] = {}
        self.lost = 0
        self._incarnations = dict.fromkeys(
            (f"u{number}" for number in range(_UPSTREAM_COUNT)), 1
        )

    def new_guard(self) -> decisions.StrikeGuard:
        return decisions.StrikeGuard(self.clock)

    def usable(
        self, work: decisions.Work, entry: int = 0
    ) -> tuple[decisions.UpstreamState, ...] | core.Refusal:
        states = [
            decisions.UpstreamState(name, name, "z", incarnation)
            for name, incarnation in self._incarnations.items()
        ]
        return self.guards[entry].filter(work, states)

    def is_blocked(self, work: decisions.Work, entry: int = 0) -> bool:
        return isinstance(self.usable(work, entry), core.Refusal)

    def start(
        self, work: decisions.Work, entry: int = 0, name: str = ""
    ) -> decisions.UpstreamState | core.Refusal:
        """Begins a run, on the upstream of this name if it may run there."""
        usable = self.usable(work, entry)
        if isinstance(usable, core.Refusal):
            return usable
        chosen = next((u for u in usable if u.name == name), usable[0])
        assert self.guards[entry].started(work, chosen)
        return chosen

    def complete(self, work: decisions.Work, entry: int = 0) -> bool:
        """Runs a request completely; returns whether it was allowed."""
        upstream = self.start(work, entry)
        if isinstance(upstream, core.Refusal):
            return False
        self.finish(work, upstream, decisions.Outcome.COMPLETED, entry)
        return True

    def finish(
        self,
        work: decisions.Work,
        upstream: decisions.UpstreamState,
        outcome: decisions.Outcome,
        entry: int = 0,
    ) -> None:
        for digest in self.guards[entry].finished(work, upstream, outcome):
            self.crashes_by_digest.pop(digest, None)
        self.publish()

    def crash(self, work: decisions.Work, *beside: decisions.Work) -> bool:
        """Loses the upstream of a request, and with it those beside it.

        Returns:
            False if the request was refused.
        """
        name = ""
        for other in beside:
            started = self.start(other, name=name)
            assert isinstance(started, decisions.UpstreamState)
            name = started.name
        upstream = self.start(
            work, entry=self.lost % len(self.guards), name=name
        )
        if isinstance(upstream, core.Refusal):
            return False
        self.lost += 1
        self._incarnations[upstream.name] += 1
        for guard in self.guards:
            report = guard.upstream_lost(upstream.name, upstream.incarnation)
            if isinstance(report, decisions.CrashReport):
                self.record(
                    f"{report.upstream} {report.incarnation}", *report.digests
                )
        self.publish()
        return True

    def record(self, crash: str, *digests: str) -> None:
        for digest in digests:
            self.crashes_by_digest.setdefault(digest, {}).setdefault(
                crash, self.clock.wall()
            )

    def publish(self) -> None:
        counts = {
            digest: len(crashes)
            for digest, crashes in self.crashes_by_digest.items()
        }
        crashes = {
            digest: dict(crashes)
            for digest, crashes in self.crashes_by_digest.items()
        }
        for guard in self.guards:
            guard.strikes_changed(counts, crashes)

    def block(self) -> None:
        """Crashes upstreams until the part is blocked."""
        for number in range(decisions.BLOCKING_STRIKES):
            assert self.crash(_deadly(number), _sound(number))
            self.clock.advance(0.5)
        assert self.is_blocked(_deadly(90))


def test_the_refusal_names_the_part() -> None:
    entries = _Entries()
    entries.block()
    refusal = entries.usable(_deadly(90))
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.CONTENT_BLOCKED
    assert "part 2 of this prompt" in refusal.reason


def test_different_chats_crash_few_upstreams() -> None:
    """Guards against chats that crash upstreams by a message they share."""
    entries = _Entries()
    for number in range(40):
        entries.crash(_deadly(number))
        entries.clock.advance(0.25)
    assert entries.lost <= 5
    assert all(entries.is_blocked(_deadly(90), entry) for entry in (0, 1))
    assert entries.complete(_sound(90))


def test_crashes_of_a_part_block_no_content_beside_it() -> None:
    """Guards against blocking a chat that ran beside the cause twice."""
    entries = _Entries()
    beside = _sound(0)
    for number in range(2):
        entries.crash(_deadly(number), beside)
        entries.clock.advance(0.5)
    assert entries.is_blocked(beside)
    entries.crash(_deadly(2))
    assert entries.is_blocked(_deadly(90))
    assert not entries.is_blocked(beside)


def test_a_content_that_crashes_upstreams_blocks_none_of_its_parts() -> None:
    """Guards against blocking a system message for a single bad chat."""
    entries = _Entries()
    for _ in range(decisions.BLOCKING_STRIKES):
        entries.crash(_deadly(0))
        entries.clock.advance(1.0)
    assert entries.is_blocked(_deadly(0))
    assert entries.complete(_deadly(1))


def test_a_part_with_sound_runs_between_crashes_is_not_blocked() -> None:
    """Guards against blocking what all chats share when upstreams fail."""
    entries = _Entries()
    for number in range(5):
        entries.crash(_sound(number))
        assert entries.complete(_sound(10 + number), entry=number % 2)
        entries.clock.advance(5.0)
    assert not entries.is_blocked(_sound(90))


def test_upstreams_lost_at_the_same_moment_are_no_evidence() -> None:
    """Guards against blocking a system message after a loss of power."""
    entries = _Entries()
    for number in range(8):
        entries.crash(_sound(number))
        entries.clock.advance(0.05)
    assert not entries.is_blocked(_sound(90))


def test_first_records_of_a_crash_blame_no_part_for_long() -> None:
    """Guards against a part that is blamed before all entries have recorded.

    The crashes of the first records are those of a part beside the cause.
    """
    entries = _Entries()
    other = core.digest128(b"other")
    part = f"shared:1:{other}"
    for number in range(decisions.BLOCKING_STRIKES):
        crash = f"u{number} 1"
        entries.record(crash, part)
        entries.publish()
        entries.clock.advance(0.2)
        entries.record(crash, f"shared:0:{_SYSTEM}", f"shared:2:{_DEADLY}")
        entries.publish()
        entries.clock.advance(0.3)
    assert not entries.is_blocked(_work("b", _SYSTEM, other))
    assert entries.is_blocked(_work("d90", _SYSTEM, other, _DEADLY))


def test_a_complete_trial_unblocks_a_part_at_all_entries() -> None:
    """Guards against blocking a sound part for good."""
    entries = _Entries()
    entries.block()
    entries.clock.advance(40.0)
    assert entries.complete(_deadly(90))
    assert not entries.is_blocked(_deadly(91), entry=1)
    assert not any(
        digest.startswith(("shared:0", "shared:1", "trial"))
        and _DEADLY in digest
        for digest in entries.crashes_by_digest
    )


def test_only_one_chat_of_an_entry_tests_a_block() -> None:
    """Guards against a crash by each chat that waits for the end of a block."""
    entries = _Entries()
    entries.block()
    entries.clock.advance(40.0)
    usable = entries.usable(_deadly(91))
    trial = entries.start(_deadly(90))
    assert isinstance(trial, decisions.UpstreamState)
    refusal = entries.usable(_deadly(91))
    assert isinstance(refusal, core.Refusal)
    assert refusal.retry_after_s == 2.0
    assert isinstance(usable, tuple)
    assert not entries.guards[0].started(_deadly(91), usable[1])
    entries.finish(_deadly(90), trial, decisions.Outcome.CANCELED)
    assert not entries.is_blocked(_deadly(91))


def test_a_failed_trial_blocks_a_part_for_longer() -> None:
    """Guards against an upstream lost every 20 s, also after a restart."""
    entries = _Entries()
    entries.block()
    entries.clock.advance(40.0)
    assert entries.crash(_deadly(90))
    entries.clock.advance(79.0)
    assert entries.is_blocked(_deadly(91), 0)
    assert entries.is_blocked(_deadly(91), 1)
    entries.clock.advance(81.0)
    assert not entries.is_blocked(_deadly(91))


def test_a_part_stays_blocked_after_all_entries_restart() -> None:
    """Guards against a block that only lasts as long as the processes."""
    entries = _Entries()
    entries.block()
    entries.guards = [entries.new_guard() for _ in range(2)]
    entries.publish()
    assert entries.is_blocked(_deadly(90))
    assert not entries.is_blocked(_sound(90))


def test_an_entry_that_hears_late_finds_the_same_causes() -> None:
    """Guards against an entry to which all crashes are new at once."""
    entries = _Entries()
    guards = entries.guards
    entries.guards = guards[:1]
    entries.block()
    entries.guards = guards
    entries.publish()
    assert entries.is_blocked(_deadly(90), entry=1)


@pytest.mark.parametrize("seed", range(5))
def test_a_part_of_most_chats_is_soon_tested(seed: int) -> None:
    """Guards against an outage of a route whose chats share a message.

    Two causes crash upstreams before any chat has been answered.
    """
    random.seed(seed)
    entries = _Entries()
    for number in range(8):
        entries.is_blocked(_sound(number))
    for _ in range(2):
        entries.crash(_work("bad", _SYSTEM))
        entries.clock.advance(0.5)
    for number in range(2):
        entries.crash(_work(f"d{number}", _SYSTEM))
        entries.clock.advance(0.5)
    assert entries.is_blocked(_sound(90))
    entries.clock.advance(4.0)
    assert entries.complete(_sound(90))
    assert not entries.is_blocked(_sound(91), entry=1)


def test_unknown_digests_in_the_record_are_ignored() -> None:
    """Guards against records of the gateway or of a later version."""
    entries = _Entries()
    entries.crashes_by_digest = {
        "part:00ff": {"u1 1": 1.0, "u2 1": 2.0, "u3 1": 3.0},
        "shared:x:00": {"u1 1": 1.0},
    }
    entries.publish()
    assert not entries.is_blocked(_sound(1))
