"""Fault injection into a running deployment."""

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
from mulberry_experiments._soak import _history, _soak_deployment, _watcher

_FAULT_INTERVAL_S = (1.0, 4.0)
_DOWN_S = (0.5, 3.0)
#: The upper part of the range exceeds the rules lease.
_FROZEN_S = (1.0, 10.0)
_PARTITION_S = (1.0, 8.0)
_ENGINE_FAULT_S = (2.0, 6.0)
_KILL_TIMEOUT_S = 10.0
_REPLACE_TIMEOUT_S = 60.0
_SETTLE_S = 3.0
_LEAVE_POLL_S = 0.1
_LEADER_PROBABILITY = 0.5

#: Faults of engines; each affects `_FAULTY_REQUEST_SHARE` of the requests.
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
_FAULTY_REQUEST_SHARE = 0.3


class FaultInjector:
    """Injects faults of all kinds, some of them concurrently."""

    def __init__(
        self,
        seed: int,
        deployment: _soak_deployment.SoakDeployment,
        history: _history.History,
        runs: _watcher.RunWatcher,
    ) -> None:
        self._seed = seed
        self._deployment = deployment
        self._history = history
        self._runs = runs
        self._lock = threading.Lock()
        #: Instances and upstreams with an active fault.
        self._reserved: set[str] = set()
        self._fault_by_kind: Mapping[str, Callable[[random.Random], None]] = {
            "kill -9 and restart": self._kill_instance,
            "empty disk and replace": self._replace_disk,
            "freeze": self._freeze,
            "cut of the network": self._partition,
            "loss of the quorum": self._freeze_quorum,
            "graceful stop": self._stop_gracefully,
            "kill of an upstream": self._kill_upstream,
            "leave of an upstream": self._stop_upstream,
            "fault of an engine": self._inject_engine_fault,
        }

    def run(self, lane: int, stop: threading.Event) -> None:
        """Injects faults until `stop` is set, then repairs the last one.

        Each lane runs in its own thread, so faults of several lanes overlap.
        """
        rng = random.Random(f"{self._seed} faults {lane}")
        names = tuple(self._fault_by_kind)
        while not stop.wait(rng.uniform(*_FAULT_INTERVAL_S)):
            self._fault_by_kind[rng.choice(names)](random.Random(rng.random()))

    @contextlib.contextmanager
    def _fault_in_progress(self, name: str, kind: str) -> Any:
        """Records a fault and releases its target at the end."""
        self._history.add_fault(kind)
        self._note(f"{kind}: {name} begins")
        began_s = time.time()
        try:
            yield
        finally:
            self._history.add_fault_interval(
                _history.FaultInterval(kind, name, began_s, time.time())
            )
            self._note(f"{kind}: {name} ends")
            with self._lock:
                self._reserved.discard(name)

    def _reserve(
        self, rng: random.Random, names: list[str], keep_quorum: bool = False
    ) -> str:
        """Reserves a target without an active fault, empty if there is none.

        Args:
            rng: Source of randomness.
            names: Possible targets.
            keep_quorum: Whether to exclude voters while another voter has a
                fault: two of three form the quorum.
        """
        voters = set(self._deployment.voters)
        with self._lock:
            free = set(names) - self._reserved
            if keep_quorum and self._reserved & voters:
                free -= voters
            if not free:
                return ""
            name = rng.choice(sorted(free))
            if self._reserved:
                self._history.add_fault("while another fault is at work")
            self._reserved.add(name)
            return name

    def _reserve_instance(self, rng: random.Random) -> str:
        names = list(self._deployment.instances_by_name)
        leader = self._leader() if rng.random() < _LEADER_PROBABILITY else ""
        if leader:
            names = [leader]
        return self._reserve(rng, names, keep_quorum=True)

    def _kill_instance(self, rng: random.Random) -> None:
        name = self._reserve_instance(rng)
        if not name:
            return
        with self._fault_in_progress(name, "kill -9 and restart"):
            self._kill_process(name)
            time.sleep(rng.uniform(*_DOWN_S))
            self._deployment.start_instance(name)
            time.sleep(_SETTLE_S)

    def _replace_disk(self, rng: random.Random) -> None:
        name = self._reserve(rng, self._deployment.voters, keep_quorum=True)
        if not name:
            return
        with self._fault_in_progress(name, "empty disk and replace"):
            self._kill_process(name)
            self._deployment.wipe_disk(name)
            time.sleep(rng.uniform(*_DOWN_S))
            self._deployment.start_instance(name)
            second = threading.Thread(
                target=self._inject_second_fault, args=(rng.random(), name)
            )
            second.start()
            self._replace_voter(rng, name)
            second.join()
            time.sleep(_SETTLE_S)

    def _inject_second_fault(self, seed: float, repaired: str) -> None:
        """Injects a second fault while the first one is repaired."""
        rng = random.Random(seed)
        if rng.random() < 0.5:
            return
        others = [
            n for n in self._deployment.instances_by_name if n != repaired
        ]
        name = self._reserve(rng, others)
        if not name:
            return
        with self._fault_in_progress(name, "second fault during a repair"):
            self._freeze_for(name, rng.uniform(*_DOWN_S))

    def _replace_voter(self, rng: random.Random, name: str) -> None:
        address = self._deployment.relays_by_name[name].address
        until_s = time.monotonic() + _REPLACE_TIMEOUT_S
        others = [n for n in self._deployment.instances_by_name if n != name]
        while time.monotonic() < until_s:
            asked = rng.choice(others)
            arguments = ("voters", "replace", name, name, address)
            status, document = self._deployment.run_command(asked, *arguments)
            self._note(f"voters replace {name} at {asked}: {document}")
            if status == 0 or self._resume_replacement(
                asked, name, address, document
            ):
                return
            time.sleep(1.0)
        self._note(f"voters replace {name} timed out")
        self._history.add_fault("replacement not done in time")

    def _resume_replacement(
        self, asked: str, name: str, address: str, document: Any
    ) -> bool:
        """Completes a replacement that was interrupted."""
        reason = str(document.get("error", ""))
        if "votes already" in reason:
            return True
        if "there is no voter" not in reason:
            return False
        status, _ = self._deployment.run_command(
            asked, "voters", "add", name, address
        )
        return status == 0

    def _freeze(self, rng: random.Random) -> None:
        name = self._reserve_instance(rng)
        if not name:
            return
        with self._fault_in_progress(name, "freeze"):
            self._freeze_for(name, rng.uniform(*_FROZEN_S))

    def _freeze_quorum(self, rng: random.Random) -> None:
        """Freezes two of three voters at the same time."""
        first = self._reserve(rng, self._deployment.voters, keep_quorum=True)
        if not first:
            return
        others = [name for name in self._deployment.voters if name != first]
        second = self._reserve(rng, others)
        if not second:
            with self._lock:
                self._reserved.discard(first)
            return
        duration_s = rng.uniform(*_FROZEN_S)
        with (
            self._fault_in_progress(first, "loss of the quorum"),
            self._fault_in_progress(second, "loss of the quorum, second voter"),
        ):
            other = threading.Thread(
                target=self._freeze_for, args=(second, duration_s)
            )
            other.start()
            self._freeze_for(first, duration_s)
            other.join()

    def _freeze_for(self, name: str, duration_s: float) -> None:
        process = self._deployment.instances_by_name[name]
        process.signal(signal.SIGSTOP)
        try:
            time.sleep(duration_s)
        finally:
            process.signal(signal.SIGCONT)

    def _partition(self, rng: random.Random) -> None:
        name = self._reserve(rng, self._deployment.voters_behind_relay)
        if not name:
            return
        relay = self._deployment.relays_by_name[name]
        cut = rng.choice(
            (standins.Cut.REQUESTS, standins.Cut.REPLIES, standins.Cut.BOTH)
        )
        with self._fault_in_progress(name, f"cut of {cut.value} to a voter"):
            relay.cut(cut)
            try:
                time.sleep(rng.uniform(*_PARTITION_S))
            finally:
                relay.cut(standins.Cut.NONE)

    def _stop_gracefully(self, rng: random.Random) -> None:
        name = self._reserve_instance(rng)
        if not name:
            return
        with self._fault_in_progress(name, "graceful stop"):
            process = self._deployment.instances_by_name[name]
            began_s = time.time()
            status = self._deployment.stop_instance(name)
            self._history.add_stop(
                _history.GracefulStop(
                    name, process.address, began_s, time.time(), status
                )
            )
            self._deployment.start_instance(name)
            time.sleep(_SETTLE_S)

    def _kill_upstream(self, rng: random.Random) -> None:
        name = self._reserve(rng, list(self._deployment.upstreams_by_name))
        if not name:
            return
        with self._fault_in_progress(name, "kill of an upstream"):
            self._runs.read(name)
            process = self._deployment.upstreams_by_name[name]
            process.signal(signal.SIGKILL)
            process.wait(_KILL_TIMEOUT_S)
            time.sleep(rng.uniform(*_DOWN_S))
            self._deployment.restart_standin(name)

    def _stop_upstream(self, rng: random.Random) -> None:
        name = self._reserve(rng, list(self._deployment.upstreams_by_name))
        if not name:
            return
        with self._fault_in_progress(name, "leave of an upstream"):
            process = self._deployment.upstreams_by_name[name]
            process.signal(signal.SIGTERM)
            late: tuple[str, ...] = ()
            while process.popen.poll() is None:
                self._runs.read(name)
                late = self._late_runs(name) or late
                time.sleep(_LEAVE_POLL_S)
            self._history.add_leave(_history.UpstreamLeave(name, late))
            self._deployment.restart_standin(name)

    def _late_runs(self, name: str) -> tuple[str, ...]:
        address = self._deployment.upstreams_by_name[name].address
        try:
            with urllib.request.urlopen(
                f"http://{address}/status", timeout=1
            ) as answer:
                return tuple(json.load(answer)["late_runs"])
        except (OSError, ValueError):
            return ()

    def _inject_engine_fault(self, rng: random.Random) -> None:
        engines = [
            name
            for name in self._deployment.upstreams_by_name
            if name.startswith("engine")
        ]
        name = self._reserve(rng, engines)
        if not name:
            return
        fault = {**rng.choice(_ENGINE_FAULTS), "share": _FAULTY_REQUEST_SHARE}
        with self._fault_in_progress(name, f"engine fault {next(iter(fault))}"):
            self._set_faults(name, fault)
            time.sleep(rng.uniform(*_ENGINE_FAULT_S))
            self._set_faults(name, {})

    def _set_faults(self, name: str, fault: Mapping[str, Any]) -> None:
        address = self._deployment.upstreams_by_name[name].address
        request = urllib.request.Request(
            f"http://{address}/faults",
            json.dumps(fault).encode(),
            {"Content-Type": "application/json"},
        )
        with urllib.request.urlopen(request, timeout=10):
            pass

    def _kill_process(self, name: str) -> None:
        process = self._deployment.instances_by_name[name]
        process.signal(signal.SIGKILL)
        process.wait(_KILL_TIMEOUT_S)

    def _leader(self) -> str:
        status, document = self._deployment.run_command(
            self._deployment.voters[0], "voters", "list"
        )
        if status != 0:
            return ""
        for voter in document["voters"]:
            if voter["state"] == "leader":
                return str(voter["name"])
        return ""

    def _note(self, note: str) -> None:
        self._history.add_note(f"{time.time():.3f} {note}")
