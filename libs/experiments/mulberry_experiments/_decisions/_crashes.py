"""Upstreams lost to a request that crashes them, and false blocks."""

import collections
import dataclasses
import random

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure
from mulberry_experiments._decisions import _simulation

_ENTRIES = 3
_UPSTREAMS = 9
_SECONDS = 900.0
_NORMAL_REQUESTS_PER_S = 3.0
_NORMAL_RUN_S = 8.0
#: Time from the start of the bad request to the crash of its upstream.
_CRASH_AFTER_S = 1.0
_RESTART_S = 30.0
#: Time from a crash until all entries have its strikes.
_STRIKE_DELAY_S = 0.1
_RESENDS = 20
_RESEND_PERIOD_S = 5.0
_MAX_ATTEMPTS = 3


@dataclasses.dataclass
class _Run:
    entry: int
    work: decisions.Work
    upstream: decisions.UpstreamState
    attempt: int


class _Cluster:
    """Entries with crash guards, and upstreams that one content crashes."""

    def __init__(self, policy: str, seed: int) -> None:
        self.simulation = _simulation.Simulation()
        self._rng = random.Random(f"{seed} crash")
        clock = self.simulation.clock
        self._guards = [
            decisions.CRASH_GUARDS[policy](clock) for _ in range(_ENTRIES)
        ]
        self._choosers = [
            decisions.TwoChoices(clock, "z", seed * 100 + index)
            for index in range(_ENTRIES)
        ]
        self._incarnations = dict.fromkeys(
            (f"u{index}" for index in range(_UPSTREAMS)), 1
        )
        self._down: set[str] = set()
        self._runs: list[_Run] = []
        self._strikes: collections.Counter[str] = collections.Counter()
        self.upstreams_lost = 0
        self.blocked: set[str] = set()
        self.completed = 0
        self.failed = 0

    def send(self, entry: int, work: decisions.Work, attempt: int = 0) -> None:
        """Runs a request on an upstream that the crash guard permits."""
        guard = self._guards[entry]
        load = collections.Counter(run.upstream.name for run in self._runs)
        states = [
            decisions.UpstreamState(
                name, name, "z", incarnation, capacity=8, running=load[name]
            )
            for name, incarnation in self._incarnations.items()
            if name not in self._down
        ]
        usable = guard.filter(work, states)
        if isinstance(usable, core.Refusal):
            if usable.kind is core.ErrorKind.CONTENT_BLOCKED:
                self.blocked.add(work.content)
            else:
                self._retry_later(entry, work, attempt)
            return
        chosen = self._choosers[entry].choose(work, usable)
        if isinstance(chosen, core.Refusal) or not guard.started(work, chosen):
            self._retry_later(entry, work, attempt)
            return
        run = _Run(entry, work, chosen, attempt)
        self._runs.append(run)
        if work.content == "bad":
            self.simulation.after(_CRASH_AFTER_S, lambda: self._crash(run))
        else:
            seconds = self._rng.expovariate(1.0 / _NORMAL_RUN_S)
            self.simulation.after(seconds, lambda: self._complete(run))

    def _retry_later(
        self, entry: int, work: decisions.Work, attempt: int
    ) -> None:
        if self.simulation.now_s < work.deadline_at_s:
            self.simulation.after(1.0, lambda: self.send(entry, work, attempt))
        else:
            self.failed += 1

    def _complete(self, run: _Run) -> None:
        if run not in self._runs:
            return
        self._runs.remove(run)
        self.completed += 1
        cleared = self._guards[run.entry].finished(
            run.work, run.upstream, decisions.Outcome.COMPLETED
        )
        for digest in cleared:
            self._strikes.pop(digest, None)
        if cleared:
            self._publish()

    def _crash(self, run: _Run) -> None:
        name = run.upstream.name
        if run not in self._runs:
            return
        self.upstreams_lost += 1
        self._down.add(name)
        self.simulation.after(_RESTART_S, lambda: self._restart(name))
        lost_runs = [item for item in self._runs if item.upstream.name == name]
        self._runs = [item for item in self._runs if item not in lost_runs]
        for guard in self._guards:
            report = guard.upstream_lost(name, run.upstream.incarnation)
            if isinstance(report, decisions.CrashReport):
                self._strikes.update(report.digests)
        self._publish()
        for lost in lost_runs:
            if lost.work.content != "bad" and lost.attempt + 1 < _MAX_ATTEMPTS:
                # Retries start only after the strikes have been recorded.
                self.simulation.after(
                    2 * _STRIKE_DELAY_S,
                    lambda lost=lost: self.send(  # type: ignore[misc]
                        lost.entry, lost.work, lost.attempt + 1
                    ),
                )

    def _publish(self) -> None:
        strikes = dict(self._strikes)

        def apply() -> None:
            for guard in self._guards:
                guard.strikes_changed(strikes)

        self.simulation.after(_STRIKE_DELAY_S, apply)

    def _restart(self, name: str) -> None:
        self._incarnations[name] += 1
        self._down.discard(name)


def _work(content: str, deadline_at_s: float) -> decisions.Work:
    return decisions.Work("a", "k", 2, deadline_at_s, content=content)


def _simulate(policy: str, seed: int, copies: int) -> _Cluster:
    """Runs normal requests while a caller resends the bad content.

    Args:
        policy: Name of the crash guard.
        seed: Seed of the run.
        copies: Number of entries that each resend goes to.
    """
    cluster = _Cluster(policy, seed)
    rng = random.Random(f"{seed} season")
    at_s, number = 0.0, 0
    bad_sends = [
        (60.0 + index * _RESEND_PERIOD_S, copy)
        for index in range(_RESENDS)
        for copy in range(copies)
    ]
    for bad_at_s, copy in bad_sends:
        cluster.simulation.after(
            bad_at_s,
            lambda copy=copy: cluster.send(  # type: ignore[misc]
                copy, _work("bad", _SECONDS)
            ),
        )
    while at_s < _SECONDS - 100.0:
        at_s += rng.expovariate(_NORMAL_REQUESTS_PER_S)
        number += 1
        cluster.simulation.run(at_s)
        work = _work(f"{number}", at_s + 120.0)
        cluster.send(rng.randrange(_ENTRIES), work)
    cluster.simulation.run(_SECONDS)
    return cluster


def run(seed: int) -> list[_measure.Row]:
    """Measures single resends and concurrent resends to all entries."""
    rows = []
    for copies, label in ((1, "resent"), (_ENTRIES, "3 copies at once")):
        for policy in decisions.CRASH_GUARDS:
            cluster = _simulate(policy, seed, copies)
            has_target = policy == "strikes"
            for name, figure, target in (
                ("upstreams lost", cluster.upstreams_lost, "<= 2"),
                (
                    "innocent requests blocked",
                    len(cluster.blocked - {"bad"}),
                    "<= 0",
                ),
                ("innocent requests completed", cluster.completed, ""),
            ):
                rows.append(
                    _measure.Row(
                        "crashes",
                        policy,
                        f"{label}: {name}",
                        figure,
                        "",
                        target if has_target else "",
                    )
                )
    return rows
