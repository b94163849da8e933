"""Synthetic workloads: request kinds, teams and arrival times."""

import dataclasses
import itertools
import random
from collections.abc import Iterator, Mapping, Sequence

import mulberry_core as core
import mulberry_decisions as decisions


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """One kind of request."""

    name: str
    priority: int
    deadline_s: float
    #: Mean run time on an idle upstream, seconds.
    run_s: float
    tokens: int
    #: Share of the requests of its workload.
    share: float
    #: Share of good answers by model; empty for service calls.
    good_share_by_model: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    is_call: bool = False


@dataclasses.dataclass(frozen=True)
class Workload:
    """Teams, request kinds and models of one site."""

    name: str
    weights_by_team: Mapping[str, float]
    kinds: Sequence[RequestKind]
    #: Cheapest first.
    models: Sequence[decisions.ModelOption]


def _good_shares(
    chico: float, medio: float, grande: float
) -> Mapping[str, float]:
    return {"chico": chico, "medio": medio, "grande": grande}


_CHICO = decisions.ModelOption("chico", 1.0, 0.70, 1.0)
_MEDIO = decisions.ModelOption("medio", 4.0, 0.85, 2.0)
_GRANDE = decisions.ModelOption("grande", 12.0, 0.96, 4.0)

#: A Holy Week rush: most requests are stock lookups from tablets.
RUSH = Workload(
    "rush",
    {"large": 3.0, "tablets": 2.0, "workshop": 1.0, "office": 1.0},
    (
        RequestKind("stock", 1, 2.0, 0.05, 0, 0.70, is_call=True),
        RequestKind(
            "check", 1, 5.0, 0.8, 200, 0.15, _good_shares(0.92, 0.95, 0.98)
        ),
        RequestKind(
            "letter", 2, 30.0, 4.0, 900, 0.10, _good_shares(0.80, 0.90, 0.97)
        ),
        RequestKind(
            "plan", 3, 120.0, 20.0, 5000, 0.05, _good_shares(0.10, 0.45, 0.96)
        ),
    ),
    (_CHICO, _GRANDE),
)

#: A morning at the counter: quick checks, letters and fitting dossiers.
COUNTER = Workload(
    "counter",
    {"loket": 3.0, "gent": 1.0, "leuven": 1.0, "brugge": 1.0},
    (
        RequestKind("status", 1, 2.0, 0.05, 0, 0.30, is_call=True),
        RequestKind(
            "check", 1, 5.0, 0.8, 200, 0.40, _good_shares(0.90, 0.94, 0.98)
        ),
        RequestKind(
            "letter", 2, 30.0, 4.0, 900, 0.20, _good_shares(0.70, 0.88, 0.97)
        ),
        RequestKind(
            "dossier",
            3,
            120.0,
            20.0,
            5000,
            0.10,
            _good_shares(0.05, 0.60, 0.96),
        ),
    ),
    (_CHICO, _MEDIO, _GRANDE),
)

WORKLOADS = (RUSH, COUNTER)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request and its arrival time."""

    at_s: float
    kind: RequestKind
    work: decisions.Work
    #: Run time on an idle upstream, seconds.
    run_s: float


def arrivals(
    workload: Workload,
    requests_per_s: float,
    seconds: float,
    rng: random.Random,
    teams: Mapping[str, float] | None = None,
) -> Iterator[Arrival]:
    """Yields requests with exponential inter-arrival times.

    Args:
        workload: Source of the kinds.
        requests_per_s: Mean number of requests per second.
        seconds: Time of the last arrival at most.
        rng: Source of randomness.
        teams: Shares of the requests by team; by default the team weights.
    """
    shares = teams or workload.weights_by_team
    at_s = 0.0
    for number in itertools.count():
        at_s += rng.expovariate(requests_per_s)
        if at_s >= seconds:
            return
        kind = rng.choices(
            workload.kinds, [kind.share for kind in workload.kinds]
        )[0]
        team = rng.choices(list(shares), list(shares.values()))[0]
        yield Arrival(
            at_s,
            kind,
            decisions.Work(
                team,
                kind.name,
                kind.priority,
                at_s + kind.deadline_s,
                session=f"{team}-{rng.randrange(200)}",
                content=core.digest128(f"{number}".encode()),
                expected_tokens=kind.tokens,
                is_call=kind.is_call,
            ),
            # Between half and one and a half of the mean.
            kind.run_s * (0.5 + rng.random()),
        )


def mean_run_s(workload: Workload) -> float:
    """Returns the mean run time over the kinds."""
    return sum(kind.share * kind.run_s for kind in workload.kinds)
