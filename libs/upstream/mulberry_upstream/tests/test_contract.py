"""Contract tests of the adapters against stand-ins with one fault each."""

import dataclasses
import json
import os
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from typing import Any

import pytest

import mulberry_core as core
import mulberry_upstream as upstream

_Kind = core.ErrorKind
_Run = core.RunState
_Recovery = upstream.Recovery
_SetFaults = Callable[..., None]


def _text(blocks: list[bytes]) -> str:
    """Returns the text of the forwarded events."""
    texts = []
    for line in b"".join(blocks).split(b"\n"):
        if line.startswith(b"data: {"):
            for choice in json.loads(line[6:])["choices"]:
                texts.append(choice["delta"].get("content", ""))
    return "".join(texts)


def _runs(address: str) -> Any:
    with urllib.request.urlopen(f"{address}/runs") as answer:
        return json.load(answer)


@dataclasses.dataclass(frozen=True)
class Case:
    """A fault of the engine and the expected refusal."""

    name: str
    faults: dict[str, Any]
    kind: _Kind
    run: _Run
    recovery: _Recovery
    limits: upstream.ExchangeLimits = dataclasses.field(
        default_factory=lambda: upstream.ExchangeLimits(30.0)
    )


_INCOMPLETE = _Kind.ANSWER_INCOMPLETE
_SHORT_IDLE = upstream.ExchangeLimits(30.0, idle_s=0.3)
_SHORT_DEADLINE = upstream.ExchangeLimits(0.3)
_SMALL_BODY = upstream.ExchangeLimits(30.0, max_bytes=100_000)
#: Events of an answer with 8 tokens: 1 is the role, 2 to 9 are text, 10 is
#: the finish reason and 11 is usage.
_STREAM_CASES = [
    Case("cut before the first chunk", {"cut_after": 0},
         _INCOMPLETE, _Run.UNKNOWN, _Recovery.RESUME),
    Case("cut in the text", {"cut_after": 5},
         _INCOMPLETE, _Run.RAN, _Recovery.RESUME),
    Case("cut after the finish reason", {"cut_after": 10},
         _INCOMPLETE, _Run.RAN, _Recovery.RESUME),
    Case("cut before [DONE]", {"cut_after": 11, "delay_end_s": 0.0},
         _INCOMPLETE, _Run.RAN, _Recovery.RESUME),
    Case("wrong id", {"cross_id": "request-other"},
         _Kind.ANSWER_MISMATCHED, _Run.UNKNOWN, _Recovery.RERUN),
    Case("duplicate", {"duplicate_at": 4},
         _INCOMPLETE, _Run.RAN, _Recovery.RERUN),
    Case("lost chunk", {"drop_at": 4},
         _INCOMPLETE, _Run.RAN, _Recovery.RERUN),
    Case("lost finish reason", {"drop_at": 10},
         _INCOMPLETE, _Run.RAN, _Recovery.RERUN),
    Case("malformed text", {"garble_at": 4},
         _INCOMPLETE, _Run.RAN, _Recovery.RERUN),
    Case("malformed end", {"garble_at": 11},
         _INCOMPLETE, _Run.RAN, _Recovery.RERUN),
    Case("idle before the text", {"first_token_s": 20.0},
         _INCOMPLETE, _Run.UNKNOWN, _Recovery.RESUME, _SHORT_IDLE),
    Case("idle before the end", {"delay_end_s": 20.0},
         _INCOMPLETE, _Run.RAN, _Recovery.RESUME, _SHORT_IDLE),
    Case("slower than the deadline", {"token_s": 20.0},
         _Kind.DEADLINE_EXCEEDED, _Run.RAN, _Recovery.NONE, _SHORT_DEADLINE),
    Case("oversize", {"oversize_bytes": 2_000_000},
         _INCOMPLETE, _Run.RAN, _Recovery.NONE, _SMALL_BODY),
]  # fmt: skip


@pytest.mark.parametrize("case", _STREAM_CASES, ids=lambda case: case.name)
def test_faulty_stream_is_never_complete(
    harness: Any, set_faults: _SetFaults, case: Case
) -> None:
    """Guards against treating a faulty answer as complete."""
    engine = harness.start()
    whole = harness.chat.chat(
        harness.chat_request(engine.address, streamed=False)
    )
    assert isinstance(whole, upstream.ChatAnswer)
    harness.new_request()
    set_faults(engine.address, **case.faults)
    stream = harness.chat.open_chat(
        harness.chat_request(engine.address, limits=case.limits)
    )
    assert isinstance(stream, upstream.ChatStream)
    forwarded = list(stream)
    outcome = stream.outcome
    assert isinstance(outcome.refusal, core.Refusal)
    assert outcome.refusal.kind is case.kind, outcome.refusal.reason
    assert outcome.refusal.run is case.run
    assert outcome.recovery is case.recovery
    assert outcome.tail == b""
    assert whole.text.startswith(_text(forwarded))
    assert b"[DONE]" not in b"".join(forwarded)
    assert b'"stop"' not in b"".join(forwarded)


