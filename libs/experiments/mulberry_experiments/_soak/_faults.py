"""Faults that are injected into a running deployment, by kind."""

import contextlib
import json
import random
import signal
import threading
import time
import urllib.request
from collections.abc import Callable, Mapping
from typing import Any

import mulberry_standins as standins
from mulberry_experiments._soak import _history, _watcher, _world

_BETWEEN_S = (1.0, 4.0)
_DOWN_S = (0.5, 3.0)
#: Longer than the rules lease in some cases.
_FROZEN_S = (1.0, 10.0)
_CUT_S = (1.0, 8.0)
_ENGINE_FAULT_S = (2.0, 6.0)
_KILL_TIMEOUT_S = 10.0
_REPLACE_TIMEOUT_S = 60.0
_SETTLE_S = 3.0
_LEAVE_POLL_S = 0.1
_LEADER_SHARE = 0.5

#: Faults of engines; each meets a share of the requests.
_ENGINE_FAULTS: tuple[Mapping[str, Any], ...] = (
    {"cut_after": 7},
    {"cross_id": "chatcmpl-of-another"},
    {"duplicate_at": 5},
    {"drop_at": 6},
    {"garble_at": 4},
    {"token_s": 0.2},
    {"refuse": True},
    {"close_without_answer": True},
)
_FAULT_SHARE = 0.3


