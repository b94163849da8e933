"""Tests of the client library against a scripted entry."""

import collections
import http.server
import json
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest

import mulberry_caller as caller

_MESSAGES = [{"role": "user", "content": "a plan"}]
#: Status, headers and body; with the body `None` the entry closes the
#: connection without answering.
_ScriptedAnswer = tuple[int, dict[str, str], bytes | None]


def _refusal(kind: str, run: str, after: str = "") -> _ScriptedAnswer:
    body = {"kind": kind, "run": run, "error": {"message": f"it is {kind}"}}
    headers = {"Retry-After": after} if after else {}
    return 503, headers, json.dumps(body).encode()


def _chunk(delta: dict[str, Any], finish: str | None = None) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    return f"data: {json.dumps({'choices': [choice]})}\n\n".encode()


_CHAT_BODY = json.dumps(
    {
        "choices": [
            {"message": {"content": "a stand"}, "finish_reason": "stop"}
        ],
        "usage": {"prompt_tokens": 2, "completion_tokens": 3},
    }
).encode()
_CHAT_ANSWER: _ScriptedAnswer = (200, {"X-Mulberry-Model": "cedro"}, _CHAT_BODY)
_CLOSE: _ScriptedAnswer = (0, {}, None)


class ScriptedEntry:
    """Answers requests from a script and serves a list of entries."""

    def __init__(self) -> None:
        self.script: collections.deque[_ScriptedAnswer] = collections.deque()
        self.requests: list[dict[str, str]] = []
        self.list_queries: list[str] = []
        self.listed: list[str] = []
        entry = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                if not self.path.startswith("/v1/entries"):
                    self.do_POST()
                    return
                entry.list_queries.append(self.path)
                listed = entry.listed or [entry.address]
                items = [{"address": item, "zone": "z"} for item in listed]
                body = json.dumps({"entries": items, "keep_s": 60}).encode()
                self._answer(200, {}, body)

            def do_POST(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                self.rfile.read(length)
                entry.requests.append(
                    {name.lower(): text for name, text in self.headers.items()}
                )
                status, headers, body = entry.script.popleft()
                if body is None:
                    self.connection.shutdown(socket.SHUT_RDWR)
                    return
                self._answer(status, headers, body)

            def _answer(
                self, status: int, headers: dict[str, str], body: bytes
            ) -> None:
                self.send_response(status)
                for name, text in headers.items():
                    self.send_header(name, text)
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: Any) -> None:
                pass

        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), Handler
        )
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()

    def stop(self) -> None:
        """Stops serving."""
        self._server.shutdown()
        self._server.server_close()


@pytest.fixture
def make_entry() -> Iterator[Callable[[], ScriptedEntry]]:
    made: list[ScriptedEntry] = []

    def make() -> ScriptedEntry:
        made.append(ScriptedEntry())
        return made[-1]

    yield make
    for entry in made:
        entry.stop()


@pytest.fixture
def entry(make_entry: Callable[[], ScriptedEntry]) -> ScriptedEntry:
    return make_entry()


