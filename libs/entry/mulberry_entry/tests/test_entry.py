"""Tests of the entry against stand-in upstreams."""

import itertools
import json
import socket
import time
from collections.abc import Callable, Container, Iterator, Sequence
from typing import Any

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_rules as rules
import mulberry_state as state
from mulberry_entry import _dispatch as dispatch
from mulberry_entry.tests import harness

_LIMITS = rules.Limits(
    max_body_bytes=10_000,
    max_header_bytes=4_000,
    read_timeout_s=1.0,
    max_streams=8,
    max_queue=4,
)


@pytest.fixture
def entry() -> Iterator[harness.Harness]:
    started = harness.Harness(_LIMITS)
    started.add_engine("engine-1")
    started.add_engine("engine-2")
    started.add_engine("dear-1", "dear")
    started.add_service("taller-1")
    yield started
    started.stop()


def _bills(entry: harness.Harness) -> int:
    return sum(item.bills for item in entry.state.machine.ledger.sums())


def test_answers_are_complete_and_billed_once(entry: harness.Harness) -> None:
    """Guards against answers without a bill and bills without an answer."""
    whole = entry.chat()
    streamed = entry.chat(stream=True)
    cascade = entry.chat("both", stream=True)
    stock = entry.send("GET", "/services/taller/stock/board")
    assert [answer[0] for answer in (whole, streamed, cascade, stock)] == [
        200
    ] * 4
    assert streamed[2].endswith(b"data: [DONE]\n\n")
    assert cascade[2].endswith(b"data: [DONE]\n\n")
    assert whole[1]["X-Mulberry-Model"] == "m"
    assert whole[1]["X-Mulberry-Version"] == "v1"
    assert _bills(entry) == 4


def test_retried_key_is_billed_once(entry: harness.Harness) -> None:
    """Guards against a second bill for a retried request."""
    headers = {"Idempotency-Key": "same"}
    assert entry.chat(headers=headers)[0] == 200
    assert entry.chat(headers=headers)[0] == 200
    assert _bills(entry) == 1


@pytest.mark.parametrize("stream", [False, True])
def test_end_of_answer_is_withheld_without_bill(
    entry: harness.Harness, stream: bool
) -> None:
    """Guards against a complete answer whose bill is not durable."""
    entry.state.failing = (state.RecordBill,)
    status, _, body = entry.chat(stream=stream)
    if stream:
        assert status == 200
        assert b"[DONE]" not in body
        assert b'"finish_reason":"stop"' not in body
        content = json.loads(body.rstrip().rsplit(b"data: ", 1)[1])
    else:
        content = json.loads(body)
    assert content["kind"] == "bill_not_recorded"
    assert content["run"] == "ran"


def test_deposit_runs_once_and_is_replayed(entry: harness.Harness) -> None:
    """Guards against running a repeated deposit twice."""
    headers = {"Idempotency-Key": "d-1"}
    first = entry.send("POST", "/services/taller/deposits", {"a": 1}, headers)
    again = entry.send("POST", "/services/taller/deposits", {"a": 1}, headers)
    other = entry.send("POST", "/services/taller/deposits", {"a": 2}, headers)
    assert first[0] == again[0] == 201
    assert first[2] == again[2]
    assert json.loads(other[2])["kind"] == "idempotency_key_reused"
    assert entry.runs().count("d-1") == 1
    assert _bills(entry) == 1


def test_lost_answer_is_unknown_and_never_run_again(
    entry: harness.Harness,
) -> None:
    """Guards against a second run after the first answer was lost."""
    entry.set_faults("taller-1", close_without_answer=True)
    headers = {"Idempotency-Key": "d-2"}
    first = entry.send("POST", "/services/taller/deposits", {}, headers)
    entry.set_faults("taller-1")
    again = entry.send("POST", "/services/taller/deposits", {}, headers)
    assert json.loads(first[2])["run"] == "unknown"
    assert json.loads(again[2])["kind"] == "claim_open"
    assert json.loads(again[2])["run"] == "unknown"
    assert entry.runs().count("d-2") == 1


def test_refused_deposit_can_be_sent_again(entry: harness.Harness) -> None:
    """Guards against a claim kept for a call that certainly did not run."""
    entry.set_faults("taller-1", refuse=True)
    headers = {"Idempotency-Key": "d-3"}
    first = entry.send("POST", "/services/taller/deposits", {}, headers)
    entry.set_faults("taller-1")
    again = entry.send("POST", "/services/taller/deposits", {}, headers)
    assert json.loads(first[2])["run"] == "not_run"
    assert again[0] == 201
    assert entry.runs().count("d-3") == 1


