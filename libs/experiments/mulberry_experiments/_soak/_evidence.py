"""Collects the records of a run for the invariant checks."""

import dataclasses
import pathlib
import shutil
from collections.abc import Mapping, Sequence

import mulberry_rules as rules
import mulberry_state as state
from mulberry_experiments._soak import (
    _history,
    _operators,
    _soak_deployment,
    _watcher,
)
from mulberry_wire import state_pb2


@dataclasses.dataclass(frozen=True)
class Withdrawal:
    """An interval during which a version was withdrawn."""

    version: str
    #: Unix time at which the rules were accepted, seconds.
    accepted_s: float
    #: Unix time at which they were reported in effect on every instance,
    #: seconds; 0 if never.
    in_effect_s: float
    #: Unix time at which later rules ended the withdrawal, seconds.
    ended_s: float


@dataclasses.dataclass(frozen=True)
class Evidence:
    """The records of callers, upstreams, ledger and daemons."""

    history: _history.History
    submissions: Sequence[_operators.Submission]
    #: Keyed by team and idempotency key or request id.
    bill_by_key: Mapping[tuple[str, str], state_pb2.BillRow]
    #: Differences between the ledger's sums and its rows.
    ledger_differences: Sequence[str]
    accepted: Sequence[state.RulesText]
    withdrawals: Sequence[Withdrawal]
    bad_versions: frozenset[tuple[str, str]]
    #: Last rules number reported by each instance, by name.
    final_rules_number_by_instance: Mapping[str, int]
    #: Log text of each process, by name.
    log_by_name: Mapping[str, str]


def final_rules_numbers(
    deployment: _soak_deployment.SoakDeployment,
) -> Mapping[str, int]:
    """Reads the rules number of every instance."""
    return {
        name: _watcher.read_rules_number(deployment, name)
        for name in deployment.instances_by_name
    }


def read_state(
    deployment: _soak_deployment.SoakDeployment, scratch: pathlib.Path
) -> state.StateMachine:
    """Returns the state of the voter with the most recent log.

    All instances must have exited, with no proposals shortly before.
    """
    best: tuple[tuple[int, int], state.StateMachine] | None = None
    for name in deployment.voters:
        copy = scratch / name
        shutil.copytree(deployment.settings(name)["data_dir"], copy)
        machine, term = state.read_folder(copy, name)
        rank = (term, machine.index)
        if best is None or rank > best[0]:
            best = (rank, machine)
    assert best is not None
    return best[1]


def gather(
    deployment: _soak_deployment.SoakDeployment,
    history: _history.History,
    submissions: Sequence[_operators.Submission],
    final_rules_number_by_instance: Mapping[str, int],
    scratch: pathlib.Path,
) -> Evidence:
    """Reads logs and data folders of a stopped deployment."""
    machine = read_state(deployment, scratch)
    versions = (_soak_deployment.OLD_VERSION, _soak_deployment.NEW_VERSION)
    models = (
        (_soak_deployment.MODEL, versions),
        (_soak_deployment.SMALL_MODEL, ("2026-01",)),
    )
    return Evidence(
        history=history,
        submissions=submissions,
        bill_by_key={
            (row.bill.team, row.bill.key): row for row in machine.ledger.rows()
        },
        ledger_differences=machine.ledger.check(),
        accepted=machine.rulebook.texts(),
        withdrawals=tuple(
            item
            for version in versions
            for item in find_withdrawals(machine, version)
        ),
        bad_versions=frozenset(
            (model, version)
            for model, model_versions in models
            for version in model_versions
            if machine.versions.is_bad(model, version)
        ),
        final_rules_number_by_instance=final_rules_number_by_instance,
        log_by_name={
            path.stem: path.read_text(errors="replace")
            for path in sorted(deployment.folder.glob("*.log"))
        },
    )


def find_withdrawals(
    machine: state.StateMachine, version: str
) -> Sequence[Withdrawal]:
    """Returns the intervals during which a version was withdrawn."""
    withdrawals: list[Withdrawal] = []
    withdrawing_rules: state.RulesText | None = None
    for text in machine.rulebook.texts():
        parsed = rules.parse_rules(text.text)
        assert isinstance(parsed, rules.Rules)
        withdrawn = parsed.is_withdrawn(_soak_deployment.MODEL, version)
        if withdrawn and withdrawing_rules is None:
            withdrawing_rules = text
        elif not withdrawn and withdrawing_rules is not None:
            withdrawals.append(
                _withdrawal(machine, version, withdrawing_rules, text.wall_s)
            )
            withdrawing_rules = None
    if withdrawing_rules is not None:
        withdrawals.append(
            _withdrawal(machine, version, withdrawing_rules, float("inf"))
        )
    return withdrawals


def _withdrawal(
    machine: state.StateMachine,
    version: str,
    withdrawing_rules: state.RulesText,
    ended_s: float,
) -> Withdrawal:
    in_effect_s = machine.audit.in_effect_since(withdrawing_rules.revision)
    return Withdrawal(version, withdrawing_rules.wall_s, in_effect_s, ended_s)
