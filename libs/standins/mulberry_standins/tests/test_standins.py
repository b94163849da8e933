"""Tests of the stand-ins that other tests use."""

import dataclasses
import http.server
import json
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from typing import Any

import pytest

import mulberry_standins as standins

_Start = Callable[..., standins.Standin]


@pytest.fixture
def start() -> Iterator[_Start]:
    started: list[standins.Standin] = []

    def run(role: str, **options: Any) -> standins.Standin:
        fields = {
            "serves": (("cedro", "1"),),
            "service": "taller-app",
            "tokens": 4,
            "tokens_per_s": 1000.0,
            "load_s": 0.0,
            "cache_lag_s": 0.0,
            **options,
        }
        started.append(standins.create(standins.Options(role, **fields)))
        started[-1].start()
        return started[-1]

    yield run
    for standin in started:
        standin.stop()


def _send(
    standin: standins.Standin,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"{standin.address}{path}", data, headers or {}
    )
    try:
        with urllib.request.urlopen(request) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as error:
        with error:
            return error.code, json.load(error)


def _chat(standin: standins.Standin, prompt: str) -> str:
    message = {"role": "user", "content": prompt}
    body = {"model": "cedro", "messages": [message]}
    status, answer = _send(standin, "/v1/chat/completions", body)
    assert status == 200
    return str(answer["choices"][0]["message"]["content"])


def test_answers_are_deterministic(start: _Start) -> None:
    """Guards against answers that differ between engines."""
    first, second = start("engine"), start("engine")
    other = start("engine", serves=(("cedro", "2"),))
    assert _chat(first, "a") == _chat(second, "a")
    assert _chat(first, "a") != _chat(first, "b")
    assert _chat(first, "a") != _chat(other, "a")


@pytest.mark.parametrize("quality", [0.2, 0.9])
def test_rater_reads_the_quality_of_the_engine(
    start: _Start, quality: float
) -> None:
    """Guards against ratings that do not depend on the answer's quality."""
    engine, rater = start("engine"), start("rater")
    _send(engine, "/faults", {"quality": quality})
    rating = {"prompt": "a", "answer": _chat(engine, "a")}
    _, answer = _send(rater, "/rate", rating)
    # Answers differ by up to 0.05 from the mean and are rounded to two
    # decimals.
    assert abs(answer["score"] - quality) <= 0.055
    _send(rater, "/faults", {"wrong": True})
    _, wrong = _send(rater, "/rate", rating)
    assert wrong["score"] == pytest.approx(1 - answer["score"])


@pytest.mark.parametrize(
    ("checks", "status", "versions"),
    [(True, 409, {"1", "2"}), (False, 200, {"1", "2", "3"})],
)
def test_orders_with_an_outdated_fencing_number(
    start: _Start, checks: bool, status: int, versions: set[str]
) -> None:
    """Guards against an engine that accepts outdated orders despite fencing."""
    engine = start("engine", checks_fencing=checks)
    order = {"order": "load", "model": "cedro"}
    newer = {**order, "version": "2", "fencing_number": 5}
    older = {**order, "version": "3", "fencing_number": 4}
    assert _send(engine, "/control/orders", newer)[0] == 200
    assert _send(engine, "/control/orders", older)[0] == status
    _, state = _send(engine, "/status")
    assert {item["version"] for item in state["serves"]} == versions
    _, orders = _send(engine, "/control/orders")
    assert [item["accepted"] for item in orders] == [True, not checks]


def test_unloaded_versions_are_refused(start: _Start) -> None:
    """Guards against answering for versions that are not loaded."""
    engine = start("engine")
    body = {"model": "cedro", "messages": []}
    status, _ = _send(
        engine, "/v1/chat/completions", body, {"X-Mulberry-Version": "9"}
    )
    assert status == 503
    assert _send(engine, "/runs") == (200, [])


