"""A worker's failures have bodies without end, in small chunks."""

import collections
import contextlib
import http.client
import os
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet

#: Seconds for which clients send.
TRAFFIC_S = 45.0
CLIENTS = 36
RESTART_DELAY_S = 0.5
#: The rule: ends on each of two machines at least.
MACHINES = 2
ENDS = 3
KEY = "n2ctnfzs989anu6wsjnb"


class Platform:
    """Kills processes over their memory limit, and starts them again."""

    def __init__(self, machines: fleet.Fleet, record: fleet.Record) -> None:
        self.ends: collections.Counter[str] = collections.Counter()
        self.peak_mb: dict[str, float] = collections.defaultdict(float)
        self._record = record
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch, args=(daemon,), daemon=True)
            for daemon in machines.daemons
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops to watch."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, daemon: fleet.Daemon) -> None:
        while not self._stopping.wait(0.05):
            memory_mb = daemon.memory_mb()
            self.peak_mb[daemon.name] = max(
                self.peak_mb[daemon.name], memory_mb
            )
            if memory_mb <= fleet.MEMORY_MB and memory_mb:
                continue
            self.ends[daemon.name] += 1
            self._record.note(
                f"platform: the process of {daemon.name} ends at "
                f"{memory_mb:.0f} MB of {fleet.MEMORY_MB} MB"
            )
            daemon.kill()
            if self._stopping.wait(RESTART_DELAY_S):
                return
            daemon.start()


def answer_without_end(
    worker: fleet.Worker, connection: socket.socket, request: fleet.Request
) -> None:
    """Fails a request; its body goes on until the caller closes."""
    worker.record.note(f"{worker.name} begins to fail {request.id}")
    connection.sendall(
        fleet.head(request, 500, {"Transfer-Encoding": "chunked"})
    )
    sent = 0
    piece = b"2\r\n??\r\n" * 8_192
    try:
        while True:
            connection.sendall(piece)
            sent += 2 * 8_192
    finally:
        worker.record.note(
            f"{worker.name}: the caller of {request.id} closed after {sent} "
            "bytes of body"
        )


def ask(
    machines: fleet.Fleet, record: fleet.Record, until_s: float, number: int
) -> None:
    """One client, which asks for one dossier after the other."""
    while time.monotonic() < until_s:
        daemon = machines.daemons[number % len(machines.daemons)]
        headers = fleet.dossier_headers(KEY)
        request = headers["X-Request-Id"]
        record.note(f"client sends {request} to {daemon.name}")
        try:
            status, body = fleet.call(
                daemon.address(fleet.FRONT),
                "POST",
                "/dossier/1",
                {},
                25.0,
                headers,
            )
            record.note(f"client got {status} for {request}, {len(body)} bytes")
        except (OSError, http.client.HTTPException) as error:
            record.note(f"client got no answer for {request}: {error!r}")
        time.sleep(0.5)


def main() -> int:
    """Plays the case; returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = fleet.Record(pathlib.Path(__file__).with_name("record.txt"))
    machines = fleet.Fleet(6)
    try:
        machines.start()
        operator = fleet.Operator(machines.control, record)
        time.sleep(2.0)
        body = fleet.manifest(3, {"hule930": [KEY]})
        if not operator.order("/Config.Replace", body):
            return 2
        for number, zone in enumerate(fleet.ZONES):
            worker = fleet.Worker(
                "taalpool",
                "v1",
                f"{machines.network}.{100 + number}",
                zone,
                machines.control,
                record,
                engine=True,
                handle=answer_without_end
                if trouble and not number
                else fleet.respond_ok,
            )
            worker.start()
            record.note(f"worker {worker.name} in {zone}")
        if not machines.wait_ready(20.0):
            return 2
        time.sleep(2.0)
        platform = Platform(machines, record)
        until_s = time.monotonic() + TRAFFIC_S
        clients = [
            threading.Thread(
                target=ask,
                args=(machines, record, until_s, number),
                daemon=True,
            )
            for number in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        time.sleep(max(0.0, until_s - time.monotonic()))
        platform.stop()
        for name, peak_mb in sorted(platform.peak_mb.items()):
            record.note(
                f"{name}: {platform.ends[name]} ends, peak {peak_mb:.0f} MB"
            )
        broken = sum(n >= ENDS for n in platform.ends.values()) >= MACHINES
        record.note("broken" if broken else "held")
        return int(broken)
    finally:
        with contextlib.suppress(Exception):
            machines.close()
        record.close()


if __name__ == "__main__":
    fleet.run_case(main)
