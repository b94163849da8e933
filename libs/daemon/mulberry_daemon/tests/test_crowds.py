"""Memory and descriptors of a chat entry under clients that nobody controls.

Each crowd is of legal size and smaller than the entry's threads. The tests
check that the process lives, that its resident memory and its descriptors stay
under documented limits, and that an ordinary request is answered beside the
crowd and after it. They check no times, and not how many clients of the crowd
are served.
"""

import contextlib
import fcntl
import json
import os
import pathlib
import random
import select
import socket
import string
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from collections.abc import Iterator, Sequence

import pytest

import mulberry_standins as standins
from mulberry_entry.tests import harness

#: `MemoryMb` where a machine's settings have none, docs/OPERATIONS.md, and the
#: memory of an instance in docs/design/hard-load.md.
_MAX_RESIDENT_BYTES = 200_000_000
_BODY_BYTES = 4 << 20
#: `limits.max_header_bytes` by default.
_HEAD_BYTES = 32_768
_LIMITS = {
    "max_body_bytes": _BODY_BYTES,
    "max_streams": 40,
    "max_queue": 60,
    "read_timeout_s": 10.0,
}
#: Threads that serve connections: streams, queue and 16 spare ones.
_THREADS = 116
#: Two for each connection that is served, and 160 for the daemon itself, see
#: docs/design/memory-budget.md.
_MAX_DESCRIPTORS = 2 * _THREADS + 160
_CLIENTS = 80
_START = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
    b"Authorization: Bearer " + harness.KEY.encode() + b"\r\n"
)
#: Shared with the crowds of `platform/`, so that one runs at a time.
_LOCK_PATH = pathlib.Path(tempfile.gettempdir()) / "mulberry-crowds.lock"
_START_TIMEOUT_S = 60.0
_SAMPLE_PERIOD_S = 0.02
#: A crowd has arrived when the daemon has taken no byte for this long, seconds.
_STUCK_S = 3.0
#: A caller repeats a request that was refused with 503 or not answered.
_ORDINARY_TRIES = 20
_ORDINARY_PAUSE_S = 0.5
_ORDINARY_TIMEOUT_S = 10.0


@pytest.fixture(autouse=True)
def _alone() -> Iterator[None]:
    """Runs one crowd at a time on the machine."""
    with _LOCK_PATH.open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


class _Daemon:
    """A daemon that is alone, with lowered limits."""

    def __init__(self, folder: pathlib.Path, http: str, grpc: str) -> None:
        self.address = http
        self._stop = threading.Event()
        self._descriptors = 0
        rule_file = folder / "rules"
        rule_file.write_text(harness.RULES)
        settings = folder / "settings.json"
        settings.write_text(
            json.dumps(
                {
                    "name": "a",
                    "zone": "z",
                    "region": "r",
                    "http_address": http,
                    "grpc_address": grpc,
                    "peers": [grpc],
                    "voters": {"a": grpc},
                    "voter": True,
                    "data_dir": str(folder / "data"),
                    "rule_file": str(rule_file),
                    "limits": _LIMITS,
                }
            )
        )
        program = pathlib.Path(sys.executable).parent / "mulberrystaged"
        with (folder / "log").open("wb") as log:
            self._process = subprocess.Popen(
                [program, f"--settings={settings}"], stdout=log, stderr=log
            )
        self._sampler = threading.Thread(target=self._sample, daemon=True)
        self._sampler.start()

    def close(self) -> None:
        self._stop.set()
        self._process.kill()
        self._process.wait()

    def wait_ready(self) -> None:
        until_s = time.monotonic() + _START_TIMEOUT_S
        while not self._answers_one():
            assert self._process.poll() is None
            assert time.monotonic() < until_s
            time.sleep(0.1)

    def answers(self) -> bool:
        """Whether an ordinary request is answered with 200."""
        for _ in range(_ORDINARY_TRIES):
            if self._answers_one():
                return True
            time.sleep(_ORDINARY_PAUSE_S)
        return False

    def check(self) -> None:
        """Checks that the process lives, and its bounds."""
        assert self._process.poll() is None
        resident = self._resident_bytes("VmHWM")
        print(f"resident {resident / 1e6:.1f} MB, {self._descriptors}")
        assert resident <= _MAX_RESIDENT_BYTES
        assert self._descriptors <= _MAX_DESCRIPTORS

    def _answers_one(self) -> bool:
        request = urllib.request.Request(
            f"http://{self.address}/v1/models",
            headers={"Authorization": f"Bearer {harness.KEY}"},
        )
        try:
            with urllib.request.urlopen(
                request, timeout=_ORDINARY_TIMEOUT_S
            ) as answer:
                return bool(json.load(answer)["data"])
        except (OSError, ValueError):
            return False

    def _resident_bytes(self, name: str) -> int:
        text = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        (line,) = [
            row for row in text.splitlines() if row.startswith(f"{name}:")
        ]
        return int(line.split()[1]) * 1024

    def _sample(self) -> None:
        """Counts the open descriptors until the end."""
        folder = f"/proc/{self._process.pid}/fd"
        while not self._stop.wait(_SAMPLE_PERIOD_S):
            with contextlib.suppress(OSError):
                self._descriptors = max(
                    self._descriptors, len(os.listdir(folder))
                )


