"""Experiments on real processes, in the form that `scripts/measure` runs."""

import dataclasses
import pathlib
import tempfile
from collections.abc import Sequence

from mulberry_experiments import (
    _deployment,
    _entry,
    _measure,
    _membership,
    _state,
)

_ROOT = pathlib.Path(__file__).parents[3]

_MODEL, _VERSION = "cedro-chico", "2026-01"

#: One engine process takes 100 streams only with several of them at hand.
_ENGINES = 6


def run_state(seed: int) -> Sequence[_measure.Row]:
    """Measures the replicated state."""
    return [
        _measure.Row("state", "", row.name, row.figure, row.unit, row.target)
        for row in _state.measure_state(seed)
    ]


def run_membership(seed: int) -> Sequence[_measure.Row]:
    """Measures spread and idle cost of the membership."""
    return [
        _measure.Row(
            "membership", "", row.name, row.figure, row.unit, row.target
        )
        for row in _membership.measure(seed)
    ]


def run_entry(seed: int) -> Sequence[_measure.Row]:
    """Measures one entry of three under load, against its engines directly."""
    del seed
    return [
        _measure.Row("entry", "", row.name, row.figure, row.unit, row.target)
        for row in measure_load(20.0, 200)
    ]


def measure_load(requests_per_s: float, tokens: int) -> Sequence[_entry.Row]:
    """Measures one entry of three under a given load.

    Args:
        requests_per_s: Streams that begin each second.
        tokens: Tokens of each answer, at 40 tokens/s.
    """
    shape = _deployment.Shape(
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
        deployment = _deployment.Deployment(shape, pathlib.Path(folder))
        try:
            deployment.start()
            return _entry.measure_entry(
                dataclasses.replace(
                    _load_of(deployment),
                    requests_per_s=requests_per_s,
                    tokens=tokens,
                    stream_s=tokens / 40.0,
                )
            )
        finally:
            deployment.stop()


def _load_of(deployment: _deployment.Deployment) -> _entry.EntryLoad:
    instance = next(iter(deployment.instances_by_name.values()))
    return _entry.EntryLoad(
        entry=instance.address,
        key="demo-key-contabilidad",
        model=_MODEL,
        version=_VERSION,
        upstreams=tuple(
            process.address
            for process in deployment.upstreams_by_name.values()
            if process.facts["model"] == _MODEL
        ),
        entry_pid=instance.pid,
    )
