"""Starts a small deployment on loopback addresses, and its stand-ins."""

import dataclasses
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("coban-a", "coban-b", "carcha-c")
REGION = "altaverapaz"
#: Bounds of the sheet of `ajubase`.
BOUNDS: Mapping[str, object] = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "BackMs": 250,
    "MaxSkewMs": 5000,
    "RevokeStrict": True,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.9,
    "BudgetWindowS": 10,
    "BudgetSlack": 64,
    "ExposureShare": 0.15,
    "ExposureSlack": 30,
    "RollbackMs": 5000,
    "RecoveryS": 12,
    "PassMs": 120,
    "ReuseWindowS": 10,
    "SessionS": 5,
    "ttl_max_s": 5,
}
_CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "rollout",
)
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


class Unplayable(Exception):  # noqa: N818 (the case could not run)
    """The case could not run, which says nothing about the rule."""


def free_port(ip: str) -> int:
    """Returns a free port of a loopback address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Adds a line with the time since the start."""
        passed_s = time.monotonic() - self._began_s
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer on a control, directory or readiness address."""

    status: int
    body: bytes


def call(
    address: str,
    method: str,
    path: str,
    content: object = None,
    timeout_s: float = 1.0,
) -> Answer | None:
    """Sends one call of the operator or platform; none without an answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    body = None if content is None else json.dumps(content).encode()
    try:
        connection.request(
            method, path, body, {"Content-Type": "application/json"}
        )
        response = connection.getresponse()
        return Answer(response.status, response.read())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Node:
    """One machine of the system."""

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        folder: pathlib.Path,
        ports: Mapping[str, int],
        has_disk: bool,
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.has_disk = has_disk
        self._ports = ports
        self._folder = folder / name
        self._folder.mkdir()
        self._is_first_start = True
        self.seeds: Sequence[str] = ()
        self.process: subprocess.Popen[bytes] | None = None

    def address(self, port: str) -> str:
        """Returns the address of `Front`, `Ready`, `Control`, `Directory`."""
        return f"{self.ip}:{self._ports[port]}"

    @property
    def data(self) -> pathlib.Path:
        """The data folder."""
        return self._folder / "data"

    @property
    def log(self) -> pathlib.Path:
        """Output of the process."""
        return self._folder / "log.txt"

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        settings = self._folder / "node.toml"
        settings.write_text(self._settings())
        self._is_first_start = False
        deps = ROOT / "target" / "deps"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/mulberrystaged.py"],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(deps),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "MULBERRYSTAGE_CONFIG": str(settings),
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def _settings(self) -> str:
        fields: dict[str, object] = {
            "NodeName": self.name,
            "Role": "router",
            "MachineClass": "front",
            "Serves": ["front", "control", "directory"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": REGION,
            "InternalPorts": [
                self._ports["Internal"],
                self._ports["Internal"] + 15,
            ],
            "Seeds": list(self.seeds),
            "Bootstrap": self._is_first_start,
            "CountsAsLoss": self.has_disk,
            "Discovery": "registration",
            "Entry": "directory",
            "HeartbeatMs": 1200,
            "Contracts": list(_CONTRACTS),
            "ConfigMode": "highest",
        }
        if self.has_disk:
            self.data.mkdir(exist_ok=True)
            fields["DataDir"] = str(self.data)
        tables: dict[str, Mapping[str, object]] = {
            "Zones": dict.fromkeys(ZONES, REGION),
            "Listen": {
                name: self.address(name)
                for name in ("Front", "Ready", "Control", "Directory")
            },
            "Limits": {
                "CpuShare": 0.968,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 64,
            },
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
        }
        lines = [f"{key} = {json.dumps(v)}" for key, v in fields.items()]
        for name, table in tables.items():
            lines.append(f"[{name}]")
            lines += [f"{key} = {json.dumps(v)}" for key, v in table.items()]
        return "\n".join([*lines, ""])


class Deployment:
    """Nodes, workers and their folder; ends all processes at its end."""

    def __init__(self, record: Record, nodes: int = 3) -> None:
        self.record = record
        self._temporary = tempfile.mkdtemp(prefix="mulberry-case-")
        self.folder = pathlib.Path(self._temporary)
        pid = os.getpid()
        ips = [
            f"127.{100 + pid % 100}.{pid // 100 % 250}.{n + 1}"
            for n in range(nodes)
        ]
        # The same on all machines, as the pages say.
        ports = {
            name: free_port(ips[0])
            for name in ("Front", "Ready", "Control", "Directory")
        }
        ports["Internal"] = 7340
        self.nodes = [
            Node(
                f"front-{ZONES[n % 3]}-{n // 3 + 1}",
                ip,
                ZONES[n % 3],
                self.folder,
                ports,
                n < 3,
            )
            for n, ip in enumerate(ips)
        ]
        for node in self.nodes:
            node.seeds = [n.address("Control") for n in self.nodes[:3]]
        self._workers: list[Worker] = []

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *_: object) -> None:
        for worker in self._workers:
            worker.kill()
        for node in self.nodes:
            node.kill()
        shutil.rmtree(self._temporary, ignore_errors=True)

    def start(self, manifest: Mapping[str, Any]) -> None:
        """Starts all machines and waits until the manifest is accepted."""
        for node in self.nodes:
            node.start()
        self.replace(manifest, 40.0)
        self.wait(
            lambda: all(
                (answer := call(node.address("Ready"), "GET", "/readyz"))
                is not None
                and answer.status == 200
                for node in self.nodes
            ),
            20.0,
            "the machines are not ready",
        )

    def replace(
        self, manifest: Mapping[str, Any], timeout_s: float = 10.0
    ) -> None:
        """Sends a manifest, to one machine after the other, until confirmed."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for node in self.nodes:
                answer = call(
                    node.address("Control"),
                    "POST",
                    "/Config.Replace",
                    manifest,
                    2.0,
                )
                if answer is not None and answer.status == 200:
                    self.record.note(
                        f"manifest {manifest['Version']} confirmed by "
                        f"{node.name}"
                    )
                    return
            time.sleep(0.2)
        raise Unplayable("the manifest was not confirmed")

    def add_worker(self, service: str, **options: object) -> "Worker":
        """Starts a worker that announces itself."""
        worker = Worker(self, service, len(self._workers), options)
        self._workers.append(worker)
        worker.start()
        return worker

    @staticmethod
    def wait(condition: Any, timeout_s: float, reason: str) -> None:
        """Waits until a condition holds."""
        until_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until_s:
                raise Unplayable(reason)
            time.sleep(0.1)


class Worker:
    """A server as a process of its own."""

    def __init__(
        self,
        deployment: Deployment,
        service: str,
        number: int,
        options: Mapping[str, object],
    ) -> None:
        self._deployment = deployment
        self.service = service
        node = deployment.nodes[number % len(deployment.nodes)]
        ip = node.ip.rsplit(".", 1)[0] + f".{100 + number}"
        self.address = f"{ip}:{free_port(ip)}"
        self.zone = node.zone
        self._number = number
        self._starts = 0
        self._options = options
        self.runs_path = deployment.folder / f"runs-{service}-{number}.jsonl"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process, with an id of its own for each start."""
        self._starts += 1
        settings = {
            "id": f"i-{self.service}-{self._number}-{self._starts}",
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "controls": [
                node.address("Control") for node in self._deployment.nodes
            ],
            "runs": str(self.runs_path),
            **self._options,
        }
        self.process = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__).with_name("worker.py")),
                json.dumps(settings),
            ]
        )

    def kill(self) -> None:
        """Kills the process, as a crash does."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def runs(self) -> list[dict[str, Any]]:
        """Returns the requests that the worker began to run."""
        if not self.runs_path.exists():
            return []
        return [
            json.loads(line) for line in self.runs_path.read_text().splitlines()
        ]


def route(path: str, kind: str, service: str, **fields: object) -> Any:
    """Returns a route of the manifest."""
    return {
        "Name": "r" + path.replace("/", "-"),
        "Hostname": HOST,
        "PathPrefix": path,
        "Kind": kind,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2 if kind == "safe" else 1,
        "Public": False,
        "StickySessions": False,
        **fields,
    }


def manifest(version: int, routes: Sequence[Any], **fields: object) -> Any:
    """Returns a manifest with these routes and their services."""
    services = sorted({entry["Service"] for entry in routes})
    return {
        "Version": version,
        "Routes": list(routes),
        "Services": [
            {
                "Name": name,
                "HealthPath": "/healthz",
                "MaxConnections": 130,
                "Protocol": "h1",
                "Tls": False,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
        **fields,
    }


class NoAnswer(Exception):  # noqa: N818 (what a client saw)
    """The bytes on a channel are no answer in the protocol."""


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete answer on a channel."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Channel:
    """A client's channel; reads answers strictly, byte by byte."""

    def __init__(
        self, address: str, record: Record, timeout_s: float = 5.0
    ) -> None:
        host, _, port = address.rpartition(":")
        self._record = record
        self._sock = socket.create_connection((host, int(port)), timeout_s)
        self._rest = b""

    def exchange(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes | None = None,
        deadline_ms: int = 1500,
        key: str = KEY,
    ) -> Response:
        """Sends a request and returns its answer.

        Raises:
            NoAnswer: What arrives is no answer in the protocol.
            OSError: The channel broke, or nothing arrived in time.
        """
        self._record.note(f"client sends {method} {path} id {request_id}")
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"X-Api-Key: {key}",
        ]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode()
        self._sock.sendall(head + (body or b""))
        try:
            response = self._read(method)
        except (NoAnswer, OSError) as error:
            self._record.note(f"client gets for {request_id}: {error!r}")
            raise
        self._record.note(
            f"client gets for {request_id}: {response.status} "
            f"{dict(response.headers)} {response.body!r}"
        )
        return response

    def close(self) -> None:
        """Closes the channel."""
        self._sock.close()

    def _receive(self) -> None:
        data = self._sock.recv(65_536)
        if not data:
            raise ConnectionResetError("the channel was closed")
        self._rest += data

    def _read(self, method: str) -> Response:
        while b"\r\n" not in self._rest:
            self._receive()
        line = self._rest.partition(b"\r\n")[0]
        parts = line.split(b" ", 2)
        if not line.startswith(b"HTTP/1.") or not parts[1].isdigit():
            raise NoAnswer(line)
        while b"\r\n\r\n" not in self._rest:
            self._receive()
        head, _, self._rest = self._rest.partition(b"\r\n\r\n")
        headers = {}
        for row in head.split(b"\r\n")[1:]:
            name, _, value = row.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        status = int(parts[1])
        if method == "HEAD" or status in (204, 304):
            return Response(status, headers, b"")
        size = int(headers["content-length"])
        while len(self._rest) < size:
            self._receive()
        body, self._rest = self._rest[:size], self._rest[size:]
        return Response(status, headers, body)


