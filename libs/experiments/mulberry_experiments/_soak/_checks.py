"""Checks of the invariants of a run.

The numbers P1 to P10 in doc strings are those of the product's guarantees.
"""

import collections
import dataclasses
import itertools
import re
from collections.abc import Callable, Iterable, Mapping, Sequence

import mulberry_rules as rules
import mulberry_standins as standins
from mulberry_experiments import _entry_client
from mulberry_experiments._soak import _evidence, _history, _soak_deployment

#: Guaranteed time until accepted rules are in effect, seconds.
_IN_EFFECT_BOUND_S = 12.0

_PROGRAM_ERROR = re.compile(r"Traceback|AssertionError|InvariantError")
_CONTEXT_LINES = 12

#: Prefixes of fault kinds that cut an instance off from the others.
_ISOLATING_FAULTS = ("freeze", "cut", "loss", "second", "kill -9", "empty")


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """Result of the check of one invariant."""

    invariant: str
    checked: int
    violations: tuple[str, ...]


def check_all(evidence: _evidence.Evidence) -> Sequence[CheckResult]:
    """Checks every invariant."""
    check_results = []
    for invariant, check in _CHECKS.items():
        results = list(check(evidence))
        violations = tuple(item for item in results if item)
        check_results.append(CheckResult(invariant, len(results), violations))
    return check_results


def _attempts_by_key(
    evidence: _evidence.Evidence,
) -> Mapping[tuple[str, str], list[_history.Attempt]]:
    """Groups the attempts with a known key by team and key, oldest first."""
    attempts_by_key = collections.defaultdict(list)
    for attempt in sorted(evidence.history.attempts, key=lambda a: a.began_s):
        if attempt.key:
            attempts_by_key[(attempt.team, attempt.key)].append(attempt)
    return attempts_by_key


def _reported_not_run(attempt: _history.Attempt) -> bool:
    reply = attempt.reply
    return (
        reply.connected
        and not reply.is_success
        and reply.run_status == "not_run"
    ) or not reply.connected


# Each check yields one text per checked item: empty, or the violation.


def answered_is_billed(evidence: _evidence.Evidence) -> Iterable[str]:
    """P4: every answer has a bill."""
    for attempt in evidence.history.attempts:
        if attempt.reply.is_success:
            billed = (attempt.team, attempt.key) in evidence.bill_by_key
            yield "" if billed else f"no bill: {attempt}"


def no_bill_twice(evidence: _evidence.Evidence) -> Iterable[str]:
    """P4: no request has two bills, and the ledger's sums match its rows."""
    yield from evidence.ledger_differences
    counted = collections.Counter(
        row.bill.request_id for row in evidence.bill_by_key.values()
    )
    for request_id, bills in counted.items():
        yield "" if bills == 1 else f"{request_id} has {bills} bills"


def no_bill_without_run(evidence: _evidence.Evidence) -> Iterable[str]:
    """P4, P6: a request that was reported as not run has no bill."""
    for key, attempts in _attempts_by_key(evidence).items():
        if all(map(_reported_not_run, attempts)):
            billed = key in evidence.bill_by_key
            yield f"billed but not run: {attempts[0]}" if billed else ""


def not_run_is_accurate(evidence: _evidence.Evidence) -> Iterable[str]:
    """P6: no run precedes the first attempt that may have run."""
    runs_by_key = collections.defaultdict(list)
    for run in evidence.history.runs:
        runs_by_key[run.key].append(run)
    for (_, key), attempts in _attempts_by_key(evidence).items():
        if not _reported_not_run(attempts[0]):
            continue
        may_run_s = min(
            (item.began_s for item in attempts if not _reported_not_run(item)),
            default=float("inf"),
        )
        early = [r for r in runs_by_key[key] if r.observed_s < may_run_s]
        yield f"ran {early[0]}: {attempts[0]}" if early else ""


def deposit_runs_once(evidence: _evidence.Evidence) -> Iterable[str]:
    """P7: a deposit runs at most once per idempotency key."""
    counted = collections.Counter(run.key for run in evidence.history.runs)
    for (_, key), attempts in _attempts_by_key(evidence).items():
        if attempts[0].work == _history.DEPOSIT:
            reported = "; ".join(map(str, attempts))
            ran = counted[key]
            yield "" if ran <= 1 else f"ran {ran} times: {reported}"


