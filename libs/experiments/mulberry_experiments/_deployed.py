"""Experiments of `scripts/measure` that run real processes."""

import dataclasses
import os
import pathlib
import tempfile
import time
from collections.abc import Mapping, Sequence

from mulberry_experiments import (
    _demo,
    _deployment,
    _entry,
    _measure,
    _membership,
    _state,
)

_ROOT = pathlib.Path(__file__).parents[3]

_MODEL, _VERSION = "cedro-chico", "2026-01"

#: Time for instances to join and for the first rules to take effect, seconds.
_SETTLE_S = 12.0

#: A single engine process cannot serve the 100 concurrent streams of the load.
_ENGINES = 6


def run_state(seed: int) -> Sequence[_measure.Row]:
    """Measures the replicated state."""
    return [
        _measure.Row("state", "", row.name, row.figure, row.unit, row.target)
        for row in _state.measure_state(seed)
    ]


def run_membership(seed: int) -> Sequence[_measure.Row]:
    """Measures dissemination and idle cost of the membership protocol."""
    return [
        _measure.Row(
            "membership", "", row.name, row.figure, row.unit, row.target
        )
        for row in _membership.measure(seed)
    ]


def run_entry(seed: int) -> Sequence[_measure.Row]:
    """Measures one entry of three under load, relative to direct calls."""
    return [
        _measure.Row(
            "entry",
            f"{arrivals.value} arrivals",
            row.name,
            row.figure,
            row.unit,
            row.target,
        )
        for arrivals in _entry.Arrivals
        for row in measure_load(20.0, 200, arrivals, seed)
    ]


def measure_load(
    requests_per_s: float,
    tokens: int,
    arrivals: _entry.Arrivals = _entry.Arrivals.RANDOM,
    seed: int = 1,
) -> Sequence[_entry.Row]:
    """Measures one entry of three under a given load.

    Args:
        requests_per_s: Streams started per second.
        tokens: Tokens of each answer, at 40 tokens/s.
        arrivals: Distribution of the arrival times.
        seed: Seed of random arrivals.
    """
    spec = _deployment.DeploymentSpec(
        region="altaverapaz",
        zones=("coban-a", "coban-b", "carcha-c"),
        instances_per_zone=1,
        rule_file=_ROOT / "examples" / "colmenas.rules",
        engines=(f"{_MODEL}@{_VERSION}",) * _ENGINES,
        service="taller-app",
        service_workers=1,
        engine_options=("--tokens-per-s=40", f"--tokens={tokens}"),
    )
    with tempfile.TemporaryDirectory(prefix="mulberry-measure-") as folder:
        deployment = _deployment.Deployment(spec, pathlib.Path(folder))
        try:
            deployment.start()
            return _entry.measure_entry(
                dataclasses.replace(
                    _entry_load(deployment),
                    requests_per_s=requests_per_s,
                    tokens=tokens,
                    stream_s=tokens / 40.0,
                    arrivals=arrivals,
                    seed=seed,
                )
            )
        finally:
            deployment.stop()


def measure_idle(
    seconds: float,
) -> Mapping[str, Sequence[Mapping[str, float]]]:
    """Measures the daemons of six instances without load.

    Returns:
        CPU usage (% of a core) and resident memory (MB) of each instance, by
        role.
    """
    usages: dict[str, list[Mapping[str, float]]] = {}
    with tempfile.TemporaryDirectory(prefix="mulberry-measure-") as folder:
        deployment = _deployment.Deployment(
            _demo.DEMO_SPEC, pathlib.Path(folder)
        )
        try:
            deployment.start()
            time.sleep(_SETTLE_S)
            instances = list(deployment.instances_by_name.values())
            before = [_cpu_s(item.pid) for item in instances]
            time.sleep(seconds)
            for item, cpu_before_s in zip(instances, before, strict=True):
                role = (
                    "voter" if item.metadata["has_disk"] else "other instance"
                )
                cpu_used_s = _cpu_s(item.pid) - cpu_before_s
                usages.setdefault(role, []).append(
                    {
                        "processor": 100.0 * cpu_used_s / seconds,
                        "resident memory": _resident_mb(item.pid),
                    }
                )
        finally:
            deployment.stop()
    return usages


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


def _entry_load(deployment: _deployment.Deployment) -> _entry.EntryLoad:
    instance = next(iter(deployment.instances_by_name.values()))
    return _entry.EntryLoad(
        entry=instance.address,
        key="demo-key-contabilidad",
        model=_MODEL,
        version=_VERSION,
        upstreams=tuple(
            process.address
            for process in deployment.upstreams_by_name.values()
            if process.metadata["model"] == _MODEL
        ),
        entry_pid=instance.pid,
    )