@pytest.fixture
def daemon(tmp_path: pathlib.Path) -> Iterator[_Daemon]:
    with standins.ReservedPorts(2) as ports:
        http, grpc = ports.addresses
        started = _Daemon(tmp_path, http, grpc)
        try:
            started.wait_ready()
            started.check()
            yield started
        finally:
            started.close()


@contextlib.contextmanager
def _crowd(
    address: str, payloads: Sequence[bytes], piece_bytes: int = 1 << 20
) -> Iterator[None]:
    """Sends each payload on a connection of its own, taking turns.

    Starts its block when all bytes were sent, or their connections have ended,
    or the daemon has taken no byte for a while; closes them at its end.
    """
    host, _, port = address.rpartition(":")
    with contextlib.ExitStack() as stack:
        unsent_by_socket = {}
        for payload in payloads:
            client = stack.enter_context(
                socket.create_connection((host, int(port)))
            )
            client.setblocking(False)
            unsent_by_socket[client] = memoryview(payload)
        moved_s = time.monotonic()
        while unsent_by_socket and time.monotonic() - moved_s < _STUCK_S:
            poller = select.poll()
            by_fd = {item.fileno(): item for item in unsent_by_socket}
            for fd in by_fd:
                poller.register(fd, select.POLLOUT)
            for fd, _ in poller.poll(100):
                client = by_fd[fd]
                unsent = unsent_by_socket[client]
                try:
                    sent = client.send(unsent[:piece_bytes])
                except BlockingIOError:
                    continue
                except OSError:
                    # Refusing such a client is allowed.
                    del unsent_by_socket[client]
                    continue
                moved_s = time.monotonic()
                unsent_by_socket[client] = unsent[sent:]
                if sent == len(unsent):
                    del unsent_by_socket[client]
        yield


def _run(
    daemon: _Daemon, payloads: Sequence[bytes], piece_bytes: int = 1 << 20
) -> None:
    with _crowd(daemon.address, payloads, piece_bytes):
        daemon.check()
        assert daemon.answers()
    assert daemon.answers()
    daemon.check()


def _short_lines(number: int) -> Iterator[bytes]:
    del number
    while True:
        yield b"a:\r\n"


def _distinct_lines(number: int) -> Iterator[bytes]:
    rng = random.Random(number)
    while True:
        name = "".join(rng.choices(string.ascii_letters, k=3))
        yield f"{name}:{rng.randrange(100)}\r\n".encode()


def _odd_lines(number: int) -> Iterator[bytes]:
    while True:
        yield b"!#$%%&'*+-.^_`|~%d: \t\xe9\xff\t \r\n" % number
        yield b"|:\xa0\r\n"