def deposit_keeps_answer(evidence: _evidence.Evidence) -> Iterable[str]:
    """P7: repeated attempts of a deposit get the same answer."""
    for attempts in _attempts_by_key(evidence).values():
        answered = [item for item in attempts if item.reply.is_success]
        if attempts[0].work == _history.DEPOSIT and len(answered) > 1:
            bodies = {item.reply.body for item in answered}
            reported = "; ".join(map(str, answered))
            yield "" if len(bodies) == 1 else f"answers differ: {reported}"


def session_keeps_version(evidence: _evidence.Evidence) -> Iterable[str]:
    """P3: a session changes its version only if that is bad or withdrawn."""
    attempts_by_session = collections.defaultdict(list)
    for attempt in sorted(evidence.history.attempts, key=lambda a: a.began_s):
        if attempt.session and attempt.reply.is_success:
            model = attempt.reply.header_by_name["x-mulberry-model"]
            key = (attempt.team, attempt.session, model)
            attempts_by_session[key].append(attempt)
    for (_, session, model), attempts in attempts_by_session.items():
        for later in attempts[1:]:
            yield _version_change(evidence, session, model, attempts, later)


def _version_change(
    evidence: _evidence.Evidence,
    session: str,
    model: str,
    attempts: Sequence[_history.Attempt],
    later: _history.Attempt,
) -> str:
    before = [item for item in attempts if item.ended_s <= later.began_s]
    if not before:
        return ""
    earlier = max(before, key=lambda item: item.ended_s)
    old, new = map(_version_of, (earlier, later))
    if old == new or (model, old) in evidence.bad_versions:
        return ""
    # A session may also return to its version after the withdrawal ends.
    withdrawn = any(
        item.version in (old, new)
        and item.accepted_s <= later.ended_s
        and item.ended_s + _IN_EFFECT_BOUND_S >= earlier.began_s
        for item in evidence.withdrawals
    )
    if withdrawn:
        return ""
    return f"{session} of {model} from {old} to {new}: {earlier}; {later}"


def _version_of(attempt: _history.Attempt) -> str:
    return attempt.reply.header_by_name.get("x-mulberry-version", "")


def versions_are_allowed(evidence: _evidence.Evidence) -> Iterable[str]:
    """P1: a team restricted to one version runs on no other."""
    keys = {
        attempt.key
        for attempt in evidence.history.attempts
        if attempt.team == _soak_deployment.RESTRICTED_TEAM and attempt.key
    }
    for run in evidence.history.runs:
        if run.key in keys and run.model == _soak_deployment.MODEL:
            allowed = run.version == _soak_deployment.OLD_VERSION
            yield (
                "" if allowed else f"{_soak_deployment.RESTRICTED_TEAM}: {run}"
            )


def left_upstreams_get_no_runs(
    evidence: _evidence.Evidence,
) -> Iterable[str]:
    """P8: no run begins more than 3 s after an upstream announces leaving."""
    for leave in evidence.history.leaves:
        yield str(leave) if leave.late_runs else ""


def withdrawn_runs_end(evidence: _evidence.Evidence) -> Iterable[str]:
    """P2, P10: no run of a withdrawn version once the rules are in effect."""
    for run in evidence.history.runs:
        if run.model != _soak_deployment.MODEL:
            continue
        late = [
            item
            for item in evidence.withdrawals
            if item.version == run.version
            and run.started_after_s > _in_effect_by_s(item)
            and run.observed_s < item.ended_s
        ]
        yield f"{run} in {late[0]}" if late else ""


def _in_effect_by_s(item: _evidence.Withdrawal) -> float:
    bound_s = item.accepted_s + _IN_EFFECT_BOUND_S
    return min(bound_s, item.in_effect_s or bound_s)


def rules_numbers_increase(evidence: _evidence.Evidence) -> Iterable[str]:
    """P10: accepted numbers are consecutive; no instance reverts to older rules."""
    rules_numbers = [item.number for item in evidence.accepted]
    for before, after in itertools.pairwise(rules_numbers):
        yield "" if after == before + 1 else f"{after} follows {before}"
    for item in evidence.accepted:
        base = rules.edited_from(item.text)
        matches = base == item.number - 1
        yield "" if matches else f"{item.number} was edited from {base}"
    newest: dict[tuple[str, int], int] = {}
    for name, pid, number in evidence.history.rules_numbers:
        seen = newest.get((name, pid), 0)
        newest[(name, pid)] = number
        yield "" if number >= seen else f"{name}: {number} after {seen}"


