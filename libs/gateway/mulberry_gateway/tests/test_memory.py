"""Memory of callers' requests: how heads are kept, and what is charged."""

import gc
import socket
import threading
import time
import weakref
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

import mulberry_core as core
import mulberry_gateway as gateway
import mulberry_routing as routing
from mulberry_gateway import (
    _headers,
    _heap_trimmer,
    _memory_gauges,
    _messages,
)

_HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
_BODY = b"x" * (1 << 20)
#: Leaves 25 MB to connections, as in the tests with a daemon.
_LIMITS = gateway.ProcessLimits(memory_mb=100.0, max_fds=600)


class _Caller:
    """A connection to a reader, with an account of a budget."""

    def __init__(self, pool: gateway.ConnectionPool) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        self.sock = socket.create_connection(server.getsockname())
        self.sock.settimeout(5.0)
        accepted, _ = server.accept()
        server.close()
        account = pool.open_account(accepted, is_reserved=False)
        assert isinstance(account, core.MemoryAccount)
        self.account = account
        self.connection = gateway.Connection(accepted)
        self.connection.memory = account
        self.limits = routing.Limits(idle_timeout_s=0.3, header_timeout_s=0.3)
        self.reader = gateway.RequestReader(
            self.connection,
            lambda: self.limits,
            core.SystemClock(),
        )


@pytest.fixture
def pool() -> gateway.ConnectionPool:
    return gateway.ConnectionPool(_LIMITS, core.SystemClock())


@pytest.fixture
def caller(pool: gateway.ConnectionPool) -> Iterator[_Caller]:
    made = _Caller(pool)
    yield made
    made.sock.close()
    made.connection.close()
    made.account.close()


_NAME = st.sampled_from(["a", "A", "b!#", "Host", "Connection", "X-Y"])
_VALUE = st.sampled_from(["", "v", "\xe9", "a:b", "x, y", "Host:z"])


@given(st.lists(st.tuples(_NAME, _VALUE), max_size=20), st.integers(0, 5))
def test_packed_headers_equal_their_lines(
    lines: list[_messages.Header], pairs: int
) -> None:
    """Guards against headers that change or vanish because they are many."""
    packed = "".join(f"\n{name}:{value}" for name, value in lines[pairs:])
    headers = _headers.PackedHeaders(
        lines[:pairs], packed.encode("latin-1"), len(lines)
    )
    assert list(headers) == lines
    assert len(headers) == len(lines)
    for name in ("a", "HOST", "connection", "x-y", "none"):
        expected = [v for k, v in lines if k.lower() == name.lower()]
        assert list(_headers.values_of(headers, name)) == expected
        assert _headers.has_any(headers, {name.lower()}) is bool(expected)
        assert _messages.find_header(headers, name) == "".join(expected[:1])
    assert _messages.end_to_end(headers) == _messages.end_to_end(lines)


def test_a_head_of_many_lines_is_returned_whole(caller: _Caller) -> None:
    """Guards against lines that are lost beyond the first ones."""
    lines = [(f"X{n}", f"v{n}" if n % 2 else "") for n in range(1_500)]
    head = "".join(f"{name}:{value}\r\n" for name, value in lines)
    assert len(head) < routing.Limits().max_header_bytes
    caller.sock.sendall(_HEAD + head.encode() + b"Content-Length: 2\r\n\r\nab")
    request = caller.reader.read()
    assert isinstance(request, gateway.Request)
    assert list(request.headers) == [
        ("Host", "h"),
        *lines,
        ("Content-Length", "2"),
    ]
    assert request.header("x1499") == "v1499"
    assert request.has_body
    assert request.body == b"ab"


def test_two_hosts_are_found_among_many_lines(caller: _Caller) -> None:
    """Guards against smuggling a second host behind many lines."""
    caller.sock.sendall(_HEAD + b"a:\r\n" * 200 + b"hOsT: i\r\n\r\n")
    fault = caller.reader.read()
    assert isinstance(fault, gateway.InvalidRequest)
    assert fault.kind is core.ErrorKind.BAD_REQUEST


def test_a_crowd_leaves_few_threads(pool: gateway.ConnectionPool) -> None:
    """Guards against the memory of threads that nobody is charged for.

    All threads that a crowd had needed were kept, with their stacks.
    """
    before = threading.active_count()
    running = threading.Semaphore(0)
    release = threading.Event()

    def serve() -> None:
        running.release()
        release.wait(10.0)

    for _ in range(100):
        pool.submit(serve)
    assert all(running.acquire(timeout=5.0) for _ in range(100))
    release.set()
    until_s = time.monotonic() + 5.0
    while threading.active_count() > before + 20:
        assert time.monotonic() < until_s, threading.active_count()
        time.sleep(0.01)


def test_a_closed_reader_leaves_no_garbage(caller: _Caller) -> None:
    """Guards against requests that outlive the charge of their connection.

    The reader and its parser refer to each other, and kept what had arrived
    of a body until the next garbage collection.
    """
    caller.sock.sendall(_HEAD + b"Content-Length: 9\r\n\r\nabc")
    gc.disable()
    try:
        caller.reader.read()
        reader = weakref.ref(caller.reader)
        caller.reader.close()
        del caller.reader
        assert reader() is None
    finally:
        gc.enable()


