"""Runs load and faults against a deployment and checks the invariants."""

import collections
import dataclasses
import pathlib
import tempfile
import threading
import time
from collections.abc import Callable, Mapping, Sequence

from mulberry_experiments._soak import (
    _callers,
    _checks,
    _evidence,
    _faults,
    _history,
    _operators,
    _soak_deployment,
    _watcher,
)

_CALLERS = 6
#: Maximum number of concurrent faults, without second faults during repairs.
_FAULT_THREADS = 2
#: Time limit for a thread to finish its current step: a request, a fault with
#: its repair, or the attempts of an operator.
_JOIN_TIMEOUT_S = 180.0
#: Time limit for all instances to agree after the last repair: the guaranteed
#: time for rules to take effect, plus time for delayed settlements.
_SETTLE_TIMEOUT_S = 20.0
_AGREEMENT_INTERVAL_S = 3.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Results of a run."""

    seed: int
    #: Duration of the load, seconds.
    duration_s: float
    faults: collections.Counter[str]
    requests: collections.Counter[str]
    results: Sequence[_checks.CheckResult]
    notes: Sequence[str]


def run(
    seed: int,
    duration_s: float,
    instances_per_zone: int = 2,
    keep: pathlib.Path | None = None,
) -> Outcome:
    """Runs load and faults, then checks the invariants.

    Args:
        seed: Seed of callers, operators and faults.
        duration_s: Time during which requests and faults are started, seconds.
        instances_per_zone: Number of instances; the first of each zone votes.
        keep: Folder for logs and data; by default a temporary one.
    """
    if keep is not None:
        return _run_in(keep, seed, duration_s, instances_per_zone)
    with tempfile.TemporaryDirectory(prefix="mulberry-soak-") as folder:
        return _run_in(
            pathlib.Path(folder), seed, duration_s, instances_per_zone
        )


def _run_in(
    folder: pathlib.Path, seed: int, duration_s: float, instances_per_zone: int
) -> Outcome:
    deployment = _soak_deployment.SoakDeployment(folder, instances_per_zone)
    history = _history.History()
    edits = folder / "edits"
    edits.mkdir(exist_ok=True)
    operators = _operators.Operators(seed, deployment, edits)
    try:
        deployment.start()
        _run_load(deployment, history, operators, seed, duration_s)
        final = wait_for_agreement(
            lambda: _evidence.final_rules_numbers(deployment)
        )
    finally:
        deployment.stop()
    evidence = _evidence.gather(
        deployment, history, operators.submissions, final, folder / "copies"
    )
    return Outcome(
        seed,
        duration_s,
        history.faults,
        collections.Counter(
            f"{item.work}: {item.outcome}" for item in history.attempts
        ),
        _checks.check_all(evidence),
        history.notes,
    )


def _run_load(
    deployment: _soak_deployment.SoakDeployment,
    history: _history.History,
    operators: _operators.Operators,
    seed: int,
    duration_s: float,
) -> None:
    """Runs all threads; the watchers stop last, so that no run is missed."""
    runs = _watcher.RunWatcher(deployment, history)
    faults = _faults.FaultInjector(seed, deployment, history, runs)
    stop, stop_watching = threading.Event(), threading.Event()
    watchers = [
        threading.Thread(target=runs.watch, args=(stop_watching,)),
        threading.Thread(
            target=_watcher.watch_rules_numbers,
            args=(deployment, history, stop_watching),
        ),
    ]
    workers = [
        *(
            threading.Thread(
                target=faults.run, args=(lane, stop), name=f"faults {lane}"
            )
            for lane in range(_FAULT_THREADS)
        ),
        threading.Thread(target=operators.run, args=(stop,), name="operators"),
        *(
            threading.Thread(
                target=_callers.Caller(number, seed, deployment, history).run,
                args=(stop,),
                name=f"caller {number}",
            )
            for number in range(_CALLERS)
        ),
    ]
    try:
        for thread in (*watchers, *workers):
            thread.start()
        stop.wait(duration_s)
        stop.set()
        deadline_s = time.monotonic() + _JOIN_TIMEOUT_S
        for thread in workers:
            thread.join(max(0.0, deadline_s - time.monotonic()))
            if thread.is_alive():
                raise TimeoutError(
                    f"thread {thread.name} did not finish in time"
                )
        runs.read_all()
    finally:
        stop.set()
        stop_watching.set()
        for thread in watchers:
            thread.join()


def wait_for_agreement(
    read: Callable[[], Mapping[str, int]],
    interval_s: float = _AGREEMENT_INTERVAL_S,
) -> dict[str, int]:
    """Waits until two consecutive reads show the same rules everywhere.

    Rules whose submission was killed may still be accepted later. The final
    numbers must include them, because the evidence is read afterwards.

    Args:
        read: Returns the rules number of each instance.
        interval_s: Time between the two reads, seconds.
    """
    deadline_s = time.monotonic() + _SETTLE_TIMEOUT_S
    rules_numbers: dict[str, int] = {}
    while time.monotonic() < deadline_s:
        before, rules_numbers = rules_numbers, dict(read())
        agreed = (
            len(set(rules_numbers.values())) == 1
            and 0 not in rules_numbers.values()
        )
        if agreed and rules_numbers == before:
            break
        time.sleep(interval_s if agreed else 0.5)
    return rules_numbers
