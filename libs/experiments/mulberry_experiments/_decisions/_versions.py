"""Exposure to bad versions and false alarms of rollout policies."""

import collections
import dataclasses
import random
from collections.abc import Callable

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure

_ENTRIES = 10
#: Period of the exchange between entries and of the canary analysis, seconds.
_TICK_S = 1.0
_REQUESTS_PER_S = 5.0
_SESSION_TURNS = 4
_STEPS = (0.01, 0.05, 0.25, 1.0)
_STEP_DURATION_S = 300.0
_MAX_EXPOSED = 50
_SECONDS = 2700.0
#: Time on a step before a sudden fault, and observation time after it,
#: seconds.
_STEP_SETTLE_S = 60.0
_OBSERVATION_S = 1200.0
#: Time limit for reaching a step, seconds.
_STEP_TIMEOUT_S = 3600.0
#: Share of bad runs of a healthy version, by kind.
_BASELINE_ERROR_RATE = {"check": 0.03, "letter": 0.08, "dossier": 0.12}
_KINDS = tuple(_BASELINE_ERROR_RATE)
#: Minimum share of bad runs for which exposure to a version is counted.
_BAD_THRESHOLD = 0.2

#: Share of bad runs by kind and time since the start of the rollout, seconds.
_ErrorRate = Callable[[str, float], float]


def _sudden(at_s: float, share: float) -> _ErrorRate:
    return lambda kind, now_s: (
        share if now_s >= at_s else _BASELINE_ERROR_RATE[kind]
    )


def _constant(share: float) -> _ErrorRate:
    return lambda kind, now_s: share


def _gradual(kind: str, now_s: float) -> float:
    """Grows linearly from the baseline by 0.6 per half hour, up to 0.6."""
    return min(0.6, _BASELINE_ERROR_RATE[kind] + 0.6 * now_s / 1800.0)


def _one_kind(kind: str, now_s: float) -> float:
    return 0.6 if kind == "letter" else _BASELINE_ERROR_RATE[kind]


def _baseline(kind: str, now_s: float) -> float:
    return _BASELINE_ERROR_RATE[kind]


@dataclasses.dataclass
class _Policy:
    """A rollout policy: names of the chooser, advancer and judge."""

    name: str
    chooser: str
    advancer: str
    judge: str
    #: Constant traffic share; 0 to follow the rollout steps.
    fixed_share: float = 0.0


_POLICIES = (
    _Policy("fixed 5%", "fixed_share", "timed", "none", 0.05),
    _Policy("timed steps", "fixed_share", "timed", "none"),
    _Policy("error threshold", "fixed_share", "timed", "error_threshold"),
    _Policy("sequential", "session_share", "proven", "sequential"),
)