def test_a_body_is_charged_until_the_next_request_is_awaited(
    pool: gateway.ConnectionPool, caller: _Caller
) -> None:
    """Guards against bodies that are not counted while they are answered."""
    alone = pool.budget.usage().charged_bytes
    caller.sock.sendall(
        _HEAD + b"Content-Length: %d\r\n\r\n" % len(_BODY) + _BODY
    )
    request = caller.reader.read()
    assert isinstance(request, gateway.Request)
    assert request.body == _BODY
    assert pool.budget.usage().charged_bytes >= 2 * len(_BODY)
    assert caller.reader.read() is gateway.ConnectionFailure.TIMEOUT
    assert pool.budget.usage().charged_bytes == alone


def test_a_stalled_request_is_refused_and_frees_its_memory(
    pool: gateway.ConnectionPool, caller: _Caller
) -> None:
    """Guards against a crowd of stalled requests that keeps its memory."""
    caller.limits = routing.Limits()
    results: list[object] = []

    def read() -> None:
        results.append(caller.reader.read())
        caller.reader.discard()

    thread = threading.Thread(target=read)
    thread.start()
    caller.sock.sendall(
        _HEAD + b"Content-Length: %d\r\n\r\n" % len(_BODY) + _BODY[:-1]
    )
    while pool.budget.usage().charged_bytes < 2 * len(_BODY):
        time.sleep(0.01)
    asking = _Caller(pool)
    limits = pool.budget.limits
    shares = 1.0 - limits.reserved_share - limits.small_share
    most = int(limits.max_bytes * shares) - 4 * limits.connection_bytes
    assert asking.account.run()
    assert asking.account.charge_answer(most)
    thread.join()
    (fault,) = results
    assert isinstance(fault, gateway.InvalidRequest)
    assert fault.kind is core.ErrorKind.OVERLOADED
    assert pool.budget.usage().peak_bytes <= limits.max_bytes
    asking.sock.close()
    asking.connection.close()
    asking.account.close()


def test_a_complete_request_that_was_given_up_is_refused(
    caller: _Caller,
) -> None:
    """Guards against a request that runs although its memory was taken."""
    caller.sock.sendall(_HEAD + b"\r\n")
    caller.account.is_evicted = True
    fault = caller.reader.read()
    assert isinstance(fault, gateway.InvalidRequest)
    assert fault.kind is core.ErrorKind.OVERLOADED


@pytest.mark.parametrize(
    ("max_fds", "connections", "relayed"),
    [(600, 183, 37), (1_638, 637, 102), (4_100, 1_024, 256), (100, 16, 6)],
)
def test_descriptors_suffice_for_all_connections(
    max_fds: int, connections: int, relayed: int
) -> None:
    """Guards against more connections than the process has descriptors."""
    limits = gateway.ProcessLimits(max_fds=max_fds)
    assert (limits.max_connections, limits.max_relayed) == (
        connections,
        relayed,
    )


class _Log(core.DecisionLog):
    """Keeps what is noted."""

    def __init__(self) -> None:
        super().__init__(core.SystemClock())
        self.shorts: list[object] = []

    def note(self, event: str, /, *, keep: bool = False, **fields: Any) -> None:
        assert event == "memory"
        self.shorts.append(fields["short"])


def test_shortness_is_logged_once_when_it_begins_and_ends() -> None:
    """Guards against a log line for each refused client."""
    clock = core.ManualClock()
    budget = core.MemoryBudget(
        core.BudgetLimits(max_bytes=1, max_connections=1, max_wait_s=0.0),
        clock,
    )
    counters, log = core.MemoryCounters(), _Log()
    gauges = _memory_gauges.MemoryGauges(budget, counters, log)
    gauges.record()
    for _ in range(3):
        budget.open(lambda: None)
        budget.open(lambda: None)
        gauges.record()
    gauges.record()
    gauges.record()
    assert log.shorts == [True, False]
    assert counters.snapshot()["gateway.memory.resident_bytes"] > 0


@pytest.mark.parametrize(
    ("sizes", "trims"),
    [
        # Bodies of a quarter of the memory come and go.
        ([250_000] * 4, 4),
        # Bodies of which it takes several to make a trim worth its time.
        ([49_152] * 6, 2),
        # Bodies that stay.
        ([], 0),
    ],
)
def test_the_heap_is_trimmed_after_large_requests(
    sizes: list[int], trims: int
) -> None:
    """Guards against a heap that stays as large as the crowds before."""
    budget = core.MemoryBudget(
        core.BudgetLimits(max_bytes=1_000_000, max_connections=4),
        core.SystemClock(),
    )
    counters = core.MemoryCounters()
    calls: list[int] = []
    gauges = _memory_gauges.MemoryGauges(
        budget,
        counters,
        _Log(),
        _heap_trimmer.HeapTrimmer(lambda: calls.append(1)),
    )
    kept = budget.open(lambda: None)
    assert isinstance(kept, core.MemoryAccount)
    assert kept.charge_request(250_000)
    for size in sizes:
        account = budget.open(lambda: None)
        assert isinstance(account, core.MemoryAccount)
        assert account.charge_request(size)
        account.close()
        gauges.record()
    gauges.record()
    assert len(calls) == trims
    assert counters.count("gateway.memory.trimmed") == trims
