"""Tests of run states and of non-idempotent calls, using plain sockets."""

import abc
import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest

import mulberry_core as core
import mulberry_upstream as upstream

_Run = core.RunState
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class Server(abc.ABC):
    """Server that handles one connection at a time."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self) -> None:
        """Stops listening."""
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                while self._serve_one(connection):
                    pass

    @abc.abstractmethod
    def _serve_one(self, connection: socket.socket) -> bool:
        """Handles one request; returns whether the connection is kept open."""


class ClosingServer(Server):
    """Answers the first request; reads later ones fully and closes."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self._close_listener = False
        super().__init__()

    def stop_listening_at_next_request(self) -> None:
        """Stops listening before the next connection is closed."""
        self._close_listener = True

    def _serve_one(self, connection: socket.socket) -> bool:
        with connection.makefile("rb") as reader:
            length = 0
            line = reader.readline()
            if not line:
                return False
            while line not in (b"\r\n", b""):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
                line = reader.readline()
            self.bodies.append(reader.read(length))
        if len(self.bodies) == 1:
            connection.sendall(_ANSWER)
            return True
        if self._close_listener:
            self._listener.close()
        return False


@pytest.fixture
def server() -> Iterator[ClosingServer]:
    created = ClosingServer()
    yield created
    created.stop()


def test_non_idempotent_call_is_sent_once(
    harness: Any, server: ClosingServer
) -> None:
    """Guards against a retry by libcurl, such as a deposit booked twice."""
    first = harness.service.call(
        harness.service_request(server.address, body=b"first")
    )
    assert isinstance(first, upstream.ServiceAnswer)
    harness.new_request()
    second = harness.service.call(
        harness.service_request(server.address, body=b"second")
    )
    assert isinstance(second, core.Refusal)
    assert second.run is _Run.UNKNOWN
    assert server.bodies.count(b"second") == 1


def test_libcurl_resends_on_a_reused_connection(
    harness: Any, server: ClosingServer
) -> None:
    """Verifies that the server of the test above does cause a retry."""
    for content in ("first", "second"):
        harness.new_request()
        answer = harness.chat.chat(
            harness.chat_request(
                server.address, streamed=False, content=content
            )
        )
    assert isinstance(answer, core.Refusal)
    assert answer.run is _Run.UNKNOWN
    assert sum(b"second" in body for body in server.bodies) == 2


def test_refused_connection_after_a_resend_is_unknown(
    harness: Any, server: ClosingServer
) -> None:
    """Guards against `not_run` when only libcurl's retry was refused."""
    harness.chat.chat(harness.chat_request(server.address, streamed=False))
    harness.new_request()
    server.stop_listening_at_next_request()
    refusal = harness.chat.chat(
        harness.chat_request(server.address, streamed=False, content="second")
    )
    assert isinstance(refusal, core.Refusal)
    assert sum(b"second" in body for body in server.bodies) == 1
    assert refusal.run is _Run.UNKNOWN


class RepeatingServer(Server):
    """Sends the previous answer again when a connection is reused."""

    def __init__(self) -> None:
        self._count = 0
        self._answer_by_connection: dict[socket.socket, bytes] = {}
        super().__init__()

    def _serve_one(self, connection: socket.socket) -> bool:
        if not connection.recv(65_536):
            return False
        self._count += 1
        body = b"answer %d" % self._count
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
            len(body),
            body,
        )
        before = self._answer_by_connection.get(connection, b"")
        connection.sendall(before + answer)
        self._answer_by_connection[connection] = answer
        return True


def test_late_duplicate_answer_is_not_delivered(harness: Any) -> None:
    """Guards against delivering the answer to the previous request."""
    server = RepeatingServer()
    bodies = []
    for _ in range(3):
        harness.new_request()
        answer = harness.service.call(harness.service_request(server.address))
        assert isinstance(answer, upstream.ServiceAnswer)
        bodies.append(answer.body)
    server.stop()
    assert bodies == [b"answer 1", b"answer 2", b"answer 3"]


