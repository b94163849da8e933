"""A machine wakes after a key was taken away, and runs requests with it."""

import contextlib
import http.client
import os
import pathlib
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet

#: Times that the machine freezes and wakes.
FREEZES = 5
FREEZE_S = 7.2
AWAKE_S = 4.0
#: Routes beside those in use.
MORE_ROUTES = 350
#: Connected clients with keys of one tenant; each keeps its channel.
CLIENTS = 60
#: Shortest and longest pause of a client between two requests, seconds.
PAUSE_S = (1.0, 3.0)
#: Time budget of a request, seconds.
BUDGET_S = 3.0
REVOKE_S = fleet.BOUNDS["RevokeMs"] / 1000


class Keys:
    """The keys of the tenant, and when each was taken away."""

    def __init__(self) -> None:
        self.keys = [
            f"key{number}x{os.urandom(6).hex()}" for number in range(FREEZES)
        ]
        self.current = self.keys[0]
        #: `time.monotonic` of the confirmation.
        self.revoked_s: dict[str, float] = {}


class Clients:
    """Clients that go on with a key after it was taken away."""

    def __init__(
        self, daemon: fleet.Daemon, keys: Keys, record: fleet.Record
    ) -> None:
        self.sent: dict[str, tuple[str, float]] = {}
        self._daemon, self._keys, self._record = daemon, keys, record
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(CLIENTS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends the clients."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(3.0)

    def _run(self) -> None:
        connection: socket.socket | None = None
        while not self._stopping.wait(random.uniform(*PAUSE_S)):
            key = self._keys.current
            headers = fleet.client_headers(key, int(BUDGET_S * 1000))
            request = headers["X-Request-Id"]
            data = "".join(
                ["POST /opdracht/1 HTTP/1.1\r\nContent-Length: 0\r\n"]
                + [f"{name}: {value}\r\n" for name, value in headers.items()]
                + ["\r\n"]
            ).encode()
            try:
                if connection is None:
                    connection = socket.create_connection(
                        (self._daemon.ip, fleet.FRONT), 1.0
                    )
                connection.settimeout(BUDGET_S)
                self.sent[request] = (key, time.monotonic())
                connection.sendall(data)
                response = http.client.HTTPResponse(connection)
                response.begin()
                response.read()
                self._record.note(
                    f"client: {request} with {key[:4]} got {response.status}"
                )
                if response.will_close:
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException) as error:
                self._record.note(
                    f"client: {request} with {key[:4]} got no answer: {error!r}"
                )
                if connection is not None:
                    connection.close()
                connection = None


def main() -> int:
    """Plays the case; returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = fleet.Record(pathlib.Path(__file__).with_name("record.txt"))
    machines = fleet.Fleet(6)
    runs: list[str] = []

    def run(
        worker: fleet.Worker, connection: socket.socket, request: fleet.Request
    ) -> None:
        runs.append(request.id)
        fleet.respond_ok(worker, connection, request)

    try:
        machines.start()
        operator = fleet.Operator(machines.control, record)
        keys = Keys()
        time.sleep(2.0)
        version = 10
        others = {"other": ["n2ctnfzs989anu6wsjnb"]}
        body = fleet.manifest(
            version, {"hule930": keys.keys, **others}, MORE_ROUTES
        )
        if not operator.order("/Config.Replace", body):
            return 2
        for number, zone in enumerate(fleet.ZONES):
            fleet.Worker(
                "loket",
                "v1",
                f"{machines.network}.{100 + number}",
                zone,
                machines.control,
                record,
                handle=run,
            ).start()
        if not machines.wait_ready(20.0):
            return 2
        time.sleep(2.0)
        frozen = machines.daemons[2]
        clients = Clients(frozen, keys, record)
        for number in range(FREEZES):
            key = keys.keys[number]
            keys.current = key
            time.sleep(AWAKE_S)
            if trouble:
                record.note(f"{frozen.name} freezes")
                frozen.send(signal.SIGSTOP)
            began_s = time.monotonic()
            time.sleep(0.1)
            version += 3
            left = keys.keys[number + 1 :]
            body = fleet.manifest(
                version, {"hule930": left, **others}, MORE_ROUTES
            )
            confirmed_s = operator.order(
                "/Config.Replace", body, skip=[frozen.address(fleet.CONTROL)]
            )
            if not confirmed_s:
                return 2
            keys.revoked_s[key] = confirmed_s
            time.sleep(max(0.0, began_s + FREEZE_S - time.monotonic()))
            if trouble:
                record.note(f"{frozen.name} wakes")
                frozen.send(signal.SIGCONT)
            time.sleep(2.0)
        clients.stop()
        broken = 0
        for request in runs:
            key, sent_s = clients.sent.get(request, ("", 0.0))
            revoked_s = keys.revoked_s.get(key)
            if revoked_s is not None and sent_s > revoked_s + REVOKE_S:
                broken += 1
                record.note(
                    f"CONFIG: {request} was sent {sent_s - revoked_s:.3f} s "
                    f"after {key[:4]} was taken away, and ran"
                )
        record.note(f"{len(runs)} requests ran, {broken} of them too late")
        return int(broken > 0)
    finally:
        with contextlib.suppress(Exception):
            machines.close()
        record.close()


if __name__ == "__main__":
    fleet.run_case(main)
