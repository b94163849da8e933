"""The replicated state machine.

Deterministic: the same commands in the same order give the same state on
every voter. It reads no clock; every record carries the times of the leader
that appended it.
"""

import dataclasses
from collections.abc import Callable, Mapping
from typing import Any

from google.protobuf import message

import mulberry_core as core
from mulberry_state import (
    _audit,
    _claims,
    _commands,
    _dedup,
    _evacuations,
    _invariants,
    _leases,
    _ledger,
    _parser,
    _pins,
    _routing,
    _rulebook,
    _versions,
    _view,
)
from mulberry_wire import state_pb2

#: Version of the snapshot format.
SNAPSHOT_FORMAT = 1

#: Minimum time between two expiry passes, seconds.
_EXPIRY_PERIOD_S = 60.0


@dataclasses.dataclass(frozen=True)
class Stamp:
    """Position and times of a record, set by the leader that appended it."""

    #: Log index.
    index: int
    #: Unix time, seconds; used for display and retention.
    wall_s: float
    #: Log time, seconds. Each leader continues from its predecessor's value by
    #: CLOCK_BOOTTIME, so that a leader whose wall clock is ahead ends no lease
    #: early.
    log_s: float


class StateMachine:
    """Applies commands to the replicated state.

    Not thread-safe: the owner serializes access with a lock.
    """

    def __init__(self, parser: _parser.RulesParser) -> None:
        self._parser = parser
        self._index = 0
        self._wall_s = 0.0
        self._log_s = 0.0
        self._revision = 0
        self._last_expiry_s = 0.0
        self._in_effect_revision = 0
        self._in_effect_s = 0.0
        self._voters_by_name: dict[str, str] = {}
        self.rulebook = _rulebook.Rulebook(parser)
        self.versions = _versions.Versions()
        self.ledger = _ledger.Ledger()
        self.claims = _claims.Claims()
        self.pins = _pins.Pins()
        self.leases = _leases.Leases()
        self.routing = _routing.RoutingState()
        self.evacuations = _evacuations.EvacuationState()
        self.audit = _audit.AuditTrail()
        self._results = _dedup.ResultTable(_claims.CLAIM_RETENTION_S)
        self._short_results = _dedup.ResultTable(_dedup.SHORT_RETENTION_S)
        self._view = _view.EMPTY_VIEW
        self._handlers: Mapping[type, Callable[[Any], _commands.Result]] = {
            _commands.SubmitRules: self._submit_rules,
            _commands.ClaimCall: self._claim_call,
            _commands.SettleClaim: self._settle_claim,
            _commands.ReleaseClaim: self._release_claim,
            _commands.RecordBill: self._record_bill,
            _commands.PinSession: self._pin_session,
            _commands.RecordVerdict: self._record_verdict,
            _commands.AdvanceRollout: self._advance_rollout,
            _commands.RecordCrash: self._record_crash,
            _commands.ClearStrikes: self._clear_strikes,
            _commands.AcquireLease: self._acquire_lease,
            _commands.RecordOrder: self._record_order,
            _commands.ReplaceRouting: self._change_routing,
            _commands.BeginServiceRollout: self._change_routing,
            _commands.MoveServiceRollout: self._change_routing,
            _commands.ChangeEvacuation: self._change_evacuation,
        }

    @property
    def view(self) -> _view.View:
        """The immutable part of the state that every instance receives."""
        return self._view

    @property
    def index(self) -> int:
        """Log index of the last applied record."""
        return self._index

    @property
    def log_s(self) -> float:
        """Log time of the last applied record, seconds."""
        return self._log_s

    @property
    def in_effect(self) -> tuple[int, float]:
        """Newest revision that is in effect everywhere, and since when.

        The time is Unix time in seconds.
        """
        return self._in_effect_revision, self._in_effect_s

    def apply(
        self, command: _commands.Command, stamp: Stamp
    ) -> _commands.Result:
        """Applies one command; a command applied before changes nothing.

        Raises:
            InvariantError: The state violates an invariant.
        """
        self._advance(stamp)
        for table in (self._results, self._short_results):
            found = table.find(command.command_id)
            if found is not None:
                return found
        result = self._handlers[type(command)](command)
        if isinstance(result, _dedup.SHORT_RETENTION_RESULTS):
            self._short_results.store(command.command_id, result, self._wall_s)
        elif not isinstance(result, _dedup.DEDUPLICATED_BY_KEY):
            self._results.store(command.command_id, result, self._wall_s)
        return result

    def set_voters(
        self, voters_by_name: Mapping[str, str], who: str, stamp: Stamp
    ) -> None:
        """Copies the voters into the view; the log decides who is a voter."""
        self._advance(stamp)
        if dict(voters_by_name) == self._voters_by_name:
            return
        self._voters_by_name = dict(voters_by_name)
        names = " ".join(sorted(voters_by_name))
        self._update_view()
        self._add_audit_record(who, f"voters are {names}", in_view=True)

    def mark_in_effect(self, revision: int, stamp: Stamp) -> None:
        """Records that every instance has received `revision` of the view."""
        self._advance(stamp)
        if revision > self._in_effect_revision:
            self._in_effect_revision = revision
            self._in_effect_s = self._wall_s
            self.audit.mark_in_effect(revision, self._wall_s)

    def apply_noop(self, stamp: Stamp) -> None:
        """Advances index and times for a record without a command."""
        self._advance(stamp)

    def snapshot(self) -> bytes:
        """Serializes the whole state."""
        out = state_pb2.StateSnapshot(
            format=SNAPSHOT_FORMAT,
            index=self._index,
            wall_s=self._wall_s,
            log_s=self._log_s,
            revision=self._revision,
            in_effect_revision=self._in_effect_revision,
            in_effect_s=self._in_effect_s,
            voters_by_name=self._voters_by_name,
        )
        self.rulebook.write(out)
        self.versions.write(out)
        self.ledger.write(out)
        self.claims.write(out)
        self.pins.write(out)
        self.leases.write(out)
        self.routing.write(out)
        self.evacuations.write(out)
        self.audit.write(out)
        self._results.write(out.results)
        self._short_results.write(out.short_results)
        return out.SerializeToString(deterministic=True)

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot.

        Raises:
            ValueError: The bytes are not a snapshot of a known format.
            InvariantError: The snapshot violates an invariant.
        """
        source = state_pb2.StateSnapshot()
        try:
            source.ParseFromString(data)
        except message.DecodeError as error:
            raise ValueError(f"malformed snapshot: {error}") from error
        if source.format != SNAPSHOT_FORMAT:
            raise ValueError(
                f"unsupported snapshot format {source.format}, "
                f"expected {SNAPSHOT_FORMAT}"
            )
        self._index = source.index
        self._wall_s = source.wall_s
        self._log_s = source.log_s
        self._revision = source.revision
        self._in_effect_revision = source.in_effect_revision
        self._in_effect_s = source.in_effect_s
        self._voters_by_name = dict(source.voters_by_name)
        self.rulebook.restore(source.rules_texts)
        self.versions.restore(source)
        self.ledger.restore(source)
        self.claims.restore(source.claims)
        self.pins.restore(source.pins)
        self.leases.restore(source)
        self.routing.restore(source)
        self.evacuations.restore(source)
        self.audit.restore(source.audit)
        self._results.restore(source.results)
        self._short_results.restore(source.short_results)
        self._build_view()

    def _advance(self, stamp: Stamp) -> None:
        _invariants.require(
            stamp.index > self._index,
            f"record {stamp.index} was applied after record {self._index}",
        )
        self._index = stamp.index
        # The wall clock may jump back; the times of the state never decrease.
        self._wall_s = max(self._wall_s, stamp.wall_s)
        self._log_s = max(self._log_s, stamp.log_s)
        if self._wall_s - self._last_expiry_s >= _EXPIRY_PERIOD_S:
            self._last_expiry_s = self._wall_s
            self._expire()

    def _expire(self) -> None:
        self.ledger.expire(self._wall_s)
        self.claims.expire(self._wall_s)
        self.pins.expire(self._wall_s)
        self._results.expire(self._wall_s)
        self._short_results.expire(self._wall_s)
        if self.versions.expire(self._wall_s):
            self._update_view()

    def _update_view(self) -> None:
        self._revision += 1
        self._build_view()

    def _build_view(self) -> None:
        _invariants.require(
            self._revision >= self._view.revision
            and self.rulebook.number >= self._view.rules_number
            and self.routing.document.version >= self._view.routing.version,
            "revision, rules number or routing version of the view decreased",
        )
        versions = self.versions
        self._view = _view.View(
            revision=self._revision,
            rules_number=self.rulebook.number,
            rules=self.rulebook.rules,
            rules_text=self.rulebook.text,
            verdicts_by_version=dict(versions.verdict_by_version),
            rollout_steps_by_model=dict(versions.step_by_model),
            strikes_by_digest={
                digest: versions.strikes(digest)
                for digest in versions.strikes_by_digest
            },
            voters_by_name=dict(self._voters_by_name),
            routing=self.routing.document,
            service_rollouts_by_service=dict(self.routing.rollout_by_service),
            crashes_by_digest={
                digest: strikes.crashes
                for digest, strikes in versions.strikes_by_digest.items()
            },
            crash_wall_s_by_digest={
                digest: strikes.crash_wall_s
                for digest, strikes in versions.strikes_by_digest.items()
            },
            evacuations_by_zone=dict(self.evacuations.by_zone),
        )

    def _add_audit_record(
        self, who: str, what: str, in_view: bool = False
    ) -> None:
        self.audit.add(
            _audit.AuditRecord(
                index=self._index,
                wall_s=self._wall_s,
                who=who,
                what=what,
                revision=self._revision if in_view else 0,
            )
        )

    def _submit_rules(self, command: _commands.SubmitRules) -> _commands.Result:
        before = self.rulebook.number
        result = self.rulebook.submit(command, self._wall_s, self._revision + 1)
        if isinstance(result, _commands.RulesRejected):
            count = len(result.errors)
            self._add_audit_record(
                command.operator, f"rules rejected: {count} errors"
            )
        elif isinstance(result, _commands.RulesConflict):
            self._add_audit_record(
                command.operator,
                f"rules edited from {command.edited_from} refused: "
                f"{result.number} by {result.changed_by} are in force",
            )
        elif self.rulebook.number != before:
            rules = self.rulebook.rules
            if not isinstance(rules, core.Missing):
                self.versions.drop_old_rollouts(rules)
            self._update_view()
            changes = "; ".join(self.rulebook.texts()[-1].changes)
            self._add_audit_record(
                command.operator,
                f"rules {self.rulebook.number}: {changes}",
                in_view=True,
            )
        return result

    def _claim_call(self, command: _commands.ClaimCall) -> _commands.Result:
        claim = self.claims.find(command.team, command.key)
        if claim is None:
            # The bill under this key belongs to another kind of request.
            if self.ledger.find(command.team, command.key):
                return _commands.ClaimMismatch()
            self.claims.grant(command)
            return _commands.ClaimGranted()
        if (claim.body_digest, claim.kind) != (
            command.body_digest,
            command.kind,
        ):
            return _commands.ClaimMismatch()
        if claim.command_id == command.command_id:
            return _commands.ClaimGranted()
        if claim.answer is not None:
            return _commands.ClaimRecorded(claim.answer, claim.request_id)
        return _commands.ClaimOpen(claim.request_id, claim.entry)

    def _settle_claim(self, command: _commands.SettleClaim) -> _commands.Result:
        claim = self.claims.find(command.team, command.key)
        bill = command.bill
        if (
            claim is None
            or claim.request_id != command.request_id
            or (bill.team, bill.key) != (command.team, command.key)
        ):
            return _commands.ClaimLost()
        if claim.answer is None:
            self.claims.settle(claim, command.answer, self._wall_s)
            self.ledger.record(bill, self._wall_s)
        return _commands.ClaimSettled()

    def _release_claim(
        self, command: _commands.ReleaseClaim
    ) -> _commands.Result:
        claim = self.claims.find(command.team, command.key)
        if (
            claim is None
            or claim.request_id != command.request_id
            or claim.answer is not None
        ):
            return _commands.ClaimLost()
        self.claims.release(claim)
        # A delayed copy of the granted command must not reopen the claim.
        self._results.store(
            claim.command_id, _commands.ClaimGranted(), self._wall_s
        )
        return _commands.ClaimReleased()

    def _record_bill(self, command: _commands.RecordBill) -> _commands.Result:
        bill = command.bill
        row = self.ledger.find(bill.team, bill.key)
        if row is not None:
            if row.bill.body_digest != bill.body_digest:
                return _commands.BillMismatch()
            # The same request id means a resent command, which gets the result
            # of the first one.
            return _commands.BillRecorded(
                first=row.bill.request_id == bill.request_id
            )
        if self.claims.find(bill.team, bill.key):
            # A claimed call uses the key and is billed when it is settled.
            return _commands.BillMismatch()
        self.ledger.record(bill, self._wall_s)
        return _commands.BillRecorded(first=True)

    def _pin_session(self, command: _commands.PinSession) -> _commands.Result:
        old = self.pins.version(command)
        version, moved = self.pins.pin(command, self._is_usable, self._wall_s)
        if moved:
            self._add_audit_record(
                "sessions",
                f"session {command.session} of {command.team} moved from "
                f"{command.model} {old} to {version}",
            )
        return _commands.SessionPinned(version)

    def _is_usable(self, model: str, version: str) -> bool:
        rules = self.rulebook.rules
        withdrawn = not isinstance(rules, core.Missing) and rules.is_withdrawn(
            model, version
        )
        return not withdrawn and not self.versions.is_bad(model, version)

    def _record_verdict(
        self, command: _commands.RecordVerdict
    ) -> _commands.Result:
        result = self.versions.record_verdict(command)
        if isinstance(result, _commands.VerdictRecorded):
            self._update_view()
            self._add_audit_record(
                "version judge",
                f"verdict {result.number} on {command.model} "
                f"{command.version}: {command.state.value}, {command.reason} "
                f"({command.evidence})",
                in_view=True,
            )
        return result

    def _advance_rollout(
        self, command: _commands.AdvanceRollout
    ) -> _commands.Result:
        result = self.versions.advance(
            command, self.rulebook.rules, self._wall_s
        )
        if isinstance(result, _commands.RolloutAdvanced):
            self._update_view()
            self._add_audit_record(
                "roll-out",
                f"{command.model} {command.to_version} moved from step "
                f"{command.after_step} to {command.step}: {command.reason}",
                in_view=True,
            )
        return result

    def _record_crash(self, command: _commands.RecordCrash) -> _commands.Result:
        result, changed = self.versions.record_crash(command, self._wall_s)
        if changed:
            self._update_view()
            self._add_audit_record(
                "crash guard",
                f"upstream {command.upstream} crashed with "
                f"{len(command.digests)} contents and prompt parts in flight",
                in_view=True,
            )
        return result

    def _clear_strikes(
        self, command: _commands.ClearStrikes
    ) -> _commands.Result:
        if self.versions.clear_strikes(command.digests):
            self._update_view()
        return _commands.StrikesCleared()

    def _acquire_lease(
        self, command: _commands.AcquireLease
    ) -> _commands.Result:
        return self.leases.acquire(command, self._log_s)

    def _record_order(self, command: _commands.RecordOrder) -> _commands.Result:
        result = self.leases.record_order(command, self._log_s, self._wall_s)
        if isinstance(result, _commands.OrderRecorded):
            self._add_audit_record(
                f"lease {command.lease_name} {command.fencing_number}",
                f"order {command.order} to {command.upstream} "
                f"{command.state.value}",
            )
        return result

    def _change_routing(
        self, command: _routing.RoutingCommand
    ) -> _commands.Result:
        return self._record_change(self.routing.apply(command))

    def _change_evacuation(
        self, command: _commands.ChangeEvacuation
    ) -> _commands.Result:
        return self._record_change(
            self.evacuations.apply(command, self._wall_s)
        )

    def _record_change(
        self, change: _routing.RoutingChange
    ) -> _commands.Result:
        if change.what:
            self._update_view()
            self._add_audit_record(change.who, change.what, in_view=True)
        return change.result
