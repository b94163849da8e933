"""The demo: shows the main features step by step and checks the results."""

import argparse
import collections
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from collections.abc import Callable, Sequence
from concurrent import futures

import mulberry_core as core
from mulberry_experiments import _deployment, _entry_client

_ROOT = pathlib.Path(__file__).parents[3]

#: Six instances in the three zones of the Colmenas example; three of them
#: have a disk and vote.
DEMO_SPEC = _deployment.DeploymentSpec(
    region="altaverapaz",
    zones=("coban-a", "coban-b", "carcha-c"),
    instances_per_zone=2,
    rule_file=_ROOT / "examples" / "colmenas.rules",
    engines=(
        "cedro-chico@2026-01",
        "cedro-chico@2026-01",
        "cedro-grande@2026-02",
        "cedro-grande@2026-02",
        "cedro-grande@2026-03",
        "cedro-grande@2026-03",
    ),
    service="taller-app",
    service_workers=3,
    engine_options=("--tokens-per-s=60",),
)

#: Guaranteed time until changed rules are in effect on every instance.
_IN_EFFECT_BOUND_S = 12.0

_TEAM = "cooperativas"


class Demo:
    """Runs the steps against a deployment and collects failed checks."""

    def __init__(self, deployment: _deployment.Deployment) -> None:
        self._deployment = deployment
        self._client = _entry_client.EntryClient(f"demo-key-{_TEAM}")
        self._failures: list[str] = []
        self._answer_count_by_request: collections.Counter[str] = (
            collections.Counter()
        )

    def run(self) -> list[str]:
        """Runs every step and returns the descriptions of failed checks."""
        steps: Sequence[tuple[str, Callable[[], None]]] = (
            ("Chat: non-streaming, streaming and cascade", self._chat),
            (
                "Lookups, and a deposit sent twice with one idempotency key",
                self._service_calls,
            ),
            ("Refused requests are reported as not run", self._refusals),
            ("A session keeps its version", self._sessions),
            ("A version is withdrawn while requests run", self._withdrawal),
            ("An instance stops gracefully under load", self._graceful_stop),
            ("Every answered request is billed once", self._bills),
        )
        for number, (title, step) in enumerate(steps, start=1):
            print(f"{number}. {title}")
            step()
        return self._failures

    def _check(self, passed: bool, description: str) -> None:
        print(f"   {'ok  ' if passed else 'FAIL'} {description}")
        if not passed:
            self._failures.append(description)

    def _entry(self, index: int = 0) -> str:
        entries = self._deployment.entries
        return entries[index % len(entries)]

    def _chat(self) -> None:
        for model, prompt, stream, kind in (
            ("cedro-grande", "a quote for two cedar stands", False, "quote"),
            ("cedro-grande", "a quote for a long bench", True, "quote"),
            ("planes", "a stand plan for a new apiary", False, "stand-plan"),
            ("planes", "a stand plan on a slope", True, "stand-plan"),
        ):
            began_s = time.monotonic()
            reply = self._chat_once(self._entry(), model, prompt, stream)
            self._check(
                reply.is_success,
                f"{kind}{' (stream)' if stream else ''}: {reply.status} from "
                f"{reply.header_by_name.get('x-mulberry-model')} "
                f"{reply.header_by_name.get('x-mulberry-version')}, "
                f"{len(reply.text.split())} words in "
                f"{time.monotonic() - began_s:.2f} s",
            )

    def _service_calls(self) -> None:
        for item in ("cedar-board", "hive-frame"):
            reply = self._call("GET", f"stock/{item}")
            self._check(reply.is_success, f"stock of {item}: {reply.status}")
        key = {"Idempotency-Key": "demo-deposit-1"}
        deposit = {"customer": "Cobán", "amount": 250}
        first = self._call("POST", "deposits", deposit, key, 0)
        second = self._call("POST", "deposits", deposit, key, 1)
        runs = [run for run in self._service_runs() if run == "demo-deposit-1"]
        self._check(
            first.is_success and second.body == first.body and len(runs) == 1,
            f"deposit sent twice over two entries: {first.status}, "
            f"{second.status}, same answer, run {len(runs)} time(s)",
        )

    def _refusals(self) -> None:
        other_body = self._call(
            "POST",
            "deposits",
            {"amount": 1},
            {"Idempotency-Key": "demo-deposit-1"},
        )
        unknown_client = _entry_client.EntryClient("no-such-key")
        small_team = _entry_client.EntryClient("demo-key-tiendas")
        for reply, kind in (
            (other_body, "idempotency_key_reused"),
            (
                unknown_client.chat(self._entry(), "planes", "x"),
                "unauthenticated",
            ),
            (
                small_team.chat(self._entry(), "cedro-grande", "x"),
                "not_allowed",
            ),
            (self._client.chat(self._entry(), "roble", "x"), "unknown_model"),
        ):
            self._check(
                reply.error_kind == kind and reply.run_status == "not_run",
                f"{reply.status} {reply.error_kind}, {reply.run_status}",
            )

    def _sessions(self) -> None:
        seen = collections.defaultdict(set)
        for turn in range(3):
            for session in range(6):
                reply = self._chat_once(
                    self._entry(turn + session),
                    "cedro-grande",
                    f"turn {turn}",
                    headers={"Session-Id": f"demo-session-{session}"},
                )
                seen[session].add(
                    reply.header_by_name.get("x-mulberry-version", "")
                )
        self._check(
            all(
                len(versions) == 1 and "" not in versions
                for versions in seen.values()
            ),
            f"{len(seen)} sessions over {len(self._deployment.entries)} "
            f"entries, versions per session: "
            f"{sorted(len(versions) for versions in seen.values())}",
        )

    def _withdrawal(self) -> None:
        withdrawn = "2026-02"
        stop = threading.Event()
        with futures.ThreadPoolExecutor(6) as pool:
            load = [pool.submit(self._stream_until, stop, i) for i in range(6)]
            time.sleep(1.0)
            self._withdraw("cedro-grande", withdrawn)
            changed_s = time.monotonic()
            in_effect = self._wait_in_effect(changed_s)
            propagation_s = time.monotonic() - changed_s
            before = self._runs_of_version(withdrawn)
            time.sleep(2.0)
            after = self._runs_of_version(withdrawn)
            stop.set()
            replies = [reply for item in load for reply in item.result()]
        self._check(
            in_effect,
            f"in effect on every instance {propagation_s:.1f} s after saving",
        )
        self._check(
            before == after,
            f"no request reached cedro-grande {withdrawn} once in effect",
        )
        failed = [reply for reply in replies if not reply.is_success]
        self._check(
            not failed,
            f"{len(replies)} streams during the change, {len(failed)} failed"
            + "".join(f"; {reply.error_kind}" for reply in failed[:3]),
        )

    def _graceful_stop(self) -> None:
        stopping = next(
            item
            for item in self._deployment.instances_by_name.values()
            if not item.metadata["has_disk"]
        )
        stop = threading.Event()
        with futures.ThreadPoolExecutor(6) as pool:
            load = [
                pool.submit(
                    self._stream_from_listed_entry, stop, stopping.address
                )
                for _ in range(6)
            ]
            time.sleep(0.5)
            status = self._deployment.stop_instance(stopping.name)
            stop.set()
            replies = [reply for item in load for reply in item.result()]
        failed = [reply for reply in replies if not reply.is_success]
        self._check(
            status == 0 and not failed,
            f"{stopping.name} stopped with status {status}; {len(replies)} "
            f"requests during the stop, {len(failed)} failed",
        )

    def _bills(self) -> None:
        address = json.loads(
            pathlib.Path(self._any_instance().metadata["settings"]).read_text()
        )["grpc_address"]
        completed = subprocess.run(
            (
                str(pathlib.Path(sys.executable).parent / "mulberrystage"),
                f"--instance={address}",
                "ledger",
                "--by=team",
                "--json",
            ),
            capture_output=True,
            check=False,
            timeout=30,
        )
        ledger = json.loads(completed.stdout or b"{}")
        billed = sum(row["requests"] for row in ledger.get("rows", []))
        answered = sum(self._answer_count_by_request.values())
        self._check(
            completed.returncode == 0
            and not ledger.get("faults", ["no ledger"])
            and billed == answered,
            f"{answered} answers, {billed} bills, faults: "
            f"{ledger.get('faults')} {completed.stderr.decode()[-200:]}",
        )

    def _chat_once(
        self,
        entry: str,
        model: str,
        prompt: str,
        stream: bool = False,
        headers: dict[str, str] | None = None,
    ) -> _entry_client.Reply:
        reply = self._client.chat(entry, model, prompt, stream, headers)
        return self._count(reply)

    def _call(
        self,
        method: str,
        path: str,
        content: object = None,
        headers: dict[str, str] | None = None,
        entry: int = 0,
    ) -> _entry_client.Reply:
        reply = self._client.send(
            self._entry(entry),
            method,
            f"/services/taller-app/{path}",
            content,
            headers,
        )
        return self._count(reply)

    def _count(self, reply: _entry_client.Reply) -> _entry_client.Reply:
        """Counts answers that must be billed; replayed ones are not."""
        if (
            reply.is_success
            and "x-mulberry-replayed" not in reply.header_by_name
        ):
            self._answer_count_by_request[
                reply.header_by_name.get("x-request-id", "")
            ] += 1
        return reply

    def _stream_until(
        self, stop: threading.Event, index: int
    ) -> list[_entry_client.Reply]:
        replies = []
        while not stop.is_set():
            replies.append(
                self._chat_once(
                    self._entry(index), "cedro-grande", f"quote {index}", True
                )
            )
        return replies

    def _stream_from_listed_entry(
        self, stop: threading.Event, first: str
    ) -> list[_entry_client.Reply]:
        """Sends streams as a caller does that caches the entry list."""
        replies = []
        entry, list_expires_s = first, time.monotonic() + 5.0
        while not stop.is_set():
            if time.monotonic() >= list_expires_s:
                with urllib.request.urlopen(
                    f"http://{entry}/v1/entries", timeout=10
                ) as answer:
                    listed = json.load(answer)
                entry = listed["entries"][0]["address"]
                list_expires_s = time.monotonic() + listed["keep_s"]
            replies.append(
                self._chat_once(entry, "cedro-chico", "a short answer", True)
            )
        return replies

    def _withdraw(self, model: str, version: str) -> None:
        path = self._deployment.rule_file
        path.write_text(
            path.read_text()
            + f"\nwithdraw {model} {version}  # asked by Tomás Xol  wrong cuts\n"
        )

    def _wait_in_effect(self, changed_s: float) -> bool:
        """Waits until every entry uses version 2026-03 only."""
        with futures.ThreadPoolExecutor() as pool:
            while time.monotonic() < changed_s + _IN_EFFECT_BOUND_S:
                versions = set(
                    pool.map(self._version_at, self._deployment.entries)
                )
                if versions == {"2026-03"}:
                    return True
        return False

    def _version_at(self, entry: str) -> str:
        reply = self._chat_once(entry, "cedro-grande", "probe")
        return reply.header_by_name.get("x-mulberry-version", "")

    def _runs_of_version(self, version: str) -> list[str]:
        return [
            run
            for process in self._deployment.upstreams_by_name.values()
            if process.metadata["version"] == version
            for run in runs(process)
        ]

    def _service_runs(self) -> list[str]:
        return [
            run
            for process in self._deployment.upstreams_by_name.values()
            if process.metadata["model"] == "taller-app"
            for run in runs(process)
        ]

    def _any_instance(self) -> _deployment.Process:
        return next(
            item
            for item in self._deployment.instances_by_name.values()
            if item.popen.poll() is None
        )