def last_rules_are_in_effect(
    evidence: _evidence.Evidence,
) -> Iterable[str]:
    """P10: every instance ends with the last accepted rules."""
    last = evidence.accepted[-1].number
    for name, number in evidence.final_rules_number_by_instance.items():
        yield "" if number == last else f"{name} has {number}, not {last}"


def submission_outcomes_are_accurate(
    evidence: _evidence.Evidence,
) -> Iterable[str]:
    """Reported outcomes are correct, and a file is accepted at most once."""
    for submission in evidence.submissions:
        line = f"team {submission.mark} "
        numbers = [
            item.number for item in evidence.accepted if line in item.text
        ]
        first = [
            n for n in numbers if n - 1 not in numbers or n == min(numbers)
        ]
        reported = set(submission.accepted)
        uncertain = {"lost", "failed"} & set(submission.outcomes)
        if len(first) > 1 or (reported and reported != set(first[:1])):
            yield f"{submission} is in rules {numbers}"
        elif numbers and not reported and not uncertain:
            yield f"{submission} was not reported as accepted: {numbers}"
        else:
            yield ""


def answer_text_is_complete(evidence: _evidence.Evidence) -> Iterable[str]:
    """P5: every caller gets the complete answer to its own request."""
    for attempt in evidence.history.attempts:
        is_service_call = attempt.work in (_history.DEPOSIT, _history.LOOKUP)
        if is_service_call or not attempt.reply.is_success:
            continue
        expected = standins.expected_text(
            attempt.reply.header_by_name["x-mulberry-model"],
            _version_of(attempt),
            _entry_client.chat_messages(
                attempt.prompt, _soak_deployment.SYSTEM_MESSAGE
            ),
            _soak_deployment.TOKENS,
            _soak_deployment.QUALITY,
        )
        matches = attempt.reply.text == expected
        yield "" if matches else f"{attempt}: {attempt.reply.text!r}"


def graceful_stop_breaks_no_request(
    evidence: _evidence.Evidence,
) -> Iterable[str]:
    """P9: a graceful stop interrupts no request."""
    for stop in evidence.history.stops:
        if stop.status != 0:
            yield f"{stop.instance} ended with status {stop.status}"
        for attempt in evidence.history.attempts:
            if (
                attempt.entry == stop.entry
                and attempt.began_s <= stop.ended_s
                and attempt.ended_s >= stop.began_s
            ):
                interrupted = attempt.outcome == "broken" or (
                    not attempt.reply.connected
                    and not _entry_list_may_be_stale(evidence, stop)
                )
                yield f"{stop} interrupted {attempt}" if interrupted else ""


def _entry_list_may_be_stale(
    evidence: _evidence.Evidence, stop: _history.GracefulStop
) -> bool:
    """Whether an isolated instance may still list the stopping entry."""
    return any(
        item.target != stop.instance
        and item.kind.startswith(_ISOLATING_FAULTS)
        and item.began_s <= stop.ended_s
        and item.ended_s + _IN_EFFECT_BOUND_S >= stop.began_s
        for item in evidence.history.fault_intervals
    )


def logs_contain_no_program_error(
    evidence: _evidence.Evidence,
) -> Iterable[str]:
    """No process logged a traceback or a failed assertion."""
    for name, text in evidence.log_by_name.items():
        lines = text.splitlines()
        found = [
            n for n, line in enumerate(lines) if _PROGRAM_ERROR.search(line)
        ]
        yield (
            "\n".join(
                [
                    f"{name}.log:",
                    *lines[max(0, found[0] - 2) : found[0] + _CONTEXT_LINES],
                ]
            )
            if found
            else ""
        )


_CHECKS: Mapping[str, Callable[[_evidence.Evidence], Iterable[str]]] = {
    "an answer has a bill": answered_is_billed,
    "no request has two bills": no_bill_twice,
    "what never ran has no bill": no_bill_without_run,
    "not_run is true": not_run_is_accurate,
    "a deposit runs at most once": deposit_runs_once,
    "a deposit keeps its answer": deposit_keeps_answer,
    "a session keeps its version": session_keeps_version,
    "teams run on what they may use": versions_are_allowed,
    "upstreams that left get no work": left_upstreams_get_no_runs,
    "runs of a withdrawn version end": withdrawn_runs_end,
    "rules numbers only grow": rules_numbers_increase,
    "the last rules are in force": last_rules_are_in_effect,
    "operators are told the truth": submission_outcomes_are_accurate,
    "answers are whole and own": answer_text_is_complete,
    "a graceful stop cuts nothing": graceful_stop_breaks_no_request,
    "logs hold no program error": logs_contain_no_program_error,
}
