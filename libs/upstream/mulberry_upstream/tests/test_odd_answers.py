"""Tests of answers with values that no engine should send."""

import types
from typing import cast

import pytest

import mulberry_core as core
import mulberry_upstream as upstream
from mulberry_upstream import _checker, _exchange, _failures

_NESTED = b"[" * 30_000
_MANY_DIGITS = b"9" * 5_000
_ODD_EVENTS = {
    "nested": b"data: " + _NESTED + b"\n\n",
    "nested, complete": (
        b'data: {"id":"r","choices":' + _NESTED + b"]" * 30_000 + b"}\n\n"
    ),
    "many digits": (
        b'data: {"id":"r","choices":[],"created":' + _MANY_DIGITS + b"}\n\n"
    ),
    "infinite index": (
        b'data: {"id":"r","choices":[{"index":1e400,"delta":{}}]}\n\n'
    ),
    "no UTF-8": b"data: \xff\n\n",
}


@pytest.mark.parametrize("event", _ODD_EVENTS.values(), ids=_ODD_EVENTS)
def test_odd_event_is_a_fault(event: bytes) -> None:
    """Guards against an error on the thread that reads all streams."""
    checker = upstream.AnswerChecker("r")
    fault = checker.accept(event)
    assert isinstance(fault, _checker.Fault)
    assert fault.kind is core.ErrorKind.ANSWER_INCOMPLETE


@pytest.mark.parametrize("number", [_MANY_DIGITS, b"\xb2", b"x"])
def test_odd_event_number_is_none(number: bytes) -> None:
    """Guards against an error on the thread that reads all streams."""
    checker = upstream.AnswerChecker("r")
    chunk = b'{"id":"r","choices":[{"index":0,"delta":{"content":"a"}}]}'
    assert checker.accept(b"id: %b\ndata: %b\n\n" % (number, chunk)) is (
        _checker.Verdict.PASS
    )
    assert checker.accept(b"id: 1\ndata: %b\n\n" % chunk) != (
        _checker.Verdict.PASS
    )


@pytest.mark.parametrize(
    "body", [_NESTED, b'{"id":"r","choices":[' + _MANY_DIGITS + b"]}", b"\xff"]
)
def test_odd_whole_answer_is_a_fault(body: bytes) -> None:
    """Guards against a run whose outcome is reported as unknown."""
    fault = _checker.check_whole_answer(body, "r")
    assert isinstance(fault, _checker.Fault)
    assert fault.kind is core.ErrorKind.ANSWER_INCOMPLETE


@pytest.mark.parametrize("count", [b"1" + b"0" * 400, b"-1", b"1.5", b'"1"'])
def test_odd_token_count_is_absent(count: bytes) -> None:
    """Guards against a bill that cannot be encoded, so that it is withheld."""
    answer = _checker.check_whole_answer(
        b'{"id":"r","choices":[{"message":{"content":"a"},'
        b'"finish_reason":"stop"}],"usage":{"prompt_tokens":%b,'
        b'"completion_tokens":1}}' % count,
        "r",
    )
    assert isinstance(answer, _checker.WholeAnswer)
    assert answer.usage == _checker.Usage(0, 1)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("3", 3.0),
        ("\xb2", core.Missing.UNSET),
        ("9" * 400, core.Missing.UNSET),
        ("9" * 5_000, core.Missing.UNSET),
        ("nan", core.Missing.UNSET),
        ("", core.Missing.UNSET),
    ],
)
def test_odd_retry_after_is_absent(
    text: str, expected: float | core.Missing
) -> None:
    """Guards against a refusal that is answered as an internal error."""
    transfer = types.SimpleNamespace(header_by_name={"retry-after": text})
    found = _failures._retry_after(cast(_exchange.Exchange, transfer))
    assert found == expected