def test_service_records_each_run(start: _Start) -> None:
    """Guards against runs that are recorded twice or not at all."""
    service = start("service")
    for key in ("k1", "k2", "k2"):
        headers = {"Idempotency-Key": key, "X-Request-Id": f"id-{key}"}
        status, _ = _send(service, "/deposits", {"amount": 1}, headers)
        assert status == 201
    headers = {"X-Request-Id": "id-4"}
    _, created = _send(service, "/orders", {"item": "frame"}, headers)
    assert created == {"serial": 4, "request_id": "id-4"}
    _, found = _send(service, "/orders/4")
    assert found["order"] == {"item": "frame"}
    assert _send(service, "/orders/5")[0] == 404
    _, runs = _send(service, "/runs")
    assert runs[:4] == ["k1", "k2", "k2", "id-4"]


def test_weight_store_limits_its_rate(start: _Start) -> None:
    """Guards against loads above the store's rate limit."""
    store = start("weights", loads_per_minute=1.0)
    assert _send(store, "/weights", {})[0] == 200
    assert _send(store, "/weights", {})[0] == 429


@pytest.mark.parametrize(
    "faults", [{"unknown": 1}, {"refuse": 1}, {"cut_after": "x"}, []]
)
def test_invalid_faults_are_rejected(start: _Start, faults: Any) -> None:
    """Guards against silently ignoring an invalid fault."""
    engine = start("engine")
    assert _send(engine, "/faults", faults)[0] == 400


def test_faults_are_limited_by_count_and_share(start: _Start) -> None:
    """Guards against faults that apply to more requests than configured."""
    service = start("service")
    _send(service, "/faults", {"refuse": True, "times": 2})
    statuses = [_send(service, "/deposits", {})[0] for _ in range(3)]
    assert statuses == [503, 503, 201]
    _send(service, "/faults", {"refuse": True, "share": 0.0})
    assert _send(service, "/deposits", {})[0] == 201


def test_cache_events_are_published(start: _Start) -> None:
    """Guards against missing cache events."""
    engine = start("engine")
    _chat(engine, "a")
    _, events = _send(engine, "/cache/events")
    assert [event["event"] for event in events] == ["stored"]
    assert _send(engine, "/cache/events?after=1") == (200, [])


@dataclasses.dataclass
class _FakeEntry:
    """Announcements that a fake entry received; it rejects the first one."""

    bodies: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    keys: set[str] = dataclasses.field(default_factory=set)


@pytest.fixture
def entry() -> Iterator[tuple[str, _FakeEntry]]:
    state = _FakeEntry()

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_POST(self) -> None:
            length = int(self.headers["Content-Length"])
            state.bodies.append(json.loads(self.rfile.read(length)))
            state.keys.add(self.headers["Authorization"])
            self.send_response(503 if len(state.bodies) == 1 else 204)
            self.end_headers()

        def log_message(self, format: str, *args: Any) -> None:
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, args=(0.02,)).start()
    yield f"127.0.0.1:{server.server_port}", state
    server.shutdown()
    server.server_close()


def test_process_announces_and_drains(entry: tuple[str, _FakeEntry]) -> None:
    """Guards against a stand-in that exits while requests are running."""
    address, state = entry
    command = [
        sys.executable,
        "-c",
        "import mulberry_standins as s; s.main()",
        *("engine", "--serves", "cedro@1", "--announce-key", "secret"),
        *("--entry", address, "--leave-s", "0.2", "--zone", "coban-a"),
        *("--tokens", "20", "--tokens-per-s", "40"),
    ]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert process.stdout is not None
        line = json.loads(process.stdout.readline())
        body = {"model": "cedro", "messages": [], "stream": True}
        url = f"{line['address']}/v1/chat/completions"
        answer = urllib.request.urlopen(url, json.dumps(body).encode())
        process.send_signal(signal.SIGTERM)
        with answer:
            assert answer.read().endswith(b"data: [DONE]\n\n")
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.communicate()
    until_s = time.monotonic() + 10
    while not any(item["state"] == "leaving" for item in state.bodies):
        assert time.monotonic() < until_s, "no announcement of leaving"
        time.sleep(0.02)
    assert state.keys == {"Bearer secret"}
    first = state.bodies[0]
    assert first["serves"] == [{"model": "cedro", "version": "1"}]
    assert first["zone"] == "coban-a"
    sequences = [item["sequence"] for item in state.bodies]
    assert sequences == sorted(set(sequences))
    assert len({item["incarnation"] for item in state.bodies}) == 1