def test_unsettled_deposit_is_recorded_later(entry: harness.Harness) -> None:
    """Guards against losing an answer during a short loss of quorum."""
    entry.state.failing = (state.SettleClaim,)
    headers = {"Idempotency-Key": "d-4"}
    first = entry.send("POST", "/services/taller/deposits", {}, headers)
    assert json.loads(first[2])["kind"] == "bill_not_recorded"
    entry.state.failing = ()
    until_s = time.monotonic() + 10
    while entry.components.biller.pending() and time.monotonic() < until_s:
        time.sleep(0.05)
    again = entry.send("POST", "/services/taller/deposits", {}, headers)
    assert again[0] == 201
    assert entry.runs().count("d-4") == 1


_Change = Callable[[harness.Harness], None]


def _expire_lease(entry: harness.Harness) -> None:
    entry.state.lease_remaining_s = lambda: 0.0  # type: ignore[method-assign]


def _withdraw(entry: harness.Harness) -> None:
    text = harness.RULES.replace("edited-from 0", "edited-from 1")
    text += "withdraw m v1  # asked by test\n"
    command = state.SubmitRules("2", text, 1, "test")
    assert isinstance(entry.state.propose(command, 1), state.RulesAccepted)


def _announce_leaving(entry: harness.Harness) -> None:
    for name in ("engine-1", "engine-2"):
        entry.announce(
            name,
            state="leaving",
            serves=[{"model": "m", "version": "v1"}],
        )


def _lose_quorum(entry: harness.Harness) -> None:
    entry.state.failing = (state.ClaimCall,)


def _refuse_all(entry: harness.Harness) -> None:
    for name in ("engine-1", "engine-2"):
        entry.set_faults(name, refuse=True)


_CHAT: tuple[str, str, Any] = (
    "POST",
    "/v1/chat/completions",
    {"model": "m", "messages": [{"role": "user", "content": "x"}]},
)
_DEPOSIT: tuple[str, str, Any] = ("POST", "/services/taller/deposits", {})


def _no_change(entry: harness.Harness) -> None:
    return None


@pytest.mark.parametrize(
    ("kind", "request_", "change", "key"),
    [
        ("unauthenticated", _CHAT, _no_change, "wrong"),
        ("unauthenticated", _CHAT, _no_change, ""),
        ("rules_lease_expired", _CHAT, _expire_lease, harness.KEY),
        ("rules_lease_expired", _DEPOSIT, _expire_lease, harness.KEY),
        ("version_withdrawn", _CHAT, _withdraw, harness.KEY),
        ("no_upstream", _CHAT, _announce_leaving, harness.KEY),
        ("upstream_refused", _CHAT, _refuse_all, harness.KEY),
        ("quorum_unavailable", _DEPOSIT, _lose_quorum, harness.KEY),
        (
            "not_allowed",
            ("GET", "/services/secreto/x", None),
            _no_change,
            harness.KEY,
        ),
        (
            "unknown_service",
            ("GET", "/services/none/x", None),
            _no_change,
            harness.KEY,
        ),
        ("not_found", ("GET", "/v2/x", None), _no_change, harness.KEY),
        ("bad_request", (*_CHAT[:2], b"{"), _no_change, harness.KEY),
        ("bad_request", (*_CHAT[:2], b"\xff\xfe"), _no_change, harness.KEY),
        (
            "request_too_large",
            (*_CHAT[:2], b" " * 20_000),
            _no_change,
            harness.KEY,
        ),
    ],
)
def test_refused_request_did_not_run(
    entry: harness.Harness,
    kind: str,
    request_: tuple[str, str, Any],
    change: _Change,
    key: str,
) -> None:
    """Guards against the run state "not_run" for a request that ran."""
    change(entry)
    status, headers, body = entry.send(*request_, key=key)
    content = json.loads(body)
    assert (content["kind"], content["run"]) == (kind, "not_run")
    answer = core.ANSWER_BY_KIND[core.ErrorKind(kind)]
    assert status == answer.status
    assert ("Retry-After" in headers) == answer.retryable
    assert entry.runs() == []