class _RolloutSimulation:
    """One rollout with sessions on all entries."""

    def __init__(
        self,
        policy: _Policy,
        seed: int,
        new_error_rate: _ErrorRate,
        other_error_rate: _ErrorRate = _baseline,
    ) -> None:
        self._rng = random.Random(f"{seed} season")
        self._clock = core.ManualClock()
        self._policy = policy
        self._error_rate_by_version = {
            "new": new_error_rate,
            "old": other_error_rate,
        }
        self._other_error_rate = other_error_rate
        self._chooser = (
            decisions.FixedShare(seed)
            if policy.chooser == "fixed_share"
            else decisions.VERSION_CHOOSERS[policy.chooser]()
        )
        self._advancer = decisions.ROLLOUT_ADVANCERS[policy.advancer]()
        self._judges = [
            decisions.VERSION_JUDGES[policy.judge](self._clock)
            for _ in range(_ENTRIES)
        ]
        self._health = decisions.VersionHealth.GOOD
        self._verdict_number = 0
        self._step, self._step_at_s = decisions.NO_STEP, 0.0
        self._pins: dict[str, str] = {}
        self._turns: collections.Counter[str] = collections.Counter()
        self._offer = decisions.VersionOffer("m", "old", "new")
        self._delayed_evidence: list[decisions.Evidence] = [{}] * _ENTRIES
        self.exposed_bad = 0
        self.requests = 0
        self.verdicts = 0

    def run(self, seconds: float) -> None:
        """Serves requests and evaluates the evidence once per tick."""
        delayed_evidence = self._delayed_evidence
        for _ in range(round(seconds / _TICK_S)):
            for _ in range(_poisson(_REQUESTS_PER_S * _TICK_S, self._rng)):
                self._clock.advance(1e-4)
                self._request()
            self._clock.advance(_TICK_S)
            # The leader has the evidence of other entries from the previous
            # tick.
            for index in range(1, _ENTRIES):
                self._judges[0].merge(f"entry-{index}", delayed_evidence[index])
            delayed_evidence = [judge.export() for judge in self._judges]
            self._evaluate()
        self._delayed_evidence = delayed_evidence

    @property
    def is_finished(self) -> bool:
        """Whether the rollout has reached its last step."""
        return self._step == len(_STEPS) - 1

    def run_to_step(self, step: int) -> bool:
        """Runs until a step has settled; returns False if it is not reached."""
        if self._policy.fixed_share:
            self.run(_STEP_SETTLE_S)
            return True
        while self._step < step and self._clock.now() < _STEP_TIMEOUT_S:
            self.run(_STEP_SETTLE_S)
        self.run(_STEP_SETTLE_S)
        return self._step >= step

    def set_error_rate(self, error_rate: _ErrorRate) -> None:
        """Changes the error rate of the new version from now on."""
        self._error_rate_by_version["new"] = error_rate

    def _request(self) -> None:
        session = f"s{self._rng.randrange(1 << 30)}"
        if self._turns and self._rng.random() < 1.0 - 1.0 / _SESSION_TURNS:
            session = self._rng.choice(list(self._turns))
        self._turns[session] += 1
        if self._turns[session] >= _SESSION_TURNS:
            del self._turns[session]
        kind = self._rng.choice(_KINDS)
        work = decisions.Work("a", kind, 2, 1e9, session, session)
        allowed = {"old", "new"}
        if self._health is decisions.VersionHealth.BAD:
            allowed = {"old"}
        version = self._chooser.choose(
            work, self._offer, allowed, self._pins.get(session, _UNSET)
        )
        assert isinstance(version, str)
        self._pins[session] = version
        now_s = self._clock.now()
        share = self._error_rate_by_version[version](kind, now_s)
        self.requests += 1
        self.exposed_bad += version == "new" and share >= _BAD_THRESHOLD
        self._observe("m", version, kind, self._rng.random() < share)
        # Another model serves one request for every two of this model.
        if self._rng.random() < 0.5:
            other = self._rng.random() < self._other_error_rate(kind, now_s)
            self._observe("n", "only", kind, other)

    def _observe(
        self, model: str, version: str, kind: str, is_bad: bool
    ) -> None:
        """Records a run; one third of the bad runs fail, others get low ratings."""
        failed = is_bad and self._rng.random() < 1 / 3
        self._rng.choice(self._judges).observe(
            decisions.Observation(
                model,
                version,
                kind,
                decisions.Outcome.TRUNCATED
                if failed
                else decisions.Outcome.COMPLETED,
                _UNSET if failed else (0.3 if is_bad else 0.95),
                0.9,
                self._rng.uniform(1.0, 2.0),
            )
        )

    def _evaluate(self) -> None:
        judge = self._judges[0]
        for proposal in judge.proposals():
            if proposal.health is decisions.VersionHealth.BAD:
                self.verdicts += 1
            if proposal.version == "new":
                self._health = proposal.health
            self._verdict_number += 1
            for entry_judge in self._judges:
                entry_judge.verdict_recorded(
                    proposal.model,
                    proposal.version,
                    self._verdict_number,
                    proposal.health,
                )
        exposed = judge.exposed("m", "new")
        proven = judge.is_proven("m", "new", "old")
        advice = self._advancer.advise(
            decisions.RolloutState(
                "m",
                "new",
                self._step,
                _STEPS,
                self._clock.now() - self._step_at_s,
                _STEP_DURATION_S,
                False,
                self._health,
                exposed,
                proven,
            )
        )
        if advice.step != self._step:
            self._step, self._step_at_s = advice.step, self._clock.now()
        share = _STEPS[self._step] if self._step >= 0 else 0.0
        self._offer = decisions.VersionOffer(
            "m",
            "old",
            "new",
            self._policy.fixed_share or share,
            self._health,
            exposed,
            _MAX_EXPOSED,
            proven,
        )


