"""A small deployment on loopback: daemons, workers and an operator.

The daemons are the project's own, started with the command of the deploy
file. Workers and the operator are stand-ins that follow the users' pages.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("gent", "leuven", "brugge")
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
#: Most bytes of an answer's head.
_HEAD_BYTES = 65_536
#: Time until a killed daemon is started again, seconds.
_RESTART_S = 0.5
_BOUNDS = {
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


class CannotRunError(Exception):
    """The case could not be set up."""


def _free_port_base(ips: list[str], span: int) -> int:
    for _ in range(100):
        base = random.randrange(20_000, 30_000)
        try:
            for ip in ips:
                for port in range(base, base + span):
                    with socket.socket() as sock:
                        sock.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        sock.bind((ip, port))
        except OSError:
            continue
        return base
    raise CannotRunError("no free ports")


def _toml(value: object) -> str:
    return json.dumps(value)


class Machine:
    """One machine, with at most one daemon process."""

    def __init__(
        self,
        fleet: "Fleet",
        index: int,
        ip: str,
        memory_mb: int,
        has_disk: bool,
    ) -> None:
        self.name = f"front-{ZONES[index % 3]}-{index // 3 + 1}"
        self.zone = ZONES[index % 3]
        self.ip = ip
        self.memory_mb = memory_mb
        self.has_disk = has_disk
        self.fleet = fleet
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self.is_first_start = True

    def address(self, offset: int) -> str:
        """Returns the address of a listener."""
        return f"{self.ip}:{self.fleet.base + offset}"

    @property
    def front(self) -> str:
        """Address for clients."""
        return self.address(0)

    @property
    def control(self) -> str:
        """Address for workers and the operator."""
        return self.address(2)

    def start(self) -> None:
        """Writes the settings file and starts the daemon."""
        settings = self.folder / "node.toml"
        settings.write_text(self._settings())
        self.is_first_start = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MULBERRYSTAGE_CONFIG"] = str(settings)
        with (self.folder / "log.jsonl").open("ab") as log:
            self.process = subprocess.Popen(
                self.fleet.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the daemon if it runs."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the daemon has not ended."""
        return self.process is not None and self.process.poll() is None

    def resident_mb(self) -> float:
        """Returns the memory of the daemon, millions of bytes.

        Pages of files, such as libraries, are left out.
        """
        if not self.is_running:
            return 0.0
        assert self.process is not None
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def _settings(self) -> str:
        fleet = self.fleet
        lines = [
            f"NodeName = {_toml(self.name)}",
            'Role = "router"',
            'MachineClass = "front"',
            'Serves = ["front","control","directory"]',
            f"Ip = {_toml(self.ip)}",
            f"Zone = {_toml(self.zone)}",
            'Region = "be-vl"',
            f"InternalPorts = [{fleet.base + 4},{fleet.base + 19}]",
            f"Seeds = {_toml([m.control for m in fleet.machines[:3]])}",
            f"Bootstrap = {_toml(self.is_first_start)}",
            f"CountsAsLoss = {_toml(self.has_disk)}",
            f"DataDir = {_toml(str(self.folder / 'data') if self.has_disk else '')}",
            'Discovery = "registration"',
            'Entry = "directory"',
            "HeartbeatMs = 1200",
            'Contracts = ["base","drain","config","cost","retry","recover",'
            '"engine","stream","tenants","rollout"]',
            'ConfigMode = "highest"',
            "[Zones]",
            *(f'{zone} = "be-vl"' for zone in ZONES),
            "[Listen]",
            f"Front = {_toml(self.front)}",
            f"Ready = {_toml(self.address(1))}",
            f"Control = {_toml(self.control)}",
            f"Directory = {_toml(self.address(3))}",
            "[Limits]",
            "CpuShare = 0.968",
            "Cores = 2",
            f"MemoryMb = {self.memory_mb}",
            f"MaxFds = {fleet.max_fds}",
            "LinkMbps = 1000.0",
            "DiskMb = 64",
            "[FaultTolerance]",
            f"Machines = {fleet.tolerated}",
            "Zones = 0",
            "Regions = 0",
            "[Bounds]",
            *(f"{name} = {_toml(value)}" for name, value in _BOUNDS.items()),
        ]
        return "\n".join(lines) + "\n"


