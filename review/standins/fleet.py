"""Stand-ins for the platform, the workers, the operator and the clients.

Only the standard library is used. All addresses are loopback addresses.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable, Mapping, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("gent", "leuven", "brugge")
MEMORY_MB = 300
FRONT, READY, CONTROL, DIRECTORY = 8227, 8220, 8229, 8224
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
    "BudgetSlack": 58,
    "ExposureShare": 0.15,
    "ExposureSlack": 30,
    "RollbackMs": 5000,
    "RecoveryS": 12,
    "PassMs": 120,
    "ReuseWindowS": 10,
    "SessionS": 5,
    "ttl_max_s": 5,
}


def run_case(main: "Callable[[], int]") -> None:
    """Runs a case and ends this process with its exit status.

    The status is 2 after an error, or if the case is stopped from outside; the
    case then still ends the processes that it started.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        status = main()
    except BaseException:
        traceback.print_exc()
        status = 2
    # Threads of clients and workers may still wait.
    os._exit(status)


class Record:
    """Writes what happened to `record.txt`, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self.start_s = time.monotonic()

    def note(self, text: str) -> None:
        """Writes one line."""
        now_s = time.monotonic() - self.start_s
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{now_s:9.3f} {text}\n")
                self._file.flush()

    def close(self) -> None:
        """Ends the record."""
        with self._lock:
            self._file.close()


class Daemon:
    """One machine of the system and its process."""

    def __init__(
        self, name: str, ip: str, zone: str, folder: pathlib.Path, disk: bool
    ) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.has_disk = disk
        self.seeds: Sequence[str] = ()
        self._folder = folder / name
        self._folder.mkdir(parents=True)
        self._is_first = True
        self.process: subprocess.Popen[bytes] | None = None

    def address(self, port: int) -> str:
        """Returns `IP:PORT`."""
        return f"{self.ip}:{port}"

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        path = self._folder / "node.toml"
        path.write_text(self._settings())
        self._is_first = False
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MULBERRYSTAGE_CONFIG"] = str(path)
        with (self._folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-S",
                    "platform/mulberrystaged.py",
                ],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the running process."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once."""
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def log(self) -> str:
        """Returns the output of the process."""
        return (self._folder / "log").read_text(errors="replace")

    def memory_mb(self) -> float:
        """Returns the resident memory of the process."""
        if not self.process or self.process.poll() is not None:
            return 0.0
        with contextlib.suppress(OSError, IndexError, ValueError):
            status = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
            return int(status.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0

    def _settings(self) -> str:
        fields: dict[str, object] = {
            "NodeName": self.name,
            "Role": "router",
            "MachineClass": "front",
            "Serves": ["front", "control", "directory"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": "be-vl",
            "InternalPorts": [7340, 7355],
            "Seeds": list(self.seeds),
            "Bootstrap": self._is_first,
            "CountsAsLoss": self.has_disk,
            "HeartbeatMs": 1200,
            "ConfigMode": "highest",
        }
        if self.has_disk:
            data = self._folder / "data"
            data.mkdir(exist_ok=True)
            fields["DataDir"] = str(data)
        tables: dict[str, Mapping[str, object]] = {
            "Listen": {
                "Front": self.address(FRONT),
                "Ready": self.address(READY),
                "Control": self.address(CONTROL),
                "Directory": self.address(DIRECTORY),
            },
            "Limits": {
                "CpuShare": 0.968,
                "Cores": 2,
                "MemoryMb": MEMORY_MB,
                "MaxFds": 4100,
            },
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
        }
        lines = [f"{key} = {json.dumps(v)}" for key, v in fields.items()]
        for name, table in tables.items():
            lines.append(f"[{name}]")
            lines += [f"{key} = {json.dumps(v)}" for key, v in table.items()]
        return "\n".join([*lines, ""])


class Fleet:
    """Machines of a small deployment, the first three with disks."""

    def __init__(self, size: int) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        pid = os.getpid()
        self.network = f"127.{pid // 250 % 200 + 20}.{pid % 250}"
        self.daemons = [
            Daemon(
                f"front-{ZONES[n % 3]}-{n // 3 + 1}",
                f"{self.network}.{n + 1}",
                ZONES[n % 3],
                self.folder,
                n < 3,
            )
            for n in range(size)
        ]
        for daemon in self.daemons:
            daemon.seeds = [d.address(CONTROL) for d in self.daemons[:3]]

    @property
    def control(self) -> list[str]:
        """Control addresses of all machines."""
        return [daemon.address(CONTROL) for daemon in self.daemons]

    def start(self) -> None:
        """Starts all machines."""
        for daemon in self.daemons:
            daemon.start()

    def wait_ready(self, timeout_s: float) -> bool:
        """Waits until all machines say that they are ready."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            if all(is_ready(daemon) for daemon in self.daemons):
                return True
            time.sleep(0.2)
        return False

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for daemon in self.daemons:
            daemon.send(signal.SIGCONT)
            daemon.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def is_ready(daemon: Daemon) -> bool:
    """Whether the machine answers its readiness check with 200."""
    try:
        return (
            call(daemon.address(READY), "GET", "/readyz", None, 1.0)[0] == 200
        )
    except (OSError, http.client.HTTPException):
        return False


def call(
    address: str,
    method: str,
    path: str,
    body: object,
    timeout_s: float,
    headers: Mapping[str, str] | None = None,
) -> tuple[int, bytes]:
    """Sends one request on a new channel; returns status and body."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(
            method,
            path,
            data,
            {"Content-Type": "application/json", **(headers or {})},
        )
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


class Operator:
    """Sends orders until one machine confirms them."""

    def __init__(self, control: Sequence[str], record: Record) -> None:
        self._control = control
        self._record = record

    def order(
        self,
        path: str,
        body: Mapping[str, Any],
        skip: Sequence[str] = (),
        timeout_s: float = 20.0,
    ) -> float:
        """Returns `time.monotonic` of the confirmation, 0 without one."""
        what = f"{path} {body.get('Version', body.get('Target', ''))}"
        until_s = time.monotonic() + timeout_s
        pause_s = 0.1
        while time.monotonic() < until_s:
            address = random.choice([a for a in self._control if a not in skip])
            try:
                status, _ = call(address, "POST", path, body, 1.0)
            except (OSError, http.client.HTTPException):
                status = 0
            if status == 200:
                self._record.note(f"operator: {what} confirmed by {address}")
                return time.monotonic()
            time.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        self._record.note(f"operator: {what} not confirmed")
        return 0.0


class Worker:
    """A worker: sends heartbeats and runs requests.

    `handle` gets the worker, the channel and the request; it returns nothing.
    """

    def __init__(
        self,
        service: str,
        version: str,
        ip: str,
        zone: str,
        control: Sequence[str],
        record: Record,
        slots: int = 64,
        engine: bool = False,
        handle: "Callable[[Worker, socket.socket, Request], None] | None" = None,
    ) -> None:
        self.service, self.version, self.zone = service, version, zone
        self.name = "i-" + os.urandom(5).hex()
        self.slots = slots
        self.record = record
        self.active = 0
        self.queued = 0
        self.lock = threading.Lock()
        self.slot = threading.Semaphore(slots)
        self._engine = engine
        self._control = control
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._state = "ready"
        self._handle = handle or respond_ok
        self._stopping = threading.Event()
        self._server = socket.create_server((ip, 0), backlog=512)
        self.address = f"{ip}:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        self._beats = threading.Thread(target=self._beat, daemon=True)

    def start(self) -> None:
        """Begins to announce itself."""
        self._beats.start()

    def drain(self) -> None:
        """Reports `draining` from now on."""
        self._state = "draining"

    def stop(self) -> None:
        """Ends without a word."""
        self._stopping.set()
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _beat(self) -> None:
        home = random.choice(self._control)
        while not self._stopping.is_set():
            self._sequence += 1
            body: dict[str, Any] = {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": self.version,
                "Slots": self.slots,
                "State": self._state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": self._born,
            }
            if self._engine:
                body["Stage"] = "combined"
                body["Models"] = [
                    {"Name": "model-s", "Version": 1, "Adapters": []}
                ]
            for _ in range(3):
                try:
                    status, _ = call(
                        home,
                        "POST",
                        f"/Instances.Heartbeat/{self.name}",
                        body,
                        1.0,
                    )
                except (OSError, http.client.HTTPException):
                    status = 0
                if 200 <= status < 300:
                    break
                home = random.choice(self._control)
            self._stopping.wait(1.2)

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError, ValueError):
            connection.settimeout(60.0)
            request = read_request(connection)
            if request is None:
                return
            if request.headers.get("x-expect-instance") not in (
                None,
                self.name,
            ):
                connection.sendall(head(request, 421, {"Content-Length": "0"}))
                return
            self._handle(self, connection, request)