_UNSET = core.Missing.UNSET


def _poisson(mean: float, rng: random.Random) -> int:
    count = 0
    elapsed = rng.expovariate(1.0)
    while elapsed < mean:
        count += 1
        elapsed += rng.expovariate(1.0)
    return count


@dataclasses.dataclass(frozen=True)
class _Scenario:
    error_rate: _ErrorRate
    #: Step after which the fault starts; if unset, at the start of the rollout.
    after_step: int | core.Missing = _UNSET
    #: Whether the target for exposure applies.
    is_bounded: bool = True


_SCENARIOS = {
    "bad from the start": _Scenario(_constant(0.5)),
    "sudden at 25%": _Scenario(_constant(0.5), 2),
    "sudden at 100%": _Scenario(_constant(0.5), 3),
    "sudden at 100%, 30% bad": _Scenario(_constant(0.3), 3, False),
    "slow": _Scenario(_gradual),
    "one kind only": _Scenario(_one_kind),
}


def _count_exposed(policy: _Policy, seed: int, scenario: _Scenario) -> float:
    """Returns the number of requests exposed to the bad version.

    Returns infinity if the rollout did not reach the step of the fault.
    """
    if isinstance(scenario.after_step, core.Missing):
        simulation = _RolloutSimulation(policy, seed, scenario.error_rate)
        simulation.run(_SECONDS)
        return simulation.exposed_bad
    simulation = _RolloutSimulation(policy, seed, _baseline)
    if not simulation.run_to_step(scenario.after_step):
        return float("inf")
    simulation.set_error_rate(scenario.error_rate)
    simulation.run(_OBSERVATION_S)
    return simulation.exposed_bad


def run(seed: int) -> list[_measure.Row]:
    """Measures exposure for each scenario, and false alarms without faults."""
    rows: list[_measure.Row] = []
    for label, scenario in _SCENARIOS.items():
        fixed = 0.0
        for policy in _POLICIES:
            exposed = _count_exposed(policy, seed, scenario)
            has_target = policy.name == "sequential"
            if policy.name == "fixed 5%":
                fixed = exposed
            rows += [
                _row(
                    policy,
                    f"{label}: requests exposed",
                    exposed,
                    "<= 60" if has_target and scenario.is_bounded else "",
                ),
                _row(
                    policy,
                    f"{label}: exposed / fixed 5%",
                    exposed / max(1.0, fixed),
                    "<= 0.25" if has_target else "",
                ),
            ]
    return rows + _false_alarm_rows(seed)


def _false_alarm_rows(seed: int) -> list[_measure.Row]:
    rows = []
    for policy in _POLICIES[2:]:
        alarms = requests = finished = 0
        for repeat in range(2):
            simulation = _RolloutSimulation(
                policy, seed * 10 + repeat, _baseline
            )
            simulation.run(_SECONDS)
            alarms += simulation.verdicts
            requests += simulation.requests
            finished += simulation.is_finished
        correlated = _RolloutSimulation(
            policy, seed, _sudden(1500.0, 0.5), _sudden(1500.0, 0.5)
        )
        correlated.run(_SECONDS)
        has_target = policy.name == "sequential"
        rows += [
            _row(
                policy,
                "sound: false alarms per million requests",
                1e6 * alarms / requests,
                "<= 3" if has_target else "",
            ),
            _row(
                policy,
                "sound: rollouts finished of 2",
                finished,
                ">= 2" if has_target else "",
            ),
            _row(
                policy,
                "all versions at once: verdicts",
                correlated.verdicts,
                "<= 0" if has_target else "",
            ),
        ]
    return rows


def _row(
    policy: _Policy, name: str, figure: float, target: str
) -> _measure.Row:
    return _measure.Row("versions", policy.name, name, figure, "", target)
