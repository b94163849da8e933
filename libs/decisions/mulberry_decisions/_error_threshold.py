"""Verdicts from a fixed share of errors."""

from mulberry_decisions import _judge, _versions

#: Share of failed or low rated runs at which a version is held to be bad.
_BAD_SHARE_THRESHOLD = 0.2
#: Fewest runs before it is looked at.
_MIN_RUNS = 20


class ErrorThreshold(_judge.NoJudge):
    """Holds a version to be bad when a fixed share of its runs was bad.

    Counts all runs since the last verdict on this instance only.
    """

    def __init__(self) -> None:
        super().__init__()
        self._bad: dict[tuple[str, str], int] = {}
        self._numbers: dict[tuple[str, str], int] = {}

    def observe(self, observation: _judge.Observation) -> None:
        """Counts the run."""
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
        """Resets the counts."""
        with self._lock:
            key = (model, version)
            if number > self._numbers.get(key, 0):
                self._numbers[key] = number
                self._bad.pop(key, None)
                self._runs.pop(key, None)

    def proposals(self) -> tuple[_judge.Proposal, ...]:
        """Returns versions above the threshold."""
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