class Request:
    """A request as a worker or a client's peer received it."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target = line.split(" ")[:2]
        self.headers, self.body = headers, body

    @property
    def id(self) -> str:
        """The id that the client gave."""
        return self.headers.get("x-request-id", "")


def read_request(connection: socket.socket) -> Request | None:
    """Reads one request with a length; `None` at the end of the channel."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = connection.recv(65_536)
        if not part:
            return None
        data += part
    top, _, body = data.partition(b"\r\n\r\n")
    lines = top.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        key, _, value = line.partition(":")
        headers[key.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(body) < length:
        part = connection.recv(65_536)
        if not part:
            return None
        body += part
    return Request(lines[0], headers, body)


def head(request: Request, status: int, headers: Mapping[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"X-Request-Id: {request.id}",
        *(f"{key}: {value}" for key, value in headers.items()),
    ]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def respond_ok(
    worker: Worker, connection: socket.socket, request: Request
) -> None:
    """Runs a request of a plain service, or a short stream."""
    worker.record.note(
        f"{worker.name} ({worker.version}) runs {request.id} for tenant "
        f"{request.headers.get('x-tenant-id', '')}"
    )
    if "x-model" in request.headers:
        respond_stream(connection, request)
        return
    time.sleep(0.02)
    body = b"x" * 800
    connection.sendall(
        head(
            request,
            200,
            {"X-Response-Stamp": "stand-in", "Content-Length": str(len(body))},
        )
        + body
    )


def respond_stream(connection: socket.socket, request: Request) -> None:
    """Sends eight events, 20 ms apart."""
    connection.sendall(
        head(
            request,
            200,
            {
                "X-Response-Stamp": "stand-in",
                "X-Confidence": "95",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            },
        )
    )
    first = int(request.headers.get("last-event-id", "0")) + 1
    for number in range(first, 9):
        time.sleep(0.02)
        event = f"id: {number}\ndata: word {number}\n\n".encode()
        connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
    connection.sendall(b"0\r\n\r\n")


def manifest(
    version: int,
    keys_by_tenant: Mapping[str, Sequence[str]],
    more_routes: int = 0,
) -> dict[str, Any]:
    """Returns a manifest with the routes of a small deployment."""
    routes: list[dict[str, Any]] = [
        {
            "Name": "r-dossier",
            "Hostname": "leest.example",
            "PathPrefix": "/dossier/",
            "Kind": "streaming",
            "TimeoutMs": 25000,
            "TargetLatencyMs": 4000,
            "Priority": 1,
            "Service": "taalpool",
            "MaxAttempts": 3,
            "Public": False,
            "StickySessions": True,
            "Resumable": True,
            "GapTargetMs": 1200,
        },
        {
            "Name": "r-opdracht",
            "Hostname": "leest.example",
            "PathPrefix": "/opdracht/",
            "Kind": "unsafe",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 400,
            "Priority": 2,
            "Service": "loket",
            "MaxAttempts": 1,
            "Public": False,
        },
        {
            "Name": "r-status",
            "Hostname": "leest.example",
            "PathPrefix": "/status/",
            "Kind": "safe",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 400,
            "Priority": 2,
            "Service": "loket",
            "MaxAttempts": 2,
            "Public": False,
        },
    ]
    for number in range(more_routes):
        routes.append(
            {
                **routes[2],
                "Name": f"r-more-{number}",
                "PathPrefix": f"/more-{number}/",
            }
        )
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": "taalpool",
                "HealthPath": "/healthz",
                "MaxConnections": 370,
                "Protocol": "h1",
                "Tls": False,
                "Engine": {
                    "Slots": 64,
                    "KvCapacityTokens": 581394,
                    "KvTokenBytes": 18432,
                    "Models": [{"Name": "model-s", "Cost": 0.018}],
                },
            },
            {
                "Name": "loket",
                "HealthPath": "/healthz",
                "MaxConnections": 110,
                "Protocol": "h1",
                "Tls": False,
            },
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {"Name": name, "ApiKeys": list(keys), "Priority": 1}
            for name, keys in keys_by_tenant.items()
        ],
    }


def new_id() -> str:
    """Returns the id of a new client attempt."""
    return os.urandom(8).hex()


def client_headers(key: str, deadline_ms: int) -> dict[str, str]:
    """Returns the headers of a client's request."""
    return {
        "Host": "leest.example",
        "X-Request-Id": new_id(),
        "X-Deadline-Ms": str(deadline_ms),
        "X-Api-Key": key,
    }


def dossier_headers(key: str) -> dict[str, str]:
    """Returns the headers of a request for a stream."""
    return {
        **client_headers(key, 25000),
        "X-Model": "model-s",
        "X-Token-Counts": "1460,80",
        "X-Prompt-Prefix": f"5c1e07a2:800,{os.urandom(4).hex()}:660",
    }
