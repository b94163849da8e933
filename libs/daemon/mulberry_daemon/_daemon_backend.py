"""Operator backend that serves requests from the state of the daemon."""

import collections
import dataclasses

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
import mulberry_membership as membership
import mulberry_rules as rules
import mulberry_state as state
from mulberry_daemon import _operator_backend as backend
from mulberry_daemon import _replicated_state

_READ_TIMEOUT_S = 5.0
_SUBMIT_TIMEOUT_S = 10.0
#: A new voter must first copy the whole state.
_CHANGE_VOTERS_TIMEOUT_S = 60.0

#: Time without a reply to the leader after which a voter is reported as
#: unreachable, seconds.
_UNREACHABLE_AFTER_S = 2.0

_NAME_BY_VERDICT = {
    state.VerdictState.BAD: "bad",
    state.VerdictState.PROBATION: "probation",
}


class DaemonBackend(backend.OperatorBackend):
    """Answers from the replicated state, the membership and the directory."""

    def __init__(
        self,
        instance: str,
        replicated_state: _replicated_state.ReplicatedState,
        members: membership.Membership,
        directory: membership.UpstreamDirectory,
        decision_set: entry.DecisionSet,
        clock: core.Clock,
    ) -> None:
        self._instance = instance
        self._decisions = decision_set
        self._replicated_state = replicated_state
        self._members = members
        self._directory = directory
        self._clock = clock
        #: Unix time of the last state change, by member name.
        self._since_by_name: dict[str, float] = {instance: clock.wall()}
        members.subscribe_members(self._on_member_changed)

    def submit_rules(
        self, command_id: str, text: str, operator: str
    ) -> backend.SubmitResult | core.Refusal:
        """See `OperatorBackend`."""
        edited_from = rules.edited_from(text)
        result = self._replicated_state.client.propose(
            state.SubmitRules(
                command_id,
                text,
                0 if isinstance(edited_from, core.Missing) else edited_from,
                operator,
            ),
            _SUBMIT_TIMEOUT_S,
        )
        assert isinstance(
            result,
            state.RulesAccepted
            | state.RulesConflict
            | state.RulesRejected
            | core.Refusal,
        )
        return result

    def accepted_rules(
        self, number: int | core.Missing
    ) -> backend.AcceptedRules | core.Refusal:
        """See `OperatorBackend`."""
        listed = self.list_rules(0)
        if isinstance(listed, core.Refusal):
            return listed
        for accepted in listed:
            if number in (core.Missing.UNSET, accepted.number):
                return accepted
        kind = core.ErrorKind.NOT_FOUND if listed else core.ErrorKind.NO_RULES
        return _refusal(kind, f"no accepted rules {number}")

    def list_rules(
        self, limit: int
    ) -> tuple[backend.AcceptedRules, ...] | core.Refusal:
        """See `OperatorBackend`; a limit of 0 returns all."""
        history = self._replicated_state.reader.history(_READ_TIMEOUT_S)
        if isinstance(history, core.Refusal):
            return history
        return tuple(
            backend.AcceptedRules(
                item.number,
                item.operator,
                item.wall_s,
                item.changes,
                item.text,
            )
            for item in history[: limit or None]
        )

    def status(self) -> backend.Status | core.Refusal:
        """See `OperatorBackend`; also works without a quorum."""
        client = self._replicated_state.client
        view = client.view()
        leader_status = self._replicated_state.reader.status(_READ_TIMEOUT_S)
        history = self._replicated_state.reader.history(_READ_TIMEOUT_S)
        has_leader = not isinstance(leader_status, core.Refusal)
        accepted_at_s: float | core.Missing = core.Missing.UNSET
        everywhere_at_s: float | core.Missing = core.Missing.UNSET
        if not isinstance(history, core.Refusal) and history:
            accepted_at_s = history[0].wall_s
        if not isinstance(leader_status, core.Refusal):
            everywhere_at_s = (
                leader_status.rules_in_effect_s or core.Missing.UNSET
            )
        return backend.Status(
            instance=self._instance,
            leader=leader_status.leader_name  # type: ignore[union-attr]
            if has_leader
            else core.Missing.UNSET,
            rules_number=view.rules_number,
            rules_accepted_at_s=accepted_at_s,
            rules_everywhere_at_s=everywhere_at_s,
            lease_remaining_s=client.lease_remaining_s(),
            instances=self._instances(view),
            upstreams=self._upstreams(),
            versions=_version_statuses(view),
        )

    def explain(
        self, team: str, target: str, session: str | core.Missing
    ) -> rules.Explanation | core.Refusal:
        """See `OperatorBackend`."""
        view = self._replicated_state.client.view()
        if isinstance(view.rules, core.Missing):
            return _refusal(core.ErrorKind.NO_RULES, "no rules are in force")
        names_by_target = collections.defaultdict(list)
        for upstream in self._directory.upstreams().values():
            if upstream.state is not membership.UpstreamState.READY:
                continue
            for served in upstream.versions:
                key = (served.model, served.version)
                names_by_target[key].append(upstream.name)
            if isinstance(upstream.service, str):
                names_by_target[(upstream.service, "")].append(upstream.name)
        context = rules.ExplainContext(
            reason_by_bad_version={
                key: verdict.reason
                for key, verdict in view.verdicts_by_version.items()
                if verdict.state is state.VerdictState.BAD
            },
            share_by_model={
                rollout.model: entry.rollout_share(view, rollout)
                for rollout in view.rules.rollouts_by_model.values()
            },
            assigned_version_by_model=self._assigned_versions(
                view, team, session
            ),
            upstreams_by_target={
                key: tuple(sorted(names))
                for key, names in names_by_target.items()
            },
        )
        return rules.explain(view.rules, team, target, context)

    def _assigned_versions(
        self, view: state.View, team: str, session: str | core.Missing
    ) -> dict[str, str]:
        """Returns the versions by model assigned to an unpinned session."""
        if isinstance(view.rules, core.Missing) or isinstance(
            session, core.Missing
        ):
            return {}
        work = decisions.Work(team, "", 1, 0.0, session=session)
        assigned = {}
        for model in view.rules.models_by_name:
            offer = entry.version_offer(
                view, model, self._decisions.version_judge
            )
            if isinstance(offer, core.Refusal):
                continue
            version = self._decisions.version_chooser.choose(
                work,
                offer,
                entry.usable_versions(view, team, model),
                core.Missing.UNSET,
            )
            if isinstance(version, str):
                assigned[model] = version
        return assigned

    def list_audit(
        self, limit: int, before: int | core.Missing
    ) -> tuple[backend.AuditEntry, ...] | core.Refusal:
        """See `OperatorBackend`."""
        records = self._replicated_state.reader.audit(
            _READ_TIMEOUT_S,
            0 if isinstance(before, core.Missing) else before,
            limit,
        )
        if isinstance(records, core.Refusal):
            return records
        return tuple(
            backend.AuditEntry(
                item.index, item.wall_s, item.who, _describe_record(item)
            )
            for item in records
        )

    def sum_ledger(
        self, by: tuple[backend.LedgerColumn, ...]
    ) -> backend.Ledger | core.Refusal:
        """See `OperatorBackend`."""
        report = self._replicated_state.reader.ledger(_READ_TIMEOUT_S)
        if isinstance(report, core.Refusal):
            return report
        columns = by or tuple(backend.LedgerColumn)
        rows: dict[tuple[str, ...], backend.LedgerRow] = {}
        for item in report.sums:
            key = tuple(getattr(item, column.value) for column in columns)
            previous = rows.get(key) or backend.LedgerRow(
                dict(zip(columns, key, strict=True)), 0, 0, 0, 0.0
            )
            rows[key] = dataclasses.replace(
                previous,
                requests=previous.requests + item.bills,
                tokens_in=previous.tokens_in + item.tokens_in,
                tokens_out=previous.tokens_out + item.tokens_out,
                cost=previous.cost + item.cost,
            )
        return backend.Ledger(tuple(rows.values()), report.differences)

    def list_voters(self) -> tuple[backend.VoterStatus, ...] | core.Refusal:
        """See `OperatorBackend`."""
        report = self._replicated_state.reader.status(_READ_TIMEOUT_S)
        if isinstance(report, core.Refusal):
            return report
        return tuple(
            backend.VoterStatus(
                voter.name, voter.address, _voter_state(report, voter)
            )
            for voter in report.voters
        )

    def change_voters(
        self, command_id: str, change: backend.VoterChange, operator: str
    ) -> tuple[backend.VoterStatus, ...] | core.Refusal:
        """See `OperatorBackend`."""
        add_name, add_address, remove_name = _split_change(change)
        changed = self._replicated_state.reader.change_voters(
            add_name,
            add_address,
            remove_name,
            operator,
            _CHANGE_VOTERS_TIMEOUT_S,
        )
        if isinstance(changed, core.Refusal):
            return changed
        return self.list_voters()

    def _on_member_changed(self, member: membership.Member) -> None:
        self._since_by_name[member.name] = self._clock.wall()

    def _instances(
        self, view: state.View
    ) -> tuple[backend.InstanceStatus, ...]:
        entries = membership.read_entries(self._members)
        rows = []
        for name, member in sorted(self._members.members().items()):
            served = entries.get(name)
            leaving = served is not None and served.leaving
            rows.append(
                backend.InstanceStatus(
                    name=name,
                    zone=member.zone,
                    region=member.region,
                    grpc_address=member.address,
                    http_address=served.address if served else "",
                    state="leaving" if leaving else member.state.value,
                    voter=name in view.voters_by_name,
                    since_s=self._since_by_name.get(name, 0.0),
                )
            )
        return tuple(rows)

    def _upstreams(self) -> tuple[backend.UpstreamStatus, ...]:
        return tuple(
            backend.UpstreamStatus(
                name=upstream.name,
                address=upstream.address,
                zone=upstream.zone,
                state=upstream.state.value,
                serves=tuple(
                    f"{served.model} {served.version}"
                    for served in upstream.versions
                )
                or (str(upstream.service),),
                running=upstream.running,
                queued=upstream.queued,
                capacity=upstream.capacity,
                home=upstream.home,
            )
            for _, upstream in sorted(self._directory.upstreams().items())
        )


