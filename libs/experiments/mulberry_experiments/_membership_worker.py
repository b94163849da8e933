"""A membership instance in a separate process, controlled over a pipe."""

import dataclasses
import multiprocessing.connection
import multiprocessing.context
import os
import socket
import struct
import threading
import time
from collections.abc import Callable, Sequence
from concurrent import futures
from typing import Any

import grpc

import mulberry_core as core
import mulberry_membership as membership

_GRPC_THREADS = 24
_STOP_TIMEOUT_S = 10.0
#: Bytes of the IPv4 and TCP headers of a segment with the timestamp option.
_SEGMENT_HEADER_BYTES = 52
#: Offsets into Linux's `struct tcp_info`.
_BYTES_ACKED = struct.Struct("=120xQ")
_SEGMENTS_OUT = struct.Struct("=136xI")
_TCP_INFO_BYTES = 256
_ESTABLISHED = 1


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resource usage of an instance."""

    seconds: float
    cpu_s: float
    #: Bytes sent, including TCP and IP headers.
    wire_bytes: float
    #: Bytes of the membership messages alone.
    message_bytes: float

    def since(self, earlier: "Usage") -> "Usage":
        """Returns the usage since `earlier`."""
        return Usage(
            self.seconds - earlier.seconds,
            self.cpu_s - earlier.cpu_s,
            self.wire_bytes - earlier.wire_bytes,
            self.message_bytes - earlier.message_bytes,
        )


def mean(usages: Sequence[Usage]) -> Usage:
    """Returns the mean of several usages."""
    count = len(usages)
    return Usage(
        sum(usage.seconds for usage in usages) / count,
        sum(usage.cpu_s for usage in usages) / count,
        sum(usage.wire_bytes for usage in usages) / count,
        sum(usage.message_bytes for usage in usages) / count,
    )


def announcement(
    name: str, sequence: int, leaving: bool, running: int
) -> membership.Announcement:
    """Returns an announcement of an engine with one version."""
    state = membership.UpstreamState
    return membership.Announcement(
        name=name,
        address="http://127.0.0.1:8000",
        incarnation=1,
        sequence=sequence,
        state=state.LEAVING if leaving else state.READY,
        zone="gent",
        versions=(membership.ServedVersion("cedro-chico", "2026-02"),),
        service=core.Missing.UNSET,
        capacity=8,
        running=running,
        queued=0,
        checks_fencing=True,
        valid_s=30.0,
    )


class WorkerHandle:
    """Parent's handle of one worker process."""

    def __init__(
        self, context: multiprocessing.context.SpawnContext, name: str
    ) -> None:
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(
            target=_serve_commands, args=(name, child_pipe), daemon=True
        )
        self._process.start()
        child_pipe.close()

    def address(self) -> str:
        """Waits for the process to report its gRPC address and returns it."""
        address = self._pipe.recv()
        assert isinstance(address, str)
        return address

    def call(self, command: str, *arguments: Any) -> Any:
        """Runs one command in the process and returns its result."""
        self._pipe.send((command, arguments))
        return self._pipe.recv()

    def usage(self) -> Usage:
        """Returns the usage since the process started."""
        usage = self.call("usage")
        assert isinstance(usage, Usage)
        return usage

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self._process.kill()
        self._process.join()

    def stop(self) -> None:
        """Closes the pipe and waits for the process to exit."""
        self._pipe.close()
        self._process.join(_STOP_TIMEOUT_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()


class _Worker:
    def __init__(self, name: str) -> None:
        self._name = name
        self._clock = core.SystemClock()
        self._counters = core.MemoryCounters()
        self._timers = core.TimerService(self._clock)
        self._server = grpc.server(
            futures.ThreadPoolExecutor(_GRPC_THREADS),
            options=membership.SERVER_OPTIONS,
        )
        port = self._server.add_insecure_port("127.0.0.1:0")
        self.address = f"127.0.0.1:{port}"
        self._leaving_since_s: dict[str, float] = {}
        self._dead_since_s: dict[str, float] = {}
        self._stop_load = threading.Event()
        self.commands: dict[str, Callable[..., Any]] = {
            "join": self.join,
            "members": lambda: len(self._membership.members()),
            "announce": self.announce,
            "leaving_since": self._leaving_since_s.get,
            "dead_since": self._dead_since_s.get,
            "load": self.load,
            "usage": self.usage,
        }

    def join(self, seeds: tuple[str, ...]) -> None:
        self._membership = membership.Membership(
            name=self._name,
            address=self.address,
            zone="gent",
            region="be-vl",
            seeds=seeds,
            transport=membership.GrpcTransport(),
            clock=self._clock,
            counters=self._counters,
        )
        self._directory = membership.UpstreamDirectory(
            self._membership, self._clock, self._counters
        )
        self._membership.subscribe(
            membership.RecordKind.UPSTREAM, self._on_upstream
        )
        self._membership.subscribe_members(self._on_member)
        membership.add_peers_service(self._server, self._membership)
        self._server.start()
        self._timers.start()
        self._membership.start(self._timers)
        self._directory.start(self._timers)

    def announce(self, name: str, leaving: bool) -> float:
        started_s = self._clock.now()
        sequence = 2 if leaving else 1
        self._directory.announce(announcement(name, sequence, leaving, 0))
        return started_s

    def load(self, upstreams: int, changing: bool) -> None:
        self._stop_load.set()
        self._stop_load = stop = threading.Event()
        threading.Thread(
            target=self._announce_all,
            args=(upstreams, changing, stop),
            daemon=True,
        ).start()

    def usage(self) -> Usage:
        return Usage(
            seconds=time.monotonic(),
            cpu_s=time.process_time(),
            wire_bytes=_wire_bytes(),
            message_bytes=self._counters.count("membership.bytes_out"),
        )

    def _on_upstream(self, record: membership.Record) -> None:
        if record.sequence == 2:
            self._leaving_since_s.setdefault(record.id, self._clock.now())

    def _on_member(self, member: membership.Member) -> None:
        if member.state is membership.MemberState.DEAD:
            self._dead_since_s.setdefault(member.name, self._clock.now())

    def _announce_all(
        self, upstreams: int, changing: bool, stop: threading.Event
    ) -> None:
        sequence = int(time.time())
        while upstreams and not stop.is_set():
            started_s = time.monotonic()
            sequence += 1
            running = 4 * (sequence % 2) if changing else 0
            for index in range(upstreams):
                self._directory.announce(
                    announcement(
                        f"{self._name}-{index}", sequence, False, running
                    )
                )
                # Spreads the announcements over one second.
                stop.wait(
                    started_s + (index + 1) / upstreams - time.monotonic()
                )


def _serve_commands(
    name: str, pipe: multiprocessing.connection.Connection
) -> None:
    worker = _Worker(name)
    pipe.send(worker.address)
    while True:
        try:
            command, arguments = pipe.recv()
        except (EOFError, OSError):
            # The parent has closed its end. A normal exit would wait for
            # threads that are still exchanging messages.
            os._exit(0)
        pipe.send(worker.commands[command](*arguments))


def _wire_bytes() -> float:
    """Returns the bytes sent on all open TCP connections of this process."""
    total = 0.0
    for name in os.listdir("/proc/self/fd"):
        try:
            duplicate_fd = os.dup(int(name))
        except OSError:
            continue
        try:
            sock = socket.socket(fileno=duplicate_fd)
        except OSError:
            os.close(duplicate_fd)
            continue
        with sock:
            total += _sent_bytes(sock)
    return total


def _sent_bytes(sock: socket.socket) -> float:
    if sock.type != socket.SOCK_STREAM or sock.family not in (
        socket.AF_INET,
        socket.AF_INET6,
    ):
        return 0.0
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    if info[0] != _ESTABLISHED or len(info) < _SEGMENTS_OUT.size:
        return 0.0
    (acknowledged,) = _BYTES_ACKED.unpack_from(info)
    (segments,) = _SEGMENTS_OUT.unpack_from(info)
    return float(acknowledged + segments * _SEGMENT_HEADER_BYTES)