_REFUSED_CASES = [
    Case("refused", {"refuse": True},
         _Kind.UPSTREAM_REFUSED, _Run.NOT_RUN, _Recovery.NONE),
    Case("error", {"status": 500},
         _Kind.UPSTREAM_FAILED, _Run.UNKNOWN, _Recovery.NONE),
    Case("503 without a statement", {"status": 503},
         _Kind.UPSTREAM_FAILED, _Run.UNKNOWN, _Recovery.NONE),
    Case("bad request", {"status": 400},
         _Kind.BAD_REQUEST, _Run.UNKNOWN, _Recovery.NONE),
    Case("closed before the answer", {"close_without_answer": True},
         _Kind.UPSTREAM_FAILED, _Run.UNKNOWN, _Recovery.NONE),
]  # fmt: skip


@pytest.mark.parametrize("streamed", [True, False])
@pytest.mark.parametrize("case", _REFUSED_CASES, ids=lambda case: case.name)
def test_failure_before_the_answer(
    harness: Any, set_faults: _SetFaults, case: Case, streamed: bool
) -> None:
    """Guards against `not_run` for a request that an engine may have run."""
    engine = harness.start()
    set_faults(engine.address, **case.faults)
    request = harness.chat_request(engine.address, streamed)
    send = harness.chat.open_chat if streamed else harness.chat.chat
    refusal = send(request)
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is case.kind
    assert refusal.run is case.run
    if "status" in case.faults:
        assert "status by a fault" in refusal.reason
    if refusal.run is _Run.NOT_RUN:
        assert _runs(engine.address) == []


_WHOLE_CASES = [
    Case("wrong id", {"cross_id": "request-other"},
         _Kind.ANSWER_MISMATCHED, _Run.UNKNOWN, _Recovery.NONE),
    Case("cut", {"cut_after": 1},
         _INCOMPLETE, _Run.UNKNOWN, _Recovery.NONE),
    Case("malformed", {"garble_at": 1},
         _INCOMPLETE, _Run.UNKNOWN, _Recovery.NONE),
    Case("no first byte", {"first_token_s": 20.0},
         _Kind.UPSTREAM_FAILED, _Run.UNKNOWN, _Recovery.NONE,
         upstream.ExchangeLimits(30.0, first_byte_s=0.3)),
    Case("slower than the deadline", {"first_token_s": 20.0},
         _Kind.DEADLINE_EXCEEDED, _Run.UNKNOWN, _Recovery.NONE,
         _SHORT_DEADLINE),
    Case("oversize", {"oversize_bytes": 2_000_000},
         _INCOMPLETE, _Run.UNKNOWN, _Recovery.NONE, _SMALL_BODY),
]  # fmt: skip


@pytest.mark.parametrize("case", _WHOLE_CASES, ids=lambda case: case.name)
def test_faulty_whole_answer_is_refused(
    harness: Any, set_faults: _SetFaults, case: Case
) -> None:
    """Guards against accepting a faulty non-streamed answer."""
    engine = harness.start()
    set_faults(engine.address, **case.faults)
    refusal = harness.chat.chat(
        harness.chat_request(engine.address, False, limits=case.limits)
    )
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is case.kind, refusal.reason
    assert refusal.run is case.run


def test_valid_stream_withholds_its_end_and_counts_tokens(harness: Any) -> None:
    """Guards against forwarding the end of an answer before it is billed."""
    engine = harness.start()
    stream = harness.chat.open_chat(harness.chat_request(engine.address))
    assert isinstance(stream, upstream.ChatStream)
    forwarded = list(stream)
    outcome = stream.outcome
    assert outcome.complete
    assert outcome.tokens_out == 8
    assert outcome.tokens_in > 0
    assert _text(forwarded) == outcome.text
    assert b'"stop"' not in b"".join(forwarded)
    assert outcome.tail.endswith(b"data: [DONE]\n\n")
    assert b'"usage"' in outcome.tail
    assert harness.record.run is _Run.RAN
    assert _runs(engine.address) == [harness.request_id]