class Fleet:
    """Machines of a deployment in a temporary folder."""

    def __init__(
        self,
        count: int = 3,
        disks: int = 3,
        memory_mb: int = 300,
        max_fds: int = 4_100,
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["router"]["run"].split()
        self._temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = pathlib.Path(self._temporary.name)
        self.tolerated = (disks - 1) // 2
        self.max_fds = max_fds
        subnet = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.subnet = subnet
        ips = [f"{subnet}.{index + 10}" for index in range(count)]
        self.base = _free_port_base(ips, 20)
        self.machines = [
            Machine(self, index, ip, memory_mb, index < disks)
            for index, ip in enumerate(ips)
        ]

    def start(self) -> None:
        """Starts all daemons."""
        for machine in self.machines:
            machine.start()

    def stop(self) -> None:
        """Kills all daemons and removes the folder."""
        for machine in self.machines:
            if machine.process is not None:
                machine.process.kill()
                machine.process.wait()
        self._temporary.cleanup()


class MemoryLimit:
    """Kills a daemon that takes more memory than its machine has.

    The platform does so, and starts it again after a short delay. Bytes that
    were not read yet are not counted here.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        #: Most memory of each machine, millions of bytes.
        self.peak_mb = {machine.name: 0.0 for machine in fleet.machines}
        #: Names of the machines whose daemon was killed.
        self.killed: list[str] = []

    async def run(self) -> None:
        """Looks at the memory of all daemons again and again."""
        while True:
            for machine in self._fleet.machines:
                used_mb = machine.resident_mb()
                self.peak_mb[machine.name] = max(
                    self.peak_mb[machine.name], used_mb
                )
                if used_mb > machine.memory_mb:
                    self.killed.append(machine.name)
                    machine.signal(signal.SIGKILL)
                    assert machine.process is not None
                    machine.process.wait()
                    asyncio.get_running_loop().call_later(
                        _RESTART_S, machine.start
                    )
            await asyncio.sleep(0.01)


async def call(
    address: str,
    method: str,
    path: str,
    content: object = None,
    timeout_s: float = 2.0,
) -> tuple[int, bytes]:
    """Sends a JSON request on a channel of its own; 0 for no answer."""
    body = b"" if content is None else json.dumps(content).encode()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: control\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            return await read_answer(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers by lower-case name."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Returns a body that has a length or chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Returns the status and the body of an answer."""
    first, headers = await read_head(reader)
    return int(first.split()[1]), await read_body(reader, headers)


class Operator:
    """Sends manifests, to one machine after the other until one confirms."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.version = 0

    def manifest(self, **changes: object) -> dict[str, object]:
        """Returns the next version of the manifest."""
        self.version += 1
        content: dict[str, object] = {
            "Version": self.version,
            "Routes": [
                {
                    "Name": "r-status",
                    "Hostname": HOST,
                    "PathPrefix": "/status/",
                    "Kind": "safe",
                    "TimeoutMs": 1500,
                    "TargetLatencyMs": 300,
                    "Priority": 2,
                    "Service": "loket",
                    "MaxAttempts": 2,
                },
                {
                    "Name": "r-order",
                    "Hostname": HOST,
                    "PathPrefix": "/order/",
                    "Kind": "unsafe",
                    "TimeoutMs": 1500,
                    "TargetLatencyMs": 300,
                    "Priority": 2,
                    "Service": "loket",
                    "MaxAttempts": 1,
                },
            ],
            "Services": [
                {
                    "Name": "loket",
                    "HealthPath": "/healthz",
                    "MaxConnections": 110,
                    "Protocol": "h1",
                    "Tls": False,
                }
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
        }
        content.update(changes)
        return content

    async def replace(
        self, manifest: dict[str, object], timeout_s: float = 20.0
    ) -> bool:
        """Sends a manifest until a machine confirms it."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for machine in self._fleet.machines:
                status, _ = await call(
                    machine.control, "POST", "/Config.Replace", manifest
                )
                if status == 200:
                    return True
            await asyncio.sleep(0.2)
        return False


class Worker:
    """A sound worker: announces itself and answers each request."""

    def __init__(
        self,
        fleet: Fleet,
        number: int,
        service: str = "loket",
        slots: int = 6,
        work_s: float = 0.06,
    ) -> None:
        self._fleet = fleet
        self.name = f"i-{random.getrandbits(32):08x}"
        self.zone = ZONES[number % 3]
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.ip = f"{fleet.subnet}.{100 + number}"
        self.port = 0
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        #: Time of each run by the id of its request.
        self.runs: dict[str, list[float]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens and begins to send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, 0, limit=_HEAD_BYTES, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.append(asyncio.create_task(self._beat()))

    async def stop(self) -> None:
        """Ends."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def _beat(self) -> None:
        machines = self._fleet.machines
        position = random.randrange(len(machines))
        while True:
            self.sequence += 1
            for _ in machines:
                status, _ = await call(
                    machines[position].control,
                    "POST",
                    f"/Instances.Heartbeat/{self.name}",
                    {
                        "Service": self.service,
                        "Address": f"{self.ip}:{self.port}",
                        "Zone": self.zone,
                        "Version": "v1",
                        "Slots": self.slots,
                        "State": "ready",
                        "ColdRemainingMs": 0,
                        "Sequence": self.sequence,
                        "born": self.born_ms,
                    },
                    1.0,
                )
                if status == 200:
                    break
                position = (position + 1) % len(machines)
            await asyncio.sleep(1.2)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                await self.answer(first, headers, writer)
                if headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The case has ended.
            return
        finally:
            writer.close()

    async def answer(
        self,
        first: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs one request and answers it."""
        request_id = headers.get("x-request-id", "")
        common = (
            f"X-Request-Id: {request_id}\r\nX-Server-Load: 1,0,{self.slots}\r\n"
        )
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\n{common}"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return
        self.runs.setdefault(request_id, []).append(time.monotonic())
        await asyncio.sleep(self.work_s)
        body = json.dumps({"worker": self.name, "id": request_id}).encode()
        writer.write(
            f"HTTP/1.1 200 OK\r\n{common}X-Response-Stamp: {request_id}.s\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()


def request_bytes(
    path: str,
    request_id: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 3000,
) -> bytes:
    """Returns a proper request of a client with a key."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"X-Api-Key: {KEY}\r\n{length}\r\n"
    ).encode() + body


async def send_request(
    address: str, data: bytes, timeout_s: float = 3.0
) -> tuple[int, bytes]:
    """Sends a request on a new channel.

    Returns:
        Status and body; status 0 if the channel was not opened within a second
        or ended without an answer, and -1 if no answer came in time.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return 0, b""
    try:
        async with asyncio.timeout(timeout_s):
            writer.write(data)
            await writer.drain()
            return await read_answer(reader)
    except TimeoutError:
        return -1, b""
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        writer.transport.abort()


async def wait_until_serving(fleet: Fleet, timeout_s: float = 30.0) -> None:
    """Waits until each machine answers a request of a client."""
    until_s = time.monotonic() + timeout_s
    for machine in fleet.machines:
        while True:
            status, _ = await send_request(
                machine.front,
                request_bytes("/status/w", f"{random.getrandbits(64):016x}"),
            )
            if status == 200:
                break
            if time.monotonic() > until_s:
                raise CannotRunError(f"{machine.name} does not serve: {status}")
            await asyncio.sleep(0.2)