@pytest.mark.parametrize(
    ("faults", "kind", "run"),
    [
        # Only the answer to another request arrived.
        ({"cross_id": "other"}, "answer_mismatched", "unknown"),
        ({"garble_at": 2}, "answer_incomplete", "ran"),
        ({"drop_at": 2}, "answer_incomplete", "ran"),
        ({"duplicate_at": 2}, "answer_incomplete", "ran"),
    ],
)
def test_faulty_stream_is_never_marked_complete(
    entry: harness.Harness, faults: dict[str, Any], kind: str, run: str
) -> None:
    """Guards against marking a garbled or mismatched answer complete."""
    for name in ("engine-1", "engine-2"):
        entry.set_faults(name, **faults)
    status, _, body = entry.chat(stream=True)
    assert b"[DONE]" not in body
    if status == 200:
        content = json.loads(body.rstrip().rsplit(b"data: ", 1)[1])
    else:
        content = json.loads(body)
    assert (content["kind"], content["run"]) == (kind, run)
    assert _bills(entry) == 0


def test_slow_lookup_is_answered_by_hedged_request() -> None:
    """Guards against lookups that wait for a stalled upstream.

    The stall exceeds the deadline, so only the hedged request can answer.
    """
    entry = harness.Harness(_LIMITS, decisions.FixedDelayHedging(0.05))
    try:
        for name in ("taller-1", "taller-2"):
            entry.add_service(name)
        entry.set_faults("taller-1", first_token_s=5.0)
        for _ in range(4):
            answer = entry.send("GET", "/services/taller/stock/board")
            assert answer[0] == 200
        assert _bills(entry) == 4
    finally:
        entry.stop()


def test_cut_stream_is_continued(entry: harness.Harness) -> None:
    """Guards against lost or repeated tokens after an interruption."""
    expected = entry.chat(stream=True)[2].count(b"data: ")
    for name in ("engine-1", "engine-2"):
        entry.set_faults(name, cut_after=3, times=1)
    _, _, body = entry.chat(stream=True)
    assert body.endswith(b"data: [DONE]\n\n")
    assert body.count(b"data: ") == expected
    assert _bills(entry) == 2


@pytest.mark.parametrize(
    "announced",
    [{"incarnation": 2}, {"state": "leaving"}],
    ids=["restarted", "leaving"],
)
def test_cut_stream_is_rerun_if_its_upstream_takes_no_new_work(
    entry: harness.Harness,
    monkeypatch: pytest.MonkeyPatch,
    announced: dict[str, Any],
) -> None:
    """Guards against closing a stream while another upstream is free."""
    reserve = dispatch.Dispatcher.reserve_for_resume

    def announce_and_reserve(
        dispatcher: dispatch.Dispatcher,
        previous: dispatch.Reservation,
        *arguments: Any,
    ) -> dispatch.Reservation | core.Refusal:
        serves = [{"model": "m", "version": "v1"}]
        entry.announce(previous.chosen.name, serves=serves, **announced)
        for name in ("engine-1", "engine-2"):
            entry.set_faults(name)
        return reserve(dispatcher, previous, *arguments)

    monkeypatch.setattr(
        dispatch.Dispatcher, "reserve_for_resume", announce_and_reserve
    )
    expected = entry.chat(stream=True)[2].count(b"data: ")
    for name in ("engine-1", "engine-2"):
        entry.set_faults(name, cut_after=3)
    _, _, body = entry.chat(stream=True)
    assert body.endswith(b"data: [DONE]\n\n")
    assert body.count(b"data: ") == expected


def _refuse_selections(
    entry: harness.Harness,
    monkeypatch: pytest.MonkeyPatch,
    numbers: Container[int],
    kind: core.ErrorKind,
) -> None:
    """Refuses the selections of an upstream with the given numbers, from 1."""
    chooser = entry.components.decisions.upstream_chooser
    choose, counter = chooser.choose, itertools.count(1)

    def choose_or_refuse(
        work: decisions.Work, usable: Sequence[decisions.UpstreamState]
    ) -> decisions.UpstreamState | core.Refusal:
        if next(counter) in numbers:
            return core.Refusal(kind, core.RunState.NOT_RUN, "test")
        return choose(work, usable)

    monkeypatch.setattr(chooser, "choose", choose_or_refuse)


