"""A small deployment of real processes on loopback, for demo and soak."""

import contextlib
import dataclasses
import json
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import mulberry_standins as standins

ANNOUNCE_KEY = "demo-announce-key"
_ANNOUNCE_KEY_HASH = (
    "9b7a665b0f7463fab94a866e31ac2ba3ebe1d9d97ad17bb91d2d0aa1fdfe6fb7"
)

_READY_TIMEOUT_S = 60.0
_STOP_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.1
#: Length of the log excerpt in the error for an instance that exited.
_LOG_TAIL_CHARACTERS = 2_000

_BIN = pathlib.Path(sys.executable).parent


@dataclasses.dataclass(frozen=True)
class DeploymentSpec:
    """Size, topology and stand-ins of a deployment."""

    region: str
    zones: tuple[str, ...]
    #: Instances in each zone; the first of each zone has a disk and votes.
    instances_per_zone: int
    rule_file: pathlib.Path
    #: Served version, `MODEL@VERSION`, of each engine.
    engines: tuple[str, ...]
    #: Name of the service without a model, and its number of upstreams.
    service: str
    service_workers: int
    #: Command line options of every engine.
    engine_options: tuple[str, ...] = ()


@dataclasses.dataclass
class Process:
    """A child process of the deployment."""

    name: str
    zone: str
    command: tuple[str, ...]
    popen: subprocess.Popen[bytes]
    #: `IP:PORT` of the HTTP listener.
    address: str
    #: Additional fields for `deployment.json`.
    metadata: Mapping[str, Any]

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def wait(self, timeout_s: float) -> int:
        """Waits for the process to exit and returns its status."""
        return self.popen.wait(timeout_s)