class Faults:
    """Injects one fault after the other, some of them two at once."""

    def __init__(
        self,
        seed: int,
        world: _world.World,
        history: _history.History,
        runs: _watcher.RunWatcher,
    ) -> None:
        self._seed = seed
        self._world = world
        self._history = history
        self._runs = runs
        self._lock = threading.Lock()
        #: Instances and upstreams that a fault is at work on.
        self._busy: set[str] = set()
        self._singles: Mapping[str, Callable[[random.Random], None]] = {
            "kill -9 and restart": self._kill,
            "empty disk and replace": self._replace,
            "freeze": self._freeze,
            "cut of the network": self._cut,
            "loss of the quorum": self._freeze_quorum,
            "graceful stop": self._stop_gracefully,
            "kill of an upstream": self._kill_upstream,
            "leave of an upstream": self._leave_upstream,
            "fault of an engine": self._break_engine,
        }

    def run(self, lane: int, stop: threading.Event) -> None:
        """Injects faults until `stop` is set; all are repaired then.

        Lanes run at once, so that faults of several lanes overlap.
        """
        rng = random.Random(f"{self._seed} faults {lane}")
        names = tuple(self._singles)
        while not stop.wait(rng.uniform(*_BETWEEN_S)):
            self._singles[rng.choice(names)](random.Random(rng.random()))

    @contextlib.contextmanager
    def _taken(self, name: str, kind: str) -> Any:
        """Keeps other faults off the target, and counts and notes this."""
        self._history.add_fault(kind)
        self._note(f"{kind}: {name} begins")
        began_s = time.time()
        try:
            yield
        finally:
            self._history.add_time(
                _history.FaultTime(kind, name, began_s, time.time())
            )
            self._note(f"{kind}: {name} ends")
            with self._lock:
                self._busy.discard(name)

    def _take(
        self, rng: random.Random, names: list[str], spare_voters: bool = False
    ) -> str:
        """Returns a name that no fault is at work on, empty if there is none.

        Args:
            rng: Chooses.
            names: Possible targets.
            spare_voters: Takes no voter while a fault is at work on another:
                two of three make the quorum.
        """
        voters = set(self._world.voters)
        with self._lock:
            free = set(names) - self._busy
            if spare_voters and self._busy & voters:
                free -= voters
            if not free:
                return ""
            name = rng.choice(sorted(free))
            if self._busy:
                self._history.add_fault("while another fault is at work")
            self._busy.add(name)
            return name

    def _take_instance(self, rng: random.Random) -> str:
        names = list(self._world.instances_by_name)
        leader = self._leader() if rng.random() < _LEADER_SHARE else ""
        if leader:
            names = [leader]
        return self._take(rng, names, spare_voters=True)

    def _kill(self, rng: random.Random) -> None:
        name = self._take_instance(rng)
        if not name:
            return
        with self._taken(name, "kill -9 and restart"):
            self._end(name)
            time.sleep(rng.uniform(*_DOWN_S))
            self._world.start_instance(name)
            time.sleep(_SETTLE_S)

    def _replace(self, rng: random.Random) -> None:
        name = self._take(rng, self._world.voters, spare_voters=True)
        if not name:
            return
        with self._taken(name, "empty disk and replace"):
            self._end(name)
            self._world.wipe(name)
            time.sleep(rng.uniform(*_DOWN_S))
            self._world.start_instance(name)
            second = threading.Thread(
                target=self._second, args=(rng.random(), name)
            )
            second.start()
            self._replace_voter(rng, name)
            second.join()
            time.sleep(_SETTLE_S)

    def _second(self, draw: float, repaired: str) -> None:
        """A second fault while the first one is repaired."""
        rng = random.Random(draw)
        if rng.random() < 0.5:
            return
        others = [n for n in self._world.instances_by_name if n != repaired]
        name = self._take(rng, others)
        if not name:
            return
        with self._taken(name, "second fault during a repair"):
            self._freeze_for(name, rng.uniform(*_DOWN_S))

    def _replace_voter(self, rng: random.Random, name: str) -> None:
        address = self._world.relays_by_name[name].address
        until_s = time.monotonic() + _REPLACE_TIMEOUT_S
        others = [n for n in self._world.instances_by_name if n != name]
        while time.monotonic() < until_s:
            asked = rng.choice(others)
            arguments = ("voters", "replace", name, name, address)
            status, document = self._world.run_command(asked, *arguments)
            self._note(f"voters replace {name} at {asked}: {document}")
            if status == 0 or self._add_again(asked, name, address, document):
                return
            time.sleep(1.0)
        self._note(f"voters replace {name} failed")
        self._history.add_fault("replacement not done in time")

    def _add_again(
        self, asked: str, name: str, address: str, document: Any
    ) -> bool:
        """Goes on after a replacement that ended half way."""
        reason = str(document.get("error", ""))
        if "votes already" in reason:
            return True
        if "there is no voter" not in reason:
            return False
        status, _ = self._world.run_command(
            asked, "voters", "add", name, address
        )
        return status == 0

    def _freeze(self, rng: random.Random) -> None:
        name = self._take_instance(rng)
        if not name:
            return
        with self._taken(name, "freeze"):
            self._freeze_for(name, rng.uniform(*_FROZEN_S))

    def _freeze_quorum(self, rng: random.Random) -> None:
        """Freezes two of three voters at once."""
        first = self._take(rng, self._world.voters, spare_voters=True)
        if not first:
            return
        others = [name for name in self._world.voters if name != first]
        second = self._take(rng, others)
        if not second:
            with self._lock:
                self._busy.discard(first)
            return
        for_s = rng.uniform(*_FROZEN_S)
        with (
            self._taken(first, "loss of the quorum"),
            self._taken(second, "loss of the quorum, second voter"),
        ):
            other = threading.Thread(
                target=self._freeze_for, args=(second, for_s)
            )
            other.start()
            self._freeze_for(first, for_s)
            other.join()

    def _freeze_for(self, name: str, for_s: float) -> None:
        process = self._world.instances_by_name[name]
        process.signal(signal.SIGSTOP)
        try:
            time.sleep(for_s)
        finally:
            process.signal(signal.SIGCONT)

    def _cut(self, rng: random.Random) -> None:
        name = self._take(rng, self._world.cut_off_by_relay)
        if not name:
            return
        relay = self._world.relays_by_name[name]
        cut = rng.choice(
            (standins.Cut.REQUESTS, standins.Cut.REPLIES, standins.Cut.BOTH)
        )
        with self._taken(name, f"cut of {cut.value} to a voter"):
            relay.cut(cut)
            try:
                time.sleep(rng.uniform(*_CUT_S))
            finally:
                relay.cut(standins.Cut.NONE)

    def _stop_gracefully(self, rng: random.Random) -> None:
        name = self._take_instance(rng)
        if not name:
            return
        with self._taken(name, "graceful stop"):
            process = self._world.instances_by_name[name]
            began_s = time.time()
            status = self._world.stop_instance(name)
            self._history.add_stop(
                _history.GracefulStop(
                    name, process.address, began_s, time.time(), status
                )
            )
            self._world.start_instance(name)
            time.sleep(_SETTLE_S)

    def _kill_upstream(self, rng: random.Random) -> None:
        name = self._take(rng, list(self._world.upstreams_by_name))
        if not name:
            return
        with self._taken(name, "kill of an upstream"):
            self._runs.read(name)
            process = self._world.upstreams_by_name[name]
            process.signal(signal.SIGKILL)
            process.wait(_KILL_TIMEOUT_S)
            time.sleep(rng.uniform(*_DOWN_S))
            self._world.restart_standin(name)

    def _leave_upstream(self, rng: random.Random) -> None:
        name = self._take(rng, list(self._world.upstreams_by_name))
        if not name:
            return
        with self._taken(name, "leave of an upstream"):
            process = self._world.upstreams_by_name[name]
            process.signal(signal.SIGTERM)
            late: tuple[str, ...] = ()
            while process.popen.poll() is None:
                self._runs.read(name)
                late = self._late_runs(name) or late
                time.sleep(_LEAVE_POLL_S)
            self._history.add_leave(_history.Leave(name, late))
            self._world.restart_standin(name)

    def _late_runs(self, name: str) -> tuple[str, ...]:
        address = self._world.upstreams_by_name[name].address
        try:
            with urllib.request.urlopen(
                f"http://{address}/status", timeout=1
            ) as answer:
                return tuple(json.load(answer)["late_runs"])
        except (OSError, ValueError):
            return ()

    def _break_engine(self, rng: random.Random) -> None:
        engines = [
            name
            for name in self._world.upstreams_by_name
            if name.startswith("engine")
        ]
        name = self._take(rng, engines)
        if not name:
            return
        fault = {**rng.choice(_ENGINE_FAULTS), "share": _FAULT_SHARE}
        with self._taken(name, f"engine fault {next(iter(fault))}"):
            self._set_faults(name, fault)
            time.sleep(rng.uniform(*_ENGINE_FAULT_S))
            self._set_faults(name, {})

    def _set_faults(self, name: str, fault: Mapping[str, Any]) -> None:
        address = self._world.upstreams_by_name[name].address
        request = urllib.request.Request(
            f"http://{address}/faults",
            json.dumps(fault).encode(),
            {"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=10):
            pass

    def _end(self, name: str) -> None:
        process = self._world.instances_by_name[name]
        process.signal(signal.SIGKILL)
        process.wait(_KILL_TIMEOUT_S)

    def _leader(self) -> str:
        status, document = self._world.run_command(
            self._world.voters[0], "voters", "list"
        )
        if status != 0:
            return ""
        for voter in document["voters"]:
            if voter["state"] == "leader":
                return str(voter["name"])
        return ""

    def _note(self, note: str) -> None:
        self._history.add_note(f"{time.time():.3f} {note}")
