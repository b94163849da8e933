"""Callers that send seeded random requests to the listed entries."""

import json
import random
import threading
import time
import urllib.request
from collections.abc import Callable, Sequence

from mulberry_experiments import _entry_client
from mulberry_experiments._soak import _history, _soak_deployment

_TIMEOUT_S = 40.0
_LIST_TIMEOUT_S = 2.0
_THINK_TIME_S = (0.02, 0.25)
_SESSIONS = 12
_LOOKUP_TEAM, _DEPOSIT_TEAM = "tiendas", "contabilidad"
#: `RESTRICTED_TEAM` may use only one version of the expensive model.
_CHAT_TEAMS = ("ventas", "ventas", _soak_deployment.RESTRICTED_TEAM)

#: Attempts per deposit, including the first.
_MAX_ATTEMPTS = 6
_RETRY_DELAY_S = 1.0
#: Probability that a deposit is sent once more after its last attempt.
_DUPLICATE_PROBABILITY = 0.3
_KEY_PROBABILITY = 0.7


class EntryListCache:
    """Caches the entry list for the time that the list allows."""

    def __init__(self, addresses: Sequence[str], rng: random.Random) -> None:
        self._all = addresses
        self._rng = rng
        self._listed: list[str] = []
        self._expires_s = 0.0

    def pick(self) -> str:
        """Returns the address of a listed entry, empty if there is none."""
        if time.monotonic() >= self._expires_s:
            self._refresh()
        return self._rng.choice(self._listed) if self._listed else ""

    def pick_other(self, than: str) -> str:
        """Returns another listed entry if there is one."""
        self.pick()
        others = [item for item in self._listed if item != than]
        return self._rng.choice(others) if others else self.pick()

    def _refresh(self) -> None:
        self._listed = []
        for address in self._rng.sample(self._all, len(self._all)):
            asked_s = time.monotonic()
            try:
                with urllib.request.urlopen(
                    f"http://{address}/v1/entries", timeout=_LIST_TIMEOUT_S
                ) as answer:
                    listed = json.load(answer)
            except (OSError, ValueError):
                continue
            self._listed = [item["address"] for item in listed["entries"]]
            self._expires_s = asked_s + listed["keep_s"]
            if self._listed:
                return


class Caller:
    """One caller with its own seed; all callers share the sessions."""

    def __init__(
        self,
        number: int,
        seed: int,
        deployment: _soak_deployment.SoakDeployment,
        history: _history.History,
    ) -> None:
        self._number = number
        self._rng = random.Random(f"{seed} caller {number}")
        self._history = history
        self._entry_list = EntryListCache(
            [item.address for item in deployment.instances_by_name.values()],
            self._rng,
        )
        self._sent_count = 0
        self._actions: Sequence[Callable[[], None]] = (
            self._chat_whole,
            self._chat_stream,
            self._chat_stream,
            self._cascade,
            self._lookup,
            self._deposit,
        )

    def run(self, stop: threading.Event) -> None:
        """Sends requests until `stop` is set."""
        while not stop.wait(self._rng.uniform(*_THINK_TIME_S)):
            self._rng.choice(self._actions)()

    def _chat_whole(self) -> None:
        self._chat("chat", _soak_deployment.MODEL, stream=False)

    def _chat_stream(self) -> None:
        model = self._rng.choice(
            (_soak_deployment.MODEL, _soak_deployment.SMALL_MODEL)
        )
        self._chat("stream", model, stream=True)

    def _cascade(self) -> None:
        self._chat(
            "cascade", _soak_deployment.CASCADE, self._rng.random() < 0.5
        )

    def _chat(self, work: str, target: str, stream: bool) -> None:
        prompt = f"{work} {self._next_number()} of caller {self._number}"
        session = (
            f"session-{self._rng.randrange(_SESSIONS)}"
            if self._rng.random() < 0.6
            else ""
        )
        key = f"{work}-{self._number}-{self._sent_count}"
        if self._rng.random() > _KEY_PROBABILITY:
            key = ""
        team = self._rng.choice(_CHAT_TEAMS)
        attempt = self._send(work, team, target, prompt, stream, session, key)
        if key and attempt and not attempt.reply.is_success:
            self._send(work, team, target, prompt, stream, session, key)

    def _lookup(self) -> None:
        item = self._rng.randrange(50)
        self._send(
            _history.LOOKUP, _LOOKUP_TEAM, f"stock/item-{item}", "", False
        )

    def _deposit(self) -> None:
        key = f"deposit-{self._number}-{self._next_number()}"
        amount = str(self._rng.randrange(1, 1000))
        entry = ""
        for _ in range(_MAX_ATTEMPTS):
            attempt = self._send(
                _history.DEPOSIT,
                _DEPOSIT_TEAM,
                "deposits",
                amount,
                key=key,
                other_than=entry,
            )
            if attempt:
                entry = attempt.entry
                if attempt.reply.is_success:
                    break
            time.sleep(_RETRY_DELAY_S)
        if self._rng.random() < _DUPLICATE_PROBABILITY:
            self._send(
                _history.DEPOSIT, _DEPOSIT_TEAM, "deposits", amount, key=key
            )

    def _next_number(self) -> int:
        self._sent_count += 1
        return self._sent_count

    def _send(
        self,
        work: str,
        team: str,
        target: str,
        prompt: str,
        stream: bool = False,
        session: str = "",
        key: str = "",
        other_than: str = "",
    ) -> _history.Attempt | None:
        entry = self._entry_list.pick_other(other_than)
        if not entry:
            return None
        headers = {"Idempotency-Key": key, "Session-Id": session}
        given = {name: value for name, value in headers.items() if value}
        client = _entry_client.EntryClient(f"demo-key-{team}", _TIMEOUT_S)
        began_s = time.time()
        if work == _history.DEPOSIT:
            reply = client.send(
                entry,
                "POST",
                f"/services/{_soak_deployment.SERVICE}/{target}",
                {"amount": prompt},
                given,
            )
        elif work == _history.LOOKUP:
            reply = client.send(
                entry, "GET", f"/services/{_soak_deployment.SERVICE}/{target}"
            )
        else:
            reply = client.chat(
                entry,
                target,
                prompt,
                stream,
                given,
                _soak_deployment.SYSTEM_MESSAGE,
            )
        attempt = _history.Attempt(
            work,
            team,
            entry,
            target,
            prompt,
            session,
            key,
            began_s,
            time.time(),
            reply,
        )
        self._history.add_attempt(attempt)
        return attempt