def _version_statuses(view: state.View) -> tuple[backend.VersionStatus, ...]:
    if isinstance(view.rules, core.Missing):
        return ()
    return tuple(
        _version_status(view, view.rules, version)
        for versions in view.rules.versions_by_model.values()
        for version in versions
    )


def _version_status(
    view: state.View, active_rules: rules.Rules, version: rules.Version
) -> backend.VersionStatus:
    verdict = view.verdicts_by_version.get((version.model, version.version))
    rollout = active_rules.rollouts_by_model.get(version.model)
    share = entry.rollout_share(view, rollout) if rollout else 0.0
    is_target = rollout is not None and rollout.to_version == version.version
    is_default = active_rules.default_version(version.model) == version.version
    state_name = "rollout" if is_target else "live"
    reason = version.line.asked_by
    since_s: float | core.Missing = core.Missing.UNSET
    step = view.rollout_steps_by_model.get(version.model)
    if is_target and step:
        since_s, reason = step.since_s, step.reason
    if verdict and verdict.state in _NAME_BY_VERDICT:
        state_name, reason = _NAME_BY_VERDICT[verdict.state], verdict.reason
    if version.withdrawn:
        state_name, reason = "withdrawn", version.line.asked_by
    own_share = share if is_target else (1.0 - share) * is_default
    return backend.VersionStatus(
        model=version.model,
        version=version.version,
        state=state_name,
        share=0.0 if state_name in ("withdrawn", "bad") else own_share,
        since_s=since_s,
        reason=reason,
    )


def _voter_state(
    report: state.NodeStatus, voter: state.VoterStatus
) -> backend.VoterState:
    if voter.name == report.leader_name:
        return backend.VoterState.LEADER
    if not 0 <= voter.silent_s < _UNREACHABLE_AFTER_S:
        return backend.VoterState.UNREACHABLE
    if voter.match_index < report.commit_index:
        return backend.VoterState.CATCHING_UP
    return backend.VoterState.FOLLOWER


def _split_change(change: backend.VoterChange) -> tuple[str, str, str]:
    match change:
        case backend.AddVoter(name, address):
            return name, address, ""
        case backend.RemoveVoter(name):
            return "", "", name
        case backend.ReplaceVoter(name, new_name, new_address):
            return new_name, new_address, name


def _describe_record(item: state.AuditRecord) -> str:
    if not item.in_effect_s:
        return item.what
    after_s = max(0.0, item.in_effect_s - item.wall_s)
    return f"{item.what}; in effect everywhere after {after_s:.1f} s"


def _refusal(kind: core.ErrorKind, reason: str) -> core.Refusal:
    return core.Refusal(kind, core.RunState.NOT_RUN, reason)