class RefusingServer(Server):
    """Answers the first request on a connection, then refuses all others."""

    def __init__(self, refused_id: str) -> None:
        self._refused_id = refused_id
        self._answered: set[socket.socket] = set()
        super().__init__()

    def _serve_one(self, connection: socket.socket) -> bool:
        if not connection.recv(65_536):
            return False
        if connection not in self._answered:
            self._answered.add(connection)
            connection.sendall(_ANSWER)
            return True
        named = f"X-Request-Id: {self._refused_id}\r\n"
        connection.sendall(
            b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
            + (named.encode() if self._refused_id else b"")
            + b"\r\n"
        )
        return True


@pytest.mark.parametrize(
    ("refused_id", "run"),
    [
        ("request-3", _Run.NOT_RUN),
        ("request-2", _Run.UNKNOWN),
        ("", _Run.UNKNOWN),
    ],
)
def test_refusal_on_a_reused_connection_must_name_the_request(
    harness: Any, refused_id: str, run: core.RunState
) -> None:
    """Guards against `not_run` by a repeated refusal of an earlier request."""
    server = RefusingServer(refused_id)
    for content in ("first", "second"):
        harness.new_request()
        answer = harness.chat.chat(
            harness.chat_request(
                server.address, streamed=False, content=content
            )
        )
    server.stop()
    assert isinstance(answer, core.Refusal)
    assert answer.run is run


def _closed_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def test_refused_connection_is_not_run(harness: Any) -> None:
    """Guards against `unknown` for a request that was never sent."""
    address = _closed_address()
    for refusal in (
        harness.service.call(harness.service_request(address)),
        harness.chat.open_chat(harness.chat_request(address)),
        harness.chat.chat(harness.chat_request(address, streamed=False)),
    ):
        assert isinstance(refusal, core.Refusal)
        assert refusal.run is _Run.NOT_RUN
        assert refusal.kind is core.ErrorKind.UPSTREAM_FAILED


def test_connect_timeout_is_not_run(harness: Any) -> None:
    """Guards against `unknown` when no connection was established."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # Fills the accept queue, so that further connection attempts hang.
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        refusal = harness.service.call(
            harness.service_request(
                address, limits=upstream.ExchangeLimits(20.0, connect_s=0.3)
            )
        )
        for filler in fillers:
            filler.close()
    assert isinstance(refusal, core.Refusal)
    assert refusal.run is _Run.NOT_RUN


def test_partly_sent_body_is_unknown(harness: Any) -> None:
    """Guards against `not_run` when part of a request was sent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def read_some() -> None:
            connection, _ = listener.accept()
            connection.recv(100)
            connection.close()

        thread = threading.Thread(target=read_some)
        thread.start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        refusal = harness.service.call(
            harness.service_request(address, body=b"x" * 20_000_000)
        )
        thread.join()
    assert isinstance(refusal, core.Refusal)
    assert refusal.run is _Run.UNKNOWN


def test_answer_without_a_length_is_refused(harness: Any) -> None:
    """Guards against accepting a truncated answer as a short one."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def answer() -> None:
            connection, _ = listener.accept()
            connection.recv(65_536)
            connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n{}")
            connection.close()

        thread = threading.Thread(target=answer)
        thread.start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        refusal = harness.service.call(harness.service_request(address))
        thread.join()
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.ANSWER_INCOMPLETE
    assert refusal.run is _Run.RAN


_State = upstream.AttemptState


@pytest.mark.parametrize(
    ("states", "run"),
    [
        ([], _Run.NOT_RUN),
        ([_State.NOT_SENT, _State.REFUSED], _Run.NOT_RUN),
        ([_State.NOT_SENT, _State.OPEN], _Run.UNKNOWN),
        ([_State.OPEN, _State.REFUSED], _Run.UNKNOWN),
        ([_State.OPEN, _State.ANSWERED, _State.REFUSED], _Run.RAN),
    ],
)
def test_run_state_covers_all_attempts(
    states: list[upstream.AttemptState], run: _Run
) -> None:
    """Guards against a run state that ignores an earlier attempt."""
    record = upstream.SendRecord()
    for state in states:
        record.begin("u1").settle(state)
    assert record.run is run
    assert record.refuse(core.ErrorKind.OVERLOADED, "x").run is run


def test_attempt_state_is_final() -> None:
    """Guards against an answered attempt that becomes `not_run`."""
    record = upstream.SendRecord()
    attempt = record.begin("u1")
    attempt.settle(_State.ANSWERED)
    attempt.settle(_State.NOT_SENT)
    assert record.run is _Run.RAN
