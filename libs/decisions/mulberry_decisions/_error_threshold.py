"""Verdicts from a fixed threshold on the share of bad runs."""

from mulberry_decisions import _judge, _versions

#: Share of failed or low-rated runs from which a version is judged bad.
_BAD_SHARE_THRESHOLD = 0.2
#: Number of runs before a version is judged.
_MIN_RUNS = 20


class ErrorThreshold(_judge.NoJudge):
    """Judges a version bad when a fixed share of its runs was bad.

    Counts only the runs on this instance, since the last verdict.
    """

    def __init__(self) -> None:
        super().__init__()
        self._bad: dict[tuple[str, str], int] = {}
        self._numbers: dict[tuple[str, str], int] = {}

    def observe(self, observation: _judge.Observation) -> None:
        """Counts the run, and whether it failed or was rated low."""
        super().observe(observation)
        low = (
            isinstance(observation.rating, float)
            and observation.rating < observation.quality
        )
        if low or observation.outcome in _judge.FAILURES:
            key = (observation.model, observation.version)
            with self._lock:
                self._bad[key] = self._bad.get(key, 0) + 1

    def verdict_recorded(
        self,
        model: str,
        version: str,
        number: int,
        health: _versions.VersionHealth,
    ) -> None:
        """Resets the counts of the version."""
        with self._lock:
            key = (model, version)
            if number > self._numbers.get(key, 0):
                self._numbers[key] = number
                self._bad.pop(key, None)
                self._runs.pop(key, None)

    def proposals(self) -> tuple[_judge.Proposal, ...]:
        """Returns a bad verdict for each version above the threshold."""
        with self._lock:
            return tuple(
                _judge.Proposal(
                    key[0],
                    key[1],
                    _versions.VersionHealth.BAD,
                    "share of bad runs above the threshold",
                    f"{bad} of {self._runs[key]} runs",
                    self._numbers.get(key, 0),
                )
                for key, bad in sorted(self._bad.items())
                if self._runs[key] >= _MIN_RUNS
                and bad >= _BAD_SHARE_THRESHOLD * self._runs[key]
            )
