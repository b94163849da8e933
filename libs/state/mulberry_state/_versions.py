"""Verdicts on versions, model rollout steps and crash strikes of contents."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import mulberry_core as core
import mulberry_rules as rules
from mulberry_state import _codec, _commands, _invariants, _view
from mulberry_wire import state_pb2

#: A content with at least this many strikes is blocked, and its strikes are
#: kept for `BLOCK_RETENTION_S` instead of `STRIKE_RETENTION_S`.
BLOCKING_STRIKES = 2

#: Retention of strikes. Callers resend within days, so blocked contents are
#: kept longer. A content with a single crash was most often only in flight
#: next to the content that caused it. Seconds.
STRIKE_RETENTION_S = 86_400.0
BLOCK_RETENTION_S = 30 * 86_400.0


@dataclasses.dataclass(frozen=True)
class Strikes:
    """The upstream crashes during which a content was in flight."""

    #: Crash ids, see `crash_id`; two instances that report the same crash give
    #: one strike.
    crashes: tuple[str, ...]
    #: Unix time of the latest crash, seconds.
    wall_s: float
    #: Unix time of each crash, seconds; 0 if an earlier version recorded it.
    crash_wall_s: tuple[float, ...] = ()

    def is_expired(self, wall_s: float) -> bool:
        """Returns whether the strikes are past their retention."""
        is_blocked = len(self.crashes) >= BLOCKING_STRIKES
        retention_s = BLOCK_RETENTION_S if is_blocked else STRIKE_RETENTION_S
        return self.wall_s + retention_s <= wall_s


class Versions:
    """Verdicts by version, rollout steps by model and strikes by content."""

    def __init__(self) -> None:
        self.verdict_by_version: dict[tuple[str, str], _view.Verdict] = {}
        self.step_by_model: dict[str, _view.RolloutStep] = {}
        self.strikes_by_digest: dict[str, Strikes] = {}

    def is_bad(self, model: str, version: str) -> bool:
        """Returns whether the latest verdict on the version is bad."""
        verdict = self.verdict_by_version.get((model, version))
        return bool(verdict and verdict.state is _commands.VerdictState.BAD)

    def record_verdict(
        self, command: _commands.RecordVerdict
    ) -> _commands.VerdictRecorded | _commands.VerdictStale:
        """Records a verdict if it is based on the latest one."""
        key = (command.model, command.version)
        old = self.verdict_by_version.get(key)
        number = old.number if old else 0
        if command.after_number != number:
            return _commands.VerdictStale(number)
        new = _view.Verdict(command.state, number + 1, command.reason)
        _invariants.require(
            old is None or new.number == old.number + 1,
            f"verdict number of {' '.join(key)} would not increase by one",
        )
        self.verdict_by_version[key] = new
        return _commands.VerdictRecorded(new.number)

    def advance(
        self,
        command: _commands.AdvanceRollout,
        current: rules.Rules | core.Missing,
        wall_s: float,
    ) -> _commands.RolloutAdvanced | _commands.RolloutStale:
        """Moves a rollout of the rules in force to another step."""
        old = self.step_by_model.get(command.model)
        step = _commands.NO_STEP
        if old and old.to_version == command.to_version:
            step = old.step
        if command.after_step != step or not _has_step(command, current):
            return _commands.RolloutStale(step)
        self.step_by_model[command.model] = _view.RolloutStep(
            command.to_version, command.step, wall_s, command.reason
        )
        return _commands.RolloutAdvanced(command.step)

    def drop_old_rollouts(self, current: rules.Rules) -> None:
        """Drops the steps of rollouts that the rules no longer contain."""
        self.step_by_model = {
            model: step
            for model, step in self.step_by_model.items()
            if (rollout := current.rollouts_by_model.get(model))
            and rollout.to_version == step.to_version
        }

    def record_crash(
        self, command: _commands.RecordCrash, wall_s: float
    ) -> tuple[_commands.CrashRecorded, bool]:
        """Gives each content one strike for this crash.

        Returns:
            The result, and whether any strike is new.
        """
        crash = _view.crash_id(command.upstream, command.incarnation)
        changed = False
        for digest in command.digests:
            old = self.strikes_by_digest.get(digest, Strikes((), 0.0))
            if crash not in old.crashes:
                changed = True
                self.strikes_by_digest[digest] = Strikes(
                    (*old.crashes, crash),
                    wall_s,
                    (*old.crash_wall_s, wall_s),
                )
        strikes = {d: self.strikes(d) for d in command.digests}
        return _commands.CrashRecorded(strikes), changed

    def strikes(self, digest: str) -> int:
        """Returns the strike count of a content."""
        found = self.strikes_by_digest.get(digest)
        return len(found.crashes) if found else 0

    def clear_strikes(self, digests: tuple[str, ...]) -> bool:
        """Removes the strikes of contents; returns whether any had strikes."""
        found = [d for d in digests if d in self.strikes_by_digest]
        for digest in set(found):
            del self.strikes_by_digest[digest]
        return bool(found)

    def expire(self, wall_s: float) -> bool:
        """Drops expired strikes; returns whether there were any."""
        return self.clear_strikes(
            tuple(
                digest
                for digest, strikes in self.strikes_by_digest.items()
                if strikes.is_expired(wall_s)
            )
        )

    def write(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Copies verdicts, steps and strikes into a snapshot."""
        fill_verdicts(self.verdict_by_version, snapshot.verdicts)
        fill_rollouts(self.step_by_model, snapshot.rollouts)
        for digest, strikes in self.strikes_by_digest.items():
            snapshot.strikes.add(
                digest=digest,
                crashes=strikes.crashes,
                wall_s=strikes.wall_s,
                crash_wall_s=strikes.crash_wall_s,
            )

    def restore(self, snapshot: state_pb2.StateSnapshot) -> None:
        """Replaces verdicts, steps and strikes by those of a snapshot."""
        self.verdict_by_version = read_verdicts(snapshot.verdicts)
        self.step_by_model = read_rollouts(snapshot.rollouts)
        self.strikes_by_digest = {
            item.digest: Strikes(
                tuple(item.crashes), item.wall_s, crash_times(item)
            )
            for item in snapshot.strikes
        }