@pytest.fixture
def delays(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Records the retry delays instead of sleeping."""
    collected: list[float] = []
    monkeypatch.setattr("time.sleep", collected.append)
    return collected


def _unused_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


def test_chat_sends_headers_and_parses_the_answer(entry: ScriptedEntry) -> None:
    """Guards against lost request headers or answer fields."""
    entry.script.append(_CHAT_ANSWER)
    options = caller.Options(kind="stand-plan", session="s1", deadline_s=9.0)
    client = caller.Caller([entry.address], "key-1", "coban-a", options)
    reply = client.chat("planes", _MESSAGES)
    assert isinstance(reply, caller.ChatReply)
    assert reply.text == "a stand"
    assert (reply.model, reply.tokens_out) == ("cedro", 3)
    sent = entry.requests[0]
    assert sent["authorization"] == "Bearer key-1"
    assert sent["x-mulberry-kind"] == "stand-plan"
    assert sent["session-id"] == "s1"
    assert 0 < float(sent["x-mulberry-deadline"]) <= 9.0
    assert sent["idempotency-key"]
    assert entry.list_queries == ["/v1/entries?zone=coban-a"]


def test_entry_list_is_cached(entry: ScriptedEntry) -> None:
    """Guards against fetching the list of entries for every request."""
    entry.script.extend([_CHAT_ANSWER] * 3)
    client = caller.Caller([entry.address], "key-1")
    for _ in range(3):
        client.chat("planes", _MESSAGES)
    assert len(entry.list_queries) == 1


@pytest.mark.parametrize(
    ("script", "attempts", "expected_delays_s"),
    [
        ([_refusal("overloaded", "not_run", "7"), _CHAT_ANSWER], 2, [7.0]),
        ([_refusal("upstream_failed", "unknown", "1"), _CHAT_ANSWER], 2, [1.0]),
        ([_CLOSE, _CHAT_ANSWER], 2, [0.1]),
        ([_CLOSE, _CLOSE, _CHAT_ANSWER], 3, [0.1, 0.2]),
    ],
    ids=["not run", "unknown", "closed", "closed twice"],
)
def test_retries_with_the_same_idempotency_key(
    entry: ScriptedEntry,
    delays: list[float],
    script: list[_ScriptedAnswer],
    attempts: int,
    expected_delays_s: list[float],
) -> None:
    """Guards against retries with a new key or before `Retry-After`."""
    entry.script.extend(script)
    reply = caller.Caller([entry.address], "key-1").chat("planes", _MESSAGES)
    assert isinstance(reply, caller.ChatReply)
    assert reply.attempts == attempts
    assert len({sent["idempotency-key"] for sent in entry.requests}) == 1
    assert len(delays) == len(expected_delays_s)
    for delay_s, min_delay_s in zip(delays, expected_delays_s, strict=True):
        assert min_delay_s <= delay_s <= min_delay_s * 1.25


@pytest.mark.parametrize(
    "refusal",
    [
        _refusal("not_allowed", "not_run"),
        _refusal("answer_not_kept", "ran"),
        _refusal("overloaded", "not_run", "1000"),
    ],
    ids=["final", "ran", "after the deadline"],
)
def test_does_not_retry_final_failures(
    entry: ScriptedEntry, delays: list[float], refusal: _ScriptedAnswer
) -> None:
    """Guards against retries that cannot succeed and only add load."""
    entry.script.append(refusal)
    failure = caller.Caller([entry.address], "key-1").call(
        "taller-app", "POST", "/deposits", b"{}"
    )
    assert isinstance(failure, caller.Failure)
    assert failure.message.startswith("it is")
    assert len(entry.requests) == 1
    assert delays == []


def test_attempts_are_bounded(
    entry: ScriptedEntry, delays: list[float]
) -> None:
    """Guards against retrying without a limit."""
    entry.script.extend([_refusal("overloaded", "not_run", "1")] * 9)
    client = caller.Caller(
        [entry.address], "key-1", options=caller.Options(max_attempts=3)
    )
    failure = client.call("taller-app", "GET", "/stock/1")
    assert isinstance(failure, caller.Failure)
    assert failure.run == "not_run"
    assert len(entry.requests) == 3


def test_fails_over_to_the_next_entry(
    make_entry: Callable[[], ScriptedEntry], delays: list[float]
) -> None:
    """Guards against retrying only the entry that has stopped."""
    entry = make_entry()
    entry.listed = [_unused_address(), entry.address]
    entry.script.extend([_CHAT_ANSWER, _CHAT_ANSWER])
    client = caller.Caller([_unused_address(), entry.address], "key-1")
    reply = client.chat("planes", _MESSAGES)
    assert isinstance(reply, caller.ChatReply)
    assert reply.attempts == 2
    assert delays == [0.0]
    again = client.chat("planes", _MESSAGES)
    assert isinstance(again, caller.ChatReply)
    assert again.attempts == 1


def test_unreachable_entries_do_not_use_up_the_attempts(
    make_entry: Callable[[], ScriptedEntry], delays: list[float]
) -> None:
    """Guards against giving up while entries of another zone are reachable.

    The entries of the caller's own zone come first in the list.
    """
    entry = make_entry()
    entry.listed = [*(_unused_address() for _ in range(5)), entry.address]
    entry.script.append(_CHAT_ANSWER)
    reply = caller.Caller([entry.address], "key-1").chat("planes", _MESSAGES)
    assert isinstance(reply, caller.ChatReply)


def test_unreachable_entries_report_not_run(delays: list[float]) -> None:
    """Guards against reporting `unknown` for a request never sent."""
    client = caller.Caller([_unused_address()], "key-1")
    failure = client.chat("planes", _MESSAGES)
    assert isinstance(failure, caller.Failure)
    assert failure.run == "not_run"


def test_error_answers_of_services_pass_through(entry: ScriptedEntry) -> None:
    """Guards against treating a service's error answer as a refusal."""
    entry.script.append((404, {}, b'{"error": "no such order"}'))
    reply = caller.Caller([entry.address], "key-1").call(
        "loket", "GET", "/orders/7"
    )
    assert isinstance(reply, caller.Reply)
    assert reply.status == 404


_BODY = _chunk({"content": "a "}) + _chunk({"content": "stand"})
_END = _chunk({}, "stop") + b"data: [DONE]\n\n"
_ERROR = b'data: {"error": {"message": "cut"}, "kind": "k", "run": "ran"}\n\n'


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        (_BODY + _END, ""),
        (_BODY, "connection_failed"),
        (_BODY + _chunk({}, "stop"), "connection_failed"),
        (_BODY + b"data: [DONE]\n\n", "connection_failed"),
        (_BODY + _ERROR, "k"),
    ],
    ids=["whole", "cut", "no [DONE]", "no finish reason", "error event"],
)
def test_incomplete_stream_is_a_failure(
    entry: ScriptedEntry, body: bytes, kind: str
) -> None:
    """Guards against accepting a truncated stream as a complete answer."""
    entry.script.append((200, {}, body))
    stream = caller.Caller([entry.address], "key-1").stream_chat(
        "planes", _MESSAGES
    )
    assert isinstance(stream, caller.ChatStream)
    assert "".join(stream) == "a stand"
    result = stream.result
    if kind:
        assert isinstance(result, caller.Failure)
        assert result.kind == kind
        assert result.run != "not_run"
    else:
        assert isinstance(result, caller.ChatReply)
        assert result.text == "a stand"
    assert len(entry.requests) == 1


def test_stream_is_retried_before_it_begins(
    entry: ScriptedEntry, delays: list[float]
) -> None:
    """Guards against not retrying a stream that was refused at the start."""
    entry.script.extend(
        [_refusal("overloaded", "not_run", "1"), (200, {}, _BODY + _END)]
    )
    stream = caller.Caller([entry.address], "key-1").stream_chat(
        "planes", _MESSAGES
    )
    assert isinstance(stream, caller.ChatStream)
    assert "".join(stream) == "a stand"


def test_abandoned_stream_can_be_closed_twice(entry: ScriptedEntry) -> None:
    """Guards against an error when a stream is closed before its end."""
    entry.script.append((200, {}, _BODY + _END))
    stream = caller.Caller([entry.address], "key-1").stream_chat(
        "planes", _MESSAGES
    )
    assert isinstance(stream, caller.ChatStream)
    assert next(iter(stream)) == "a "
    stream.close()
    stream.close()
    assert isinstance(stream.result, caller.Failure)
