"""Operators that edit the rules concurrently and retry."""

import dataclasses
import json
import pathlib
import random
import subprocess
import threading
import time
from collections.abc import Sequence

from mulberry_experiments._soak import _soak_deployment

_THINK_TIME_S = (2.0, 5.0)
#: Time after which some commands are killed, seconds; whether the rules were
#: accepted is then unknown.
_KILL_AFTER_S = (0.3, 1.2)
_CLI_TIMEOUT_S = 30.0
_KILL_PROBABILITY = 0.3
_WITHDRAW_PROBABILITY = 0.5
_MAX_ATTEMPTS = 4


@dataclasses.dataclass(frozen=True)
class Submission:
    """One rules change, sent until its outcome is known or attempts run out."""

    #: Unique text in the change, to find it in accepted rules.
    mark: str
    #: Rules numbers that the command line reported as accepted.
    accepted: tuple[int, ...]
    #: Outcomes of all attempts; `lost` if the command was killed.
    outcomes: tuple[str, ...]


class Operators:
    """Two operators who edit the same rules."""

    def __init__(
        self,
        seed: int,
        deployment: _soak_deployment.SoakDeployment,
        folder: pathlib.Path,
    ) -> None:
        self._rng = random.Random(f"{seed} operators")
        self._deployment = deployment
        self._folder = folder
        self._edit_count = 0
        self._lock = threading.Lock()
        self._submissions: list[Submission] = []

    @property
    def submissions(self) -> Sequence[Submission]:
        """All submitted changes so far."""
        with self._lock:
            return tuple(self._submissions)

    def run(self, stop: threading.Event) -> None:
        """Edits the rules until `stop` is set."""
        while not stop.wait(self._rng.uniform(*_THINK_TIME_S)):
            text = self._read_rules()
            if not text:
                continue
            racing = self._rng.random() < 0.5
            threads = [
                threading.Thread(
                    target=self._submit,
                    args=(*self._edit(text), self._rng.random()),
                )
                for _ in range(2 if racing else 1)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def _read_rules(self) -> str:
        status, document = self._deployment.run_command(
            self._random_instance(random.Random(self._rng.random())),
            "rules",
            "show",
        )
        return str(document["text"]) if status == 0 else ""

    def _edit(self, text: str) -> tuple[str, str]:
        """Returns a unique mark and the rules with a change that contains it."""
        self._edit_count += 1
        mark = f"soak-{self._edit_count}"
        lines = [
            line
            for line in text.splitlines()
            if not line.startswith(
                ("team soak-", f"withdraw {_soak_deployment.MODEL} 2026-0")
            )
        ]
        key = f"{self._edit_count:064x}"
        lines.append(f"team {mark} key sha256:{key}  # asked by Inés Pop")
        if self._rng.random() < _WITHDRAW_PROBABILITY:
            version = self._rng.choice(
                (_soak_deployment.OLD_VERSION, _soak_deployment.NEW_VERSION)
            )
            lines.append(
                f"withdraw {_soak_deployment.MODEL} {version}  # asked by Tomás Xol"
            )
        return mark, "\n".join(lines) + "\n"

    def _submit(self, mark: str, text: str, seed: float) -> None:
        rng = random.Random(seed)
        path = self._folder / f"{mark}.rules"
        path.write_text(text)
        accepted, outcomes = [], []
        for attempt in range(_MAX_ATTEMPTS):
            limit_s = _CLI_TIMEOUT_S
            if attempt == 0 and rng.random() < _KILL_PROBABILITY:
                limit_s = rng.uniform(*_KILL_AFTER_S)
            outcome, number = self._send(rng, path, limit_s)
            outcomes.append(outcome)
            if outcome == "accepted":
                accepted.append(number)
            if outcome in ("accepted", "conflict", "rejected"):
                break
            time.sleep(1.0)
        with self._lock:
            self._submissions.append(
                Submission(mark, tuple(accepted), tuple(outcomes))
            )

    def _send(
        self, rng: random.Random, path: pathlib.Path, limit_s: float
    ) -> tuple[str, int]:
        command = self._deployment.command(
            self._random_instance(rng), "rules", "submit", str(path)
        )
        process = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        try:
            printed, _ = process.communicate(timeout=limit_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.communicate()
            return "lost", 0
        try:
            document = json.loads(printed)
        except ValueError:
            return "failed", 0
        return str(document.get("outcome", "failed")), int(
            document.get("number", 0)
        )

    def _random_instance(self, rng: random.Random) -> str:
        return rng.choice(sorted(self._deployment.instances_by_name))