def crash_times(entry: state_pb2.StrikeEntry) -> tuple[float, ...]:
    """Returns the Unix time of each crash, seconds; 0 if it is unknown."""
    unknown = len(entry.crashes) - len(entry.crash_wall_s)
    times = (*(0.0 for _ in range(unknown)), *entry.crash_wall_s)
    # Another version may record more times than crashes.
    return times[: len(entry.crashes)]


def _has_step(
    command: _commands.AdvanceRollout, current: rules.Rules | core.Missing
) -> bool:
    if isinstance(current, core.Missing):
        return False
    rollout = current.rollouts_by_model.get(command.model)
    return (
        rollout is not None
        and rollout.to_version == command.to_version
        and _commands.NO_STEP <= command.step < len(rollout.steps)
    )


def fill_verdicts(
    verdicts: Mapping[tuple[str, str], _view.Verdict], target: Any
) -> None:
    """Copies verdicts into a repeated field."""
    for (model, version), verdict in verdicts.items():
        item = target.add(model=model, version=version)
        _codec.fill(verdict, item)


def read_verdicts(source: Any) -> dict[tuple[str, str], _view.Verdict]:
    """Reads verdicts by (model, version)."""
    return {
        (item.model, item.version): _codec.read(_view.Verdict, item)
        for item in source
    }


def fill_rollouts(steps: Mapping[str, _view.RolloutStep], target: Any) -> None:
    """Copies rollout steps into a repeated field."""
    for model, step in steps.items():
        item = target.add(model=model)
        _codec.fill(step, item)


def read_rollouts(source: Any) -> dict[str, _view.RolloutStep]:
    """Reads rollout steps by model."""
    return {item.model: _codec.read(_view.RolloutStep, item) for item in source}