def wait_served(
    front: str, record: Record, method: str, path: str, timeout_s: float = 15.0
) -> None:
    """Waits until a machine serves a path."""
    until_s = time.monotonic() + timeout_s
    while True:
        channel = Channel(front, record)
        try:
            body = b"x" if method == "POST" else None
            request_id = f"first-{time.monotonic_ns()}"
            if channel.exchange(method, path, request_id, body).status == 200:
                return
        except OSError:
            pass
        finally:
            channel.close()
        if time.monotonic() > until_s:
            raise Unplayable(f"{path} is not served")
        time.sleep(0.2)


def play(
    folder: pathlib.Path,
    run: Callable[[Record, Deployment], bool],
    nodes: int = 3,
) -> int:
    """Plays a case; returns the exit status of its script."""
    record = Record(folder / "record.txt")
    # Ends the processes of the deployment when the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with Deployment(record, nodes) as system:
            held = run(record, system)
    except (Unplayable, OSError) as error:
        record.note(f"could not run: {error!r}")
        return 2
    record.note("the rule held" if held else "the rule was broken")
    return 0 if held else 1


class Silent(Record):
    """Notes nothing, for traffic in the background."""

    def __init__(self) -> None:
        """Creates a record without a file."""

    def note(self, text: str) -> None:
        """Drops the line."""
