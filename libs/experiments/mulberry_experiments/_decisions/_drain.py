"""Requests that are cut or refused while an instance stops."""

import dataclasses
import random
from collections.abc import Callable, Mapping

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_experiments import _measure

_GRACE_S = 8.0
#: The process ends this long after SIGTERM, seconds.
PROCESS_END_S = 0.94 * _GRACE_S
#: Requests that callers send later than this must not be cut, seconds.
_LATEST_CUT_S = 3.0
#: Sent by callers evenly from SIGTERM to SIGKILL.
_REQUESTS = 2_000
#: Complete requests of the route before SIGTERM.
_HISTORY = 200

Sampler = Callable[[random.Random], float]


@dataclasses.dataclass(frozen=True)
class LoadPattern:
    """The requests of one route."""

    name: str
    timeout_s: float
    #: Time that the upstream takes, seconds.
    duration_s: Sampler
    may_break_off: bool
    is_stream: bool = False
    #: Time from the head until the request can be sent, seconds.
    delay_s: Sampler = lambda rng: 0.0


PATTERNS = (
    LoadPattern(
        "payments 20 to 60 ms, 1.5 s",
        1.5,
        lambda rng: rng.uniform(0.02, 0.06),
        may_break_off=False,
    ),
    LoadPattern(
        "payments 0.6 to 3 s, 3 s",
        3.0,
        lambda rng: rng.uniform(0.6, 3.0),
        may_break_off=False,
    ),
    LoadPattern(
        "payments with slow bodies, 3 s",
        3.0,
        lambda rng: rng.uniform(0.02, 0.06),
        may_break_off=False,
        delay_s=lambda rng: rng.uniform(0.0, 2.5),
    ),
    LoadPattern(
        "chats 1 to 2 s, 20 s",
        20.0,
        lambda rng: rng.uniform(1.0, 2.0),
        may_break_off=True,
        is_stream=True,
    ),
    LoadPattern(
        "dossiers 2 to 9 s, 20 s",
        20.0,
        lambda rng: rng.uniform(2.0, 9.0),
        may_break_off=True,
        is_stream=True,
    ),
)


@dataclasses.dataclass
class Result:
    """Shares of the requests, 0 to 1."""

    #: Cut although that is allowed: sent early, and idempotent.
    cut: float = 0.0
    #: Cut although that is not allowed.
    lost: float = 0.0
    #: Refused although they would have ended in time.
    refused_early: float = 0.0


class _Rule:
    """Decides with the same inputs as `decisions.Drain`."""

    def __init__(self, pattern: LoadPattern) -> None:
        self._pattern = pattern
        self._clock = core.ManualClock()
        self._drain = decisions.Drain(_GRACE_S, self._clock)
        self._drain.begin()
        self._durations = decisions.RecentDurations()

    def learn(self, duration_s: float) -> None:
        self._durations.record("route", duration_s)

    def at(self, policy: str, elapsed_s: float, deadline_s: float) -> bool:
        """Whether a policy accepts a request; times are since SIGTERM."""
        self._clock.advance(max(0.0, elapsed_s - self._clock.now()))
        expected_s = self._durations.usual_maximum_s("route")
        assert not isinstance(expected_s, core.Missing)
        if policy == "timeout":
            return (
                elapsed_s < 0.35 * _GRACE_S
                if self._pattern.is_stream
                else elapsed_s + self._pattern.timeout_s < _GRACE_S
            )
        if policy == "deadline":
            return deadline_s < PROCESS_END_S
        if policy == "expected":
            return elapsed_s + expected_s < PROCESS_END_S
        return self._drain.may_accept(
            deadline_s, expected_s, self._pattern.may_break_off
        )


#: `timeout` was used before: the timeout from the check on against the time of
#: SIGKILL, and a fixed share of the grace period for streams.
POLICIES = ("timeout", "deadline", "expected", "drain")


def simulate(pattern: LoadPattern, policy: str, seed: int) -> Result:
    """Simulates the requests that callers send while an instance stops."""
    rng = random.Random(f"{seed} {pattern.name}")
    rule = _Rule(pattern)
    for _ in range(_HISTORY):
        rule.learn(pattern.duration_s(rng))
    # Each is the time of the check, that of sending, and the duration.
    requests = []
    for number in range(_REQUESTS):
        sent_s = _GRACE_S * number / _REQUESTS
        checked_s = sent_s + pattern.delay_s(rng)
        requests.append((checked_s, sent_s, pattern.duration_s(rng)))
    result = Result()
    for checked_s, sent_s, duration_s in sorted(requests):
        if checked_s >= PROCESS_END_S:
            continue
        deadline_s = sent_s + pattern.timeout_s
        end_s = min(checked_s + duration_s, max(checked_s, deadline_s))
        is_cut = end_s > PROCESS_END_S
        if not rule.at(policy, checked_s, deadline_s):
            result.refused_early += (not is_cut) / _REQUESTS
        elif is_cut:
            is_allowed = sent_s <= _LATEST_CUT_S and pattern.may_break_off
            result.cut += is_allowed / _REQUESTS
            result.lost += (not is_allowed) / _REQUESTS
    return result


def run(seed: int) -> list[_measure.Row]:
    """Measures all policies with each load pattern."""
    rows = []
    for pattern in PATTERNS:
        for policy in POLICIES:
            result = simulate(pattern, policy, seed)
            targets: Mapping[str, str] = (
                {"lost": "<= 0"} if policy == "drain" else {}
            )
            rows += [
                _measure.Row(
                    "drain",
                    policy,
                    f"{pattern.name}: {name}",
                    100.0 * figure,
                    "%",
                    targets.get(name, ""),
                )
                for name, figure in dataclasses.asdict(result).items()
            ]
    return rows