def runs(process: _deployment.Process) -> list[str]:
    """Returns the keys of the requests that an upstream has run."""
    with urllib.request.urlopen(
        f"http://{process.address}/runs", timeout=10
    ) as answer:
        listed: list[str] = json.load(answer)
        return listed


def main() -> None:
    """Runs the demo, or keeps the deployment running until a signal."""
    parser = argparse.ArgumentParser(prog="scripts/demo")
    parser.add_argument(
        "--serve",
        metavar="DIR",
        help="keep the deployment running until SIGTERM or SIGINT and describe it "
        "in DIR/deployment.json",
    )
    options = parser.parse_args()
    if options.serve:
        _serve(pathlib.Path(options.serve).resolve())
        return
    with tempfile.TemporaryDirectory(prefix="mulberry-demo-") as folder:
        deployment = _deployment.Deployment(DEMO_SPEC, pathlib.Path(folder))
        try:
            deployment.start()
            failures = Demo(deployment).run()
        finally:
            deployment.stop()
    print("all checks passed" if not failures else f"{len(failures)} failed")
    sys.exit(1 if failures else 0)


def _serve(folder: pathlib.Path) -> None:
    stopping = threading.Event()
    core.call_on_termination(lambda count: stopping.set())
    deployment = _deployment.Deployment(DEMO_SPEC, folder)
    try:
        deployment.start()
        described = json.dumps(deployment.describe(), indent=2)
        partial = folder / "deployment.json.partial"
        partial.write_text(described)
        # The rename is atomic: readers never see a partial file.
        partial.rename(folder / "deployment.json")
        print(f"ready: {folder / 'deployment.json'}", flush=True)
        stopping.wait()
    finally:
        deployment.stop()


if __name__ == "__main__":
    main()