_LINES_BY_NAME = {
    "short": _short_lines,
    "distinct": _distinct_lines,
    "odd": _odd_lines,
}


def _head(lines: Iterator[bytes]) -> bytes:
    """Returns an incomplete head, a little smaller than the limit."""
    head = bytearray(_START)
    while len(head) < _HEAD_BYTES - 256:
        head += next(lines)
    return bytes(head)


@pytest.mark.parametrize("name", _LINES_BY_NAME)
@pytest.mark.parametrize(
    "end",
    [b"", b"Content-Length: 65536\r\n\r\n" + b"x" * 65_535],
    ids=["head", "body"],
)
def test_many_header_lines(daemon: _Daemon, name: str, end: bytes) -> None:
    """Guards against header lines whose objects exceed the memory.

    Either the head or a small body after it stops just short of its end.
    """
    lines = _LINES_BY_NAME[name]
    _run(daemon, [_head(lines(n)) + end for n in range(_CLIENTS)])


@pytest.mark.parametrize("piece_bytes", [1 << 20, 16_384])
def test_bodies_with_a_length(daemon: _Daemon, piece_bytes: int) -> None:
    """Guards against bodies that only together exceed the memory."""
    head = b"Content-Length: %d\r\n\r\n" % _BODY_BYTES
    payload = _START + head + b"x" * (_BODY_BYTES - 1)
    _run(daemon, [payload] * _CLIENTS, piece_bytes)


@pytest.mark.parametrize("path", [b"/v1/entries", b"/nowhere"])
def test_bodies_that_nobody_reads(daemon: _Daemon, path: bytes) -> None:
    """Guards against bodies that are kept only to reach the next request."""
    head = b"GET %b HTTP/1.1\r\nHost: entry\r\n" % path
    length = b"Content-Length: %d\r\n\r\n" % _BODY_BYTES
    payload = head + length + b"x" * (_BODY_BYTES - 1)
    _run(daemon, [payload] * _CLIENTS)


@pytest.mark.parametrize(
    ("chunk_bytes", "body_bytes", "clients"),
    [
        (_BODY_BYTES - 65_536, _BODY_BYTES - 65_536, _CLIENTS),
        (65_536, _BODY_BYTES - 65_536, _CLIENTS),
        (1, 65_536, 60),
    ],
)
@pytest.mark.parametrize("missing_bytes", [0, 3])
def test_chunked_bodies(
    daemon: _Daemon,
    chunk_bytes: int,
    body_bytes: int,
    clients: int,
    missing_bytes: int,
) -> None:
    """Guards against chunked bodies without an end that fill the memory.

    The last chunk is missing, or the end of the chunk before it too.
    """
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    chunks = chunk * (body_bytes // chunk_bytes)
    payload = (
        _START
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + chunks[: len(chunks) - missing_bytes]
    )
    _run(daemon, [payload] * clients)


def test_chunks_beyond_the_limit(daemon: _Daemon) -> None:
    """Guards against a chunk that is received whole before it is measured."""
    payload = (
        _START + b"Transfer-Encoding: chunked\r\n\r\n40000000\r\n"
    ) + bytes(64 * _BODY_BYTES)
    _run(daemon, [payload])


def test_a_request_within_the_limits_is_served(daemon: _Daemon) -> None:
    """Guards against limits that a single legal request meets."""
    host, _, port = daemon.address.rpartition(":")
    for framing in (
        b"Content-Length: %d\r\n\r\n%b" % (_BODY_BYTES, b" " * _BODY_BYTES),
        b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
        % (_BODY_BYTES, b" " * _BODY_BYTES),
    ):
        path = b"GET /v1/models HTTP/1.1\r\nConnection: close\r\n"
        head = path + _head(_distinct_lines(0)).partition(b"\r\n")[2]
        with socket.create_connection((host, int(port)), 30.0) as caller:
            caller.sendall(head + framing)
            received = b""
            while part := caller.recv(65_536):
                received += part
        assert received.startswith(b"HTTP/1.1 200 "), received