def test_rerun_of_a_stream_waits_for_a_free_slot(
    entry: harness.Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against closing a stream as all slots are taken for a moment."""
    for name in ("engine-1", "engine-2"):
        entry.set_faults(name, drop_at=3, times=1)
    _refuse_selections(entry, monkeypatch, {2}, core.ErrorKind.NO_UPSTREAM)
    _, _, body = entry.chat(stream=True)
    assert body.endswith(b"data: [DONE]\n\n")


_STOCK = ("GET", "/services/taller/stock/board")


@pytest.mark.parametrize(
    ("name", "faults", "sent"),
    [
        ("engine", {"status": 500}, _CHAT),
        ("engine", {"drop_at": 2}, (*_CHAT[:2], {**_CHAT[2], "stream": True})),
        ("taller", {"close_without_answer": True}, _STOCK),
    ],
    ids=["whole", "stream", "call"],
)
def test_retry_that_is_not_sent_is_returned_to_the_budget(
    entry: harness.Harness,
    monkeypatch: pytest.MonkeyPatch,
    name: str,
    faults: dict[str, Any],
    sent: tuple[Any, ...],
) -> None:
    """Guards against a budget used up by retries that no upstream received."""
    for standin in entry.upstreams:
        if standin.startswith(name):
            entry.set_faults(standin, **faults)
    # The request is blocked after its first attempt.
    _refuse_selections(
        entry, monkeypatch, range(2, 99), core.ErrorKind.CONTENT_BLOCKED
    )
    budget = entry.components.decisions.retry_budget
    changes: list[int] = []

    def take(work: decisions.Work, run: core.RunState) -> bool:
        changes.append(1)
        return True

    monkeypatch.setattr(budget, "try_retry", take)
    monkeypatch.setattr(budget, "return_retry", lambda work: changes.append(-1))
    entry.send(*sent)
    assert changes
    assert sum(changes) == 0


def test_slot_is_released_when_caller_disconnects(
    entry: harness.Harness,
) -> None:
    """Guards against slots leaked when callers disconnect."""
    for name in ("engine-1", "engine-2"):
        entry.set_faults(name, token_s=0.2)
    host, port = entry.address.split(":")
    body = json.dumps({**_CHAT[2], "stream": True}).encode()
    head = (
        f"POST {_CHAT[1]} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {harness.KEY}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    for _ in range(2 * _LIMITS.max_streams):
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.sendall(head + body)
            connection.recv(100)
    until_s = time.monotonic() + 10
    while entry.app.active_requests and time.monotonic() < until_s:
        time.sleep(0.05)
    assert entry.app.active_requests == 0
    assert entry.components.decisions.admission.running() == 0


_HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"


@pytest.mark.parametrize(
    ("data", "pause_s", "kind"),
    [
        (_HEAD + b"Content-Length: 50\r\n\r\n{", 0.0, "bad_request"),
        (_HEAD + b"X: " + b"y" * 9000 + b"\r\n\r\n", 0.0, "headers_too_large"),
        (b"GET /" + b"y" * 9000 + b" HTTP/1.1\r\n\r\n", 0.0, "headers"),
        (_HEAD + b"Content-Length: x\r\n\r\n", 0.0, "bad_request"),
        (b"\x00\x01\x02\r\n\r\n", 0.0, "bad_request"),
        (_HEAD + b"X-Slow: " + b"y" * 100, 0.05, "request_timeout"),
        (
            _HEAD + b"Content-Length: 500\r\n\r\n" + b" " * 100,
            0.05,
            "request_timeout",
        ),
    ],
)
def test_bad_input_gets_a_clear_error(
    entry: harness.Harness, data: bytes, pause_s: float, kind: str
) -> None:
    """Guards against malformed or slow input that blocks a thread."""
    received = entry.send_raw(data, pause_s)
    assert kind.encode() in received
    assert b"not_run" in received
    assert entry.chat()[0] == 200


def test_announcements_are_checked(entry: harness.Harness) -> None:
    """Guards against malformed announcements changing the directory."""
    before = set(entry.directory.upstreams())
    for body in (b"", b"[]", b"{}", b'{"name": "x"}', b"\xff", b"[" * 50_000):
        reply = entry.send("POST", "/v1/announcements", body)
        assert reply[0] == 400, body[:20]
    assert set(entry.directory.upstreams()) == before


@pytest.mark.parametrize("call", [1, 2])
def test_a_renewal_does_not_vouch_for_the_view_that_it_replaces(
    entry: harness.Harness, call: int
) -> None:
    """Guards against work on a version that was withdrawn during a freeze.

    A renewal brings the withdrawal and extends the lease just before the
    request looks at the lease for the first or second time.
    """
    lease_s = entry.state.lease_remaining_s()
    calls = 0

    def renew() -> float:
        nonlocal calls
        calls += 1
        if calls == call:
            _withdraw(entry)
        return lease_s

    entry.state.lease_remaining_s = renew  # type: ignore[method-assign]
    _, _, body = entry.send(*_CHAT)
    assert calls >= call
    assert json.loads(body)["kind"] == "version_withdrawn"
    assert entry.runs() == []
