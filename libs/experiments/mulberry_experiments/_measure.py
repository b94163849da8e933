"""Command line of `scripts/measure`: runs experiments, prints a table."""

import argparse
import collections
import dataclasses
import importlib
import json
import pathlib
import statistics
import sys
from collections.abc import Callable, Mapping, Sequence
from concurrent import futures

#: Default seeds.
_SEEDS = (1, 2, 3, 4, 5)


@dataclasses.dataclass(frozen=True)
class Row:
    """One figure of an experiment."""

    experiment: str
    #: Measured implementation, by its name in the settings.
    policy: str
    #: Name of the measured quantity.
    name: str
    figure: float
    unit: str
    #: `<= NUMBER`, `>= NUMBER` or empty.
    target: str = ""


Experiment = Callable[[int], Sequence[Row]]

#: `module:function` by experiment. Modules are imported on demand, so that an
#: experiment does not require the dependencies of the others.
EXPERIMENTS: Mapping[str, str] = {
    **{
        name: f"mulberry_experiments._decisions._{name}:run"
        for name in (
            "cascade",
            "versions",
            "upstreams",
            "admission",
            "limits",
            "crashes",
            "hedging",
            "placement",
            "drain",
        )
    },
    "entry": "mulberry_experiments._deployed:run_entry",
    "state": "mulberry_experiments._deployed:run_state",
    "membership": "mulberry_experiments._deployed:run_membership",
    "capacity": "mulberry_experiments._capacity:run",
}


#: Experiments in simulated time, which can run concurrently.
_SIMULATED = frozenset(
    {
        "cascade",
        "versions",
        "upstreams",
        "admission",
        "limits",
        "crashes",
        "hedging",
        "placement",
        "drain",
    }
)
#: Maximum number of concurrent simulated runs.
_WORKERS = 4


def load_experiment(name: str) -> Experiment:
    """Imports the function of an experiment."""
    module, function = EXPERIMENTS[name].split(":")
    experiment: Experiment = getattr(importlib.import_module(module), function)
    return experiment


def meets_target(figure: float, target: str) -> bool:
    """Whether a figure meets its target; an empty target is always met."""
    if not target:
        return True
    sign, value = target.split()
    bound = float(value)
    return figure <= bound if sign == "<=" else figure >= bound


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the selected experiments.

    Returns:
        0 if the median over the seeds meets every target, 1 if not, 2 for an
        unknown experiment.
    """
    options = _parser().parse_args(arguments)
    unknown = sorted(set(options.names) - set(EXPERIMENTS))
    if unknown:
        print(f"unknown experiment: {', '.join(unknown)}", file=sys.stderr)
        return 2
    seeds = _SEEDS if options.seed is None else (options.seed,)
    rows_by_seed = _run_all(options.names or list(EXPERIMENTS), seeds)
    lines = _summaries(rows_by_seed)
    print(_table(lines))
    if options.json:
        _write_json(options.json, rows_by_seed)
    if options.plots:
        _write_plots(options.plots, lines)
    return 0 if all(line.is_met for line in lines) else 1


def _run(name: str, seed: int) -> Sequence[Row]:
    print(f"{name}, seed {seed}", file=sys.stderr)
    return load_experiment(name)(seed)


def _run_all(
    names: Sequence[str], seeds: Sequence[int]
) -> dict[int, list[Row]]:
    """Runs simulated experiments concurrently and the others sequentially."""
    rows_by_seed: dict[int, list[Row]] = {seed: [] for seed in seeds}
    with futures.ProcessPoolExecutor(_WORKERS) as pool:
        pending = {
            (name, seed): pool.submit(_run, name, seed)
            for name in names
            if name in _SIMULATED
            for seed in seeds
        }
        for (_, seed), future in pending.items():
            rows_by_seed[seed].extend(future.result())
    for name in names:
        if name not in _SIMULATED:
            for seed in seeds:
                rows_by_seed[seed].extend(_run(name, seed))
    return rows_by_seed


@dataclasses.dataclass(frozen=True)
class _FigureSummary:
    """Values of one figure over all seeds."""

    row: Row
    figures: tuple[float, ...]

    @property
    def median(self) -> float:
        return statistics.median(self.figures)

    @property
    def is_met(self) -> bool:
        return meets_target(self.median, self.row.target)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="scripts/measure",
        description="Runs experiments; the table gives the median and the "
        "range over the seeds 1 to 5.",
    )
    parser.add_argument(
        "names", nargs="*", metavar="NAME", help=", ".join(EXPERIMENTS)
    )
    parser.add_argument("--seed", type=int, help="run this seed only")
    parser.add_argument("--json", metavar="FILE", help="write all rows")
    parser.add_argument("--plots", metavar="DIR", help="write bar charts")
    return parser


def _summaries(
    rows_by_seed: Mapping[int, Sequence[Row]],
) -> list[_FigureSummary]:
    figures: dict[tuple[str, str, str], list[float]] = {}
    first_row_by_key: dict[tuple[str, str, str], Row] = {}
    for rows in rows_by_seed.values():
        for row in rows:
            key = (row.experiment, row.name, row.policy)
            figures.setdefault(key, []).append(row.figure)
            first_row_by_key.setdefault(key, row)
    return [
        _FigureSummary(first_row_by_key[key], tuple(values))
        for key, values in figures.items()
    ]


def _table(lines: Sequence[_FigureSummary]) -> str:
    cells = [("experiment", "figure", "policy", "median", "range", "target")]
    for line in lines:
        row = line.row
        target = row.target and (
            f"{row.target}{'' if line.is_met else '  MISSED'}"
        )
        value_range = f"{min(line.figures):.4g} to {max(line.figures):.4g}"
        median = f"{line.median:.4g} {row.unit}".strip()
        cells.append(
            (row.experiment, row.name, row.policy, median, value_range, target)
        )
    widths = [max(len(cell[i]) for cell in cells) for i in range(6)]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(cell, widths, strict=True)
        ).rstrip()
        for cell in cells
    )


def _write_json(path: str, rows_by_seed: Mapping[int, Sequence[Row]]) -> None:
    rows = [
        {"seed": seed, **dataclasses.asdict(row)}
        for seed, rows in rows_by_seed.items()
        for row in rows
    ]
    pathlib.Path(path).write_text(json.dumps(rows, indent=1) + "\n")


def _write_plots(folder: str, lines: Sequence[_FigureSummary]) -> None:
    """Writes one bar chart for each figure with several policies."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    charts: dict[tuple[str, str], list[_FigureSummary]] = (
        collections.defaultdict(list)
    )
    for line in lines:
        charts[line.row.experiment, line.row.name].append(line)
    target = pathlib.Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    for (experiment, name), bars in charts.items():
        if len(bars) < 2:
            continue
        figure, axes = pyplot.subplots()
        axes.bar([bar.row.policy for bar in bars], [bar.median for bar in bars])
        axes.set_title(f"{experiment}: {name}")
        axes.set_ylabel(bars[0].row.unit)
        words = "".join(c if c.isalnum() else "-" for c in name)
        figure.savefig(target / f"{experiment}-{words}.png")
        pyplot.close(figure)


if __name__ == "__main__":
    sys.exit(main())