class Deployment:
    """Starts and stops instances and stand-ins."""

    def __init__(self, spec: DeploymentSpec, folder: pathlib.Path) -> None:
        self.spec = spec
        self.folder = folder
        self.rule_file = folder / spec.rule_file.name
        self.instances_by_name: dict[str, Process] = {}
        self.upstreams_by_name: dict[str, Process] = {}
        self.raters_by_name: dict[str, Process] = {}
        instances = len(spec.zones) * spec.instances_per_zone
        #: An HTTP and a gRPC port for each instance, reserved while it is down.
        self._ports = standins.ReservedPorts(2 * instances)

    def start(self) -> None:
        """Starts all processes and waits until requests can be served."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.rule_file.write_text(self.spec.rule_file.read_text())
        for name, settings in self._instance_settings().items():
            self.start_instance(name, settings)
        self._start_upstreams()
        self.wait_ready()

    @property
    def entries(self) -> list[str]:
        """HTTP addresses of the running instances."""
        return [
            process.address
            for process in self.instances_by_name.values()
            if process.popen.poll() is None
        ]

    def start_instance(
        self, name: str, settings: Mapping[str, Any] | None = None
    ) -> Process:
        """Starts an instance, by default with its previous settings."""
        path = self.folder / f"{name}.json"
        if settings is not None:
            path.write_text(json.dumps(settings, indent=2))
        loaded: dict[str, Any] = json.loads(path.read_text())
        process = _start(
            name,
            loaded["zone"],
            (str(_BIN / "mulberrystaged"), f"--settings={path}"),
            self.folder,
            loaded["http_address"],
            {"settings": str(path), "has_disk": "data_dir" in loaded},
        )
        self.instances_by_name[name] = process
        return process

    def start_standin(
        self, role: str, name: str, zone: str, options: Sequence[str]
    ) -> Process:
        """Starts a stand-in that announces itself to all entries."""
        entries = [
            argument
            for address in self._entry_addresses()
            for argument in ("--entry", address)
        ]
        command = (
            str(_BIN / "mulberrystage-standin"),
            role,
            f"--name={name}",
            f"--zone={zone}",
            f"--announce-key={ANNOUNCE_KEY}",
            *entries,
            *options,
        )
        process = _start(name, zone, command, self.folder, "", {})
        first_line = _wait_for_first_line(self.folder / f"{name}.out")
        process.address = json.loads(first_line)["address"].split("://")[-1]
        return process

    def restart_standin(self, name: str) -> Process:
        """Restarts a stand-in that has exited, at the same address."""
        old = self.upstreams_by_name[name]
        port = old.address.rsplit(":", 1)[1]
        command = tuple(
            item for item in old.command if not item.startswith("--port=")
        )
        process = _start(
            name,
            old.zone,
            (*command, f"--port={port}"),
            self.folder,
            old.address,
            old.metadata,
        )
        self.upstreams_by_name[name] = process
        return process

    def stop_instance(self, name: str) -> int:
        """Stops an instance gracefully and returns its exit status."""
        process = self.instances_by_name[name]
        process.signal(signal.SIGTERM)
        return process.wait(_STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Kills all processes and releases the ports."""
        processes = [
            *self.upstreams_by_name.values(),
            *self.raters_by_name.values(),
            *self.instances_by_name.values(),
        ]
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(_STOP_TIMEOUT_S)
        self._ports.close()

    def wait_ready(self) -> None:
        """Waits until every instance lists models and all entries.

        Raises:
            RuntimeError: An instance has exited.
            TimeoutError: A running instance did not become ready in time.
        """
        deadline_s = time.monotonic() + _READY_TIMEOUT_S
        for address in self._entry_addresses():
            while not self._is_ready(address):
                self._raise_if_ended()
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"instance at {address} is not ready")
                time.sleep(_POLL_INTERVAL_S)

    def describe(self) -> dict[str, Any]:
        """Returns the content of `deployment.json`."""
        return {
            "entries": self.entries,
            "rule_file": str(self.rule_file),
            "keys": self.keys(),
            "models": sorted(
                {served.split("@")[0] for served in self.spec.engines}
            ),
            "instances": [
                {
                    "name": process.name,
                    "pid": process.pid,
                    "zone": process.zone,
                    "entry": process.address,
                    **process.metadata,
                }
                for process in self.instances_by_name.values()
            ],
            "upstreams": [
                {
                    "name": process.name,
                    "pid": process.pid,
                    "address": process.address,
                    "model": process.metadata["model"],
                    "version": process.metadata["version"],
                    "runs": f"http://{process.address}/runs",
                }
                for process in self.upstreams_by_name.values()
            ],
        }

    def keys(self) -> dict[str, str]:
        """Returns the API key of each team, in the order of the rule file."""
        teams = [
            line.split()[1]
            for line in self.rule_file.read_text().splitlines()
            if line.startswith("team ")
        ]
        return {team: f"demo-key-{team}" for team in teams}

    def _instance_settings(self) -> dict[str, dict[str, Any]]:
        spec = self.spec
        names = [
            (f"{zone}-{number}", zone, number == 1)
            for number in range(1, spec.instances_per_zone + 1)
            for zone in spec.zones
        ]
        ports = iter(self._ports.addresses)
        addresses = {name: (next(ports), next(ports)) for name, _, _ in names}
        voters = {name: addresses[name][1] for name, _, votes in names if votes}
        settings_by_name = {}
        for name, zone, votes in names:
            settings: dict[str, Any] = {
                "name": name,
                "zone": zone,
                "region": spec.region,
                "http_address": addresses[name][0],
                "grpc_address": addresses[name][1],
                "peers": list(voters.values()),
                "voters": voters,
                "announce_key_hash": _ANNOUNCE_KEY_HASH,
            }
            if votes:
                settings["data_dir"] = str(self.folder / f"{name}.data")
                settings["voter"] = True
                settings["rule_file"] = str(self.rule_file)
            settings_by_name[name] = settings
        return settings_by_name

    def _start_upstreams(self) -> None:
        zones = self.spec.zones
        for index, served in enumerate(self.spec.engines):
            model, version = served.split("@")
            self._start_upstream(
                "engine",
                f"engine-{index + 1}",
                zones[index % len(zones)],
                ("--serves", served, *self.spec.engine_options),
                {"model": model, "version": version},
            )
        for index in range(self.spec.service_workers):
            self._start_upstream(
                "service",
                f"{self.spec.service}-{index + 1}",
                zones[index % len(zones)],
                ("--service", self.spec.service),
                {"model": self.spec.service, "version": ""},
            )
        self.raters_by_name["rater-1"] = self.start_standin(
            "rater", "rater-1", zones[0], ()
        )

    def _start_upstream(
        self,
        role: str,
        name: str,
        zone: str,
        options: Sequence[str],
        metadata: Mapping[str, Any],
    ) -> None:
        process = self.start_standin(role, name, zone, options)
        process.metadata = metadata
        self.upstreams_by_name[name] = process

    def _raise_if_ended(self) -> None:
        for name, process in self.instances_by_name.items():
            status = process.popen.poll()
            if status is not None:
                log = (self.folder / f"{name}.log").read_text()
                raise RuntimeError(
                    f"instance {name} ended with status {status}: "
                    f"{log[-_LOG_TAIL_CHARACTERS:]}"
                )

    def _entry_addresses(self) -> Iterable[str]:
        return [item.address for item in self.instances_by_name.values()]

    def _is_ready(self, address: str) -> bool:
        """Whether an instance lists models and as many entries as instances."""
        key = next(iter(self.keys().values()))
        request = urllib.request.Request(
            f"http://{address}/v1/models",
            headers={"Authorization": f"Bearer {key}"},
        )
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                models = json.load(answer)["data"]
            with urllib.request.urlopen(
                f"http://{address}/v1/entries", timeout=5
            ) as answer:
                entries = json.load(answer)["entries"]
        except (OSError, ValueError):
            return False
        return bool(models) and len(entries) >= len(self.instances_by_name)


def _start(
    name: str,
    zone: str,
    command: tuple[str, ...],
    folder: pathlib.Path,
    address: str,
    metadata: Mapping[str, Any],
) -> Process:
    with (
        (folder / f"{name}.out").open("wb") as out,
        (folder / f"{name}.log").open("ab") as log,
    ):
        popen = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=out, stderr=log
        )
    return Process(name, zone, command, popen, address, metadata)


def _wait_for_first_line(path: pathlib.Path) -> str:
    deadline_s = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        text = path.read_text()
        if "\n" in text:
            return text.splitlines()[0]
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f"the process wrote no line to {path} in time")
