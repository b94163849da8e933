"""Three voter processes behind TCP relays that count bytes."""

import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time

import mulberry_core as core
import mulberry_standins as standins
import mulberry_state as state

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_START_TIMEOUT_S = 30.0


class CountingRelay:
    """A TCP relay that counts the bytes of both directions."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        #: Bytes forwarded so far in both directions.
        self.bytes = 0
        self._sockets: list[socket.socket] = [self._listener]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Closes the listener and all connections."""
        for end in self._sockets:
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                try:
                    server = socket.create_connection(self._target)
                except OSError:
                    client.close()
                    continue
                self._sockets += [client, server]
                for end in (client, server):
                    # With Nagle's algorithm, a small message waits 40 ms
                    # for the delayed acknowledgement of the previous one.
                    end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                for ends in ((client, server), (server, client)):
                    threading.Thread(
                        target=self._forward, args=ends, daemon=True
                    ).start()

    def _forward(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                self.bytes += len(data)
                target.sendall(data)
        for end in (source, target):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)


class VoterProcesses:
    """Three voters as separate processes."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.clock = core.SystemClock()
        self._ports = standins.ReservedPorts(len("abc"))
        self._address_by_name = dict(
            zip("abc", self._ports.addresses, strict=True)
        )
        self.relay_by_voter = {
            name: CountingRelay(address)
            for name, address in self._address_by_name.items()
        }
        self.voters = {
            name: relay.address for name, relay in self.relay_by_voter.items()
        }
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        for name in "abc":
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a voter with its existing data folder."""
        spec = {
            "name": name,
            "listen": self._address_by_name[name],
            "voters": self.voters,
            "folder": str(self._folder / name),
        }
        self.process_by_name[name] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "mulberry_experiments._state_voter",
                json.dumps(spec),
            ],
            stderr=subprocess.DEVNULL,
        )

    def kill(self, name: str) -> None:
        """Kills a voter, so that it cannot transfer leadership."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def client(self, instance: str) -> state.RemoteStateClient:
        """Returns a started client of all voters."""
        client = state.RemoteStateClient(
            instance, self.voters.values(), self.clock
        )
        client.start()
        return client

    def wait_for_leader(self, client: state.RemoteStateClient) -> str:
        """Waits for a leader and returns its name."""
        reader = state.StateReader(client.voter_client, self.clock)
        end_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < end_s:
            status = reader.status(1.0)
            if isinstance(status, state.NodeStatus) and status.leader_name:
                return status.leader_name
            time.sleep(0.05)
        raise TimeoutError("no leader was elected in time")

    def cpu_s(self, name: str) -> float:
        """Returns the CPU time used by a voter, seconds."""
        process = self.process_by_name[name]
        text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def resident_bytes(self, name: str) -> int:
        """Returns the resident memory of a voter, bytes."""
        process = self.process_by_name[name]
        text = pathlib.Path(f"/proc/{process.pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def stop(self) -> None:
        """Terminates all voters and closes the relays."""
        for process in self.process_by_name.values():
            process.terminate()
        for process in self.process_by_name.values():
            process.wait()
        for relay in self.relay_by_voter.values():
            relay.close()
        self._ports.close()