def test_engine_crash_is_not_reported_as_not_run(harness: Any) -> None:
    """Guards against `not_run` for a request that crashed the engine."""
    process = subprocess.Popen(
        [sys.executable, "-c", "import mulberry_standins as s; s.main()"]
        + ["engine", "--serves", "cedro@2026-02"],
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        address = json.loads(process.stdout.readline())["address"]
        body = json.dumps({"crash_marker": "poison"}).encode()
        urllib.request.urlopen(f"{address}/faults", body).close()
        request = harness.chat_request(address, content="some poison here")
        refusal = harness.chat.open_chat(request)
        assert isinstance(refusal, core.Refusal)
        assert refusal.kind is _Kind.UPSTREAM_FAILED
        assert refusal.run is _Run.UNKNOWN
        assert process.wait(10) != os.EX_OK
    finally:
        process.kill()
        process.communicate()


def test_cancel_stops_the_engine(harness: Any, set_faults: _SetFaults) -> None:
    """Guards against an engine that keeps running a canceled request."""
    engine = harness.start(tokens=10_000, tokens_per_s=50.0)
    stream = harness.chat.open_chat(harness.chat_request(engine.address))
    assert isinstance(stream, upstream.ChatStream)
    next(stream)
    stream.cancel()
    assert next(stream, b"") == b""
    refusal = stream.outcome.refusal
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is _Kind.CALLER_GONE
    for _ in range(500):
        with urllib.request.urlopen(f"{engine.address}/status") as answer:
            if json.load(answer)["load"]["running"] == 0:
                return
        time.sleep(0.02)
    pytest.fail("the engine still runs a canceled request")


def test_caller_disconnects_before_first_token(
    harness: Any, set_faults: _SetFaults
) -> None:
    """Guards against waiting for tokens after the caller disconnected."""
    engine = harness.start()
    set_faults(engine.address, first_token_s=20.0)
    stream = harness.chat.open_chat(
        harness.chat_request(engine.address, is_abandoned=lambda: True)
    )
    if isinstance(stream, upstream.ChatStream):
        assert list(stream) == []
        stream = stream.outcome.refusal
    assert isinstance(stream, core.Refusal)
    assert stream.kind is _Kind.CALLER_GONE


@pytest.mark.parametrize(
    ("faults", "kind", "run"),
    [
        ({"refuse": True}, _Kind.UPSTREAM_REFUSED, _Run.NOT_RUN),
        ({"close_without_answer": True}, _Kind.UPSTREAM_FAILED, _Run.UNKNOWN),
        ({"oversize_bytes": 2_000_000}, _INCOMPLETE, _Run.RAN),
    ],
    ids=["refused", "closed", "oversize"],
)
def test_failed_service_call(
    harness: Any,
    set_faults: _SetFaults,
    faults: dict[str, Any],
    kind: _Kind,
    run: _Run,
) -> None:
    """Guards against a wrong run state of a non-idempotent call."""
    service = harness.start("service")
    set_faults(service.address, **faults)
    refusal = harness.service.call(
        harness.service_request(service.address, limits=_SMALL_BODY)
    )
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is kind
    assert refusal.run is run
    expected = 0 if run is _Run.NOT_RUN else 1
    assert len(_runs(service.address)) == expected


def test_service_error_statuses_pass_through(
    harness: Any, set_faults: _SetFaults
) -> None:
    """Guards against turning error statuses of a service into refusals."""
    service = harness.start("service")
    answer = harness.service.call(harness.service_request(service.address))
    assert isinstance(answer, upstream.ServiceAnswer)
    assert answer.status == 201
    assert json.loads(answer.body)["serial"] == 1
    harness.new_request()
    set_faults(service.address, status=418)
    answer = harness.service.call(harness.service_request(service.address))
    assert isinstance(answer, upstream.ServiceAnswer)
    assert answer.status == 418


@pytest.mark.parametrize(
    "header", ["X-A: b\r\nX-Forged: c", "X-A: \x00", "X-A: \u0142"]
)
def test_header_injection_is_refused(harness: Any, header: str) -> None:
    """Guards against header injection by a caller."""
    request = dataclasses.replace(
        harness.service_request("127.0.0.1:9"), headers=[header]
    )
    refusal = harness.service.call(request)
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is _Kind.BAD_REQUEST
    assert refusal.run is _Run.NOT_RUN
