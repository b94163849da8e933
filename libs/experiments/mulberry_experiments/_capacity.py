"""Estimates resource use at the design size from measured slopes."""

import pathlib
import subprocess
import sys
from collections.abc import Sequence

import numpy as np

from mulberry_experiments import _deployed, _measure, _membership

#: Design size of a deployment and its peak load.
_NODES = 330
_WORKERS = 600
_PEAK_REQUESTS_PER_S = 2_700
_PEAK_TOKENS_PER_S = 590_000

#: Loads of one entry: requests per second and tokens per answer. Three load
#: points determine the base cost and the costs of a request and of a token.
_LOAD_POINTS = ((5.0, 100), (20.0, 100), (20.0, 200))

#: Load changes of one worker that exceed the publication threshold at peak
#: load. At most one per second is published.
_PUBLISHED_CHANGES_PER_WORKER_S = 1.0

#: Measurement interval for idle daemons, seconds.
_IDLE_INTERVAL_S = 10.0

_IMPORT_BY_NAME = {
    "interpreter": "",
    "grpcio": "import grpc",
    "daemon": "import mulberry_daemon",
}

#: Reads VmRSS because the peak that getrusage reports is inherited from the
#: parent process.
_RSS_CODE = (
    "print([int(line.split()[1]) / 1000 for line in open('/proc/self/status')"
    " if line.startswith('VmRSS')][0])"
)


def run(seed: int) -> Sequence[_measure.Row]:
    """Measures the slopes and extrapolates to one node of the design size."""
    return [
        *_memory_rows(),
        *_idle_rows(),
        *_entry_rows(),
        *_membership_rows(seed),
    ]


def _row(name: str, figure: float, unit: str, target: str = "") -> _measure.Row:
    return _measure.Row("capacity", "", name, figure, unit, target)


def _memory_rows() -> list[_measure.Row]:
    rows = []
    for name, statement in _IMPORT_BY_NAME.items():
        completed = subprocess.run(
            (sys.executable, "-c", f"{statement}\n{_RSS_CODE}"),
            capture_output=True,
            check=True,
            cwd=pathlib.Path(__file__).parent,
        )
        rows.append(
            _row(f"memory after import: {name}", float(completed.stdout), "MB")
        )
    return rows


def _idle_rows() -> list[_measure.Row]:
    """Measures complete daemons with ten upstreams and no requests."""
    rows = []
    for role, usages in _deployed.measure_idle(_IDLE_INTERVAL_S).items():
        for metric, unit, target in (
            ("processor", "% of a core", "<= 1.8"),
            ("resident memory", "MB", ""),
        ):
            figure = max(usage[metric] for usage in usages)
            rows.append(
                _row(
                    f"idle {role}, most of {len(usages)}: {metric}",
                    figure,
                    unit,
                    target,
                )
            )
    return rows


def _entry_rows() -> list[_measure.Row]:
    measured = [
        {row.name: row.figure for row in _deployed.measure_load(*load)}
        for load in _LOAD_POINTS
    ]
    coefficients = [
        (1.0, requests_per_s, requests_per_s * tokens)
        for requests_per_s, tokens in _LOAD_POINTS
    ]
    cpu = [figures["entry.cpu"] for figures in measured]
    base, request, token = np.linalg.solve(
        np.array(coefficients), np.array(cpu)
    )
    requests_per_s = _PEAK_REQUESTS_PER_S / _NODES
    tokens_per_s = _PEAK_TOKENS_PER_S / _NODES
    return [
        _row("entry: processor without load", float(base), "% of a core"),
        _row("entry: processor for 1 request/s", float(request), "% of a core"),
        _row(
            "entry: processor for 1,000 tokens/s",
            float(token) * 1000,
            "% of a core",
        ),
        _row(
            f"entry: processor at {requests_per_s:.1f} requests/s and "
            f"{tokens_per_s:.0f} tokens/s",
            float(base + request * requests_per_s + token * tokens_per_s),
            "% of a core",
        ),
        _row("entry: resident memory", measured[-1]["entry.rss"], "MB"),
    ]


def _membership_rows(seed: int) -> list[_measure.Row]:
    del seed
    idle = _figures_by_name(_membership.measure_idle((4, 8, 12), 10.0))
    steady = _figures_by_name(
        _membership.measure_upstreams((0, 120, 240), 10.0, changing=False)
    )
    changing = _figures_by_name(
        _membership.measure_upstreams((0, 120, 240), 10.0, changing=True)
    )
    base_bytes = _find_figure(idle, "with TCP/IP headers")
    base_cpu = _find_figure(idle, "processor of one", "idle, 12")
    per_instance = _find_figure(idle, "sent by one for each further instance")
    # An instance has log2(n) gossip peers: 4 of 12 instances, 9 of 330.
    peers_ratio = 9 / 4
    bytes_changing = _find_figure(
        changing, "sent by one for each further changing"
    )
    cpu_changing = _find_figure(changing, "processor of one for each further")
    bytes_steady = _find_figure(steady, "sent by one for each further steady")
    rows = [
        _row("membership: sent by an idle one of 12", base_bytes, "bytes/s"),
        _row(
            "membership: sent for each further instance, 4 to 12",
            per_instance,
            "bytes/s",
        ),
        _row(
            "membership: sent for each upstream whose load changes each second",
            bytes_changing,
            "bytes/s",
        ),
        _row(
            "membership: sent for each steady upstream",
            bytes_steady,
            "bytes/s",
        ),
    ]
    for scope, share in (("all", 1.0), ("a tenth", 0.1)):
        rows.append(
            _row(
                f"control of one of {_NODES} nodes, {scope} of {_WORKERS} "
                "workers change each second: sent",
                base_bytes * peers_ratio
                + bytes_changing
                * _WORKERS
                * share
                * _PUBLISHED_CHANGES_PER_WORKER_S,
                "bytes/s",
                "<= 5000",
            )
        )
        rows.append(
            _row(
                f"control of one of {_NODES} nodes, {scope} of {_WORKERS} "
                "workers change each second: processor",
                base_cpu * peers_ratio + cpu_changing * _WORKERS * share,
                "% of a core",
                "<= 1.8",
            )
        )
    return rows


def _figures_by_name(rows: Sequence[object]) -> dict[str, float]:
    return {
        row.name: row.figure  # type: ignore[attr-defined]
        for row in rows
    }


def _find_figure(figures: dict[str, float], *substrings: str) -> float:
    """Returns the first figure whose name contains all substrings."""
    return next(
        figure
        for name, figure in figures.items()
        if all(part in name for part in substrings)
    )
