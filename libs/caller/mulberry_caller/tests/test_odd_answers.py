"""Tests of answers that no entry should send."""

import types
from typing import cast

import pytest

from mulberry_caller import _entries, _http, _replies, _stream

_NESTED = b"[" * 30_000


@pytest.mark.parametrize(
    ("retry_after", "expected_s"),
    [
        ("3", 3.0),
        ("\u00b2", -1.0),
        ("9" * 400, -1.0),
        ("9" * 5_000, -1.0),
        ("nan", -1.0),
        ("", -1.0),
    ],
)
@pytest.mark.parametrize("body", [_NESTED, b"\xff", b"[]", b"1", b""])
def test_odd_refusal_is_a_failure(
    retry_after: str, expected_s: float, body: bytes
) -> None:
    """Guards against an exception where a caller gets a failure."""
    failure = _replies.parse_failure(
        503, {"retry-after": retry_after}, body, attempts=1
    )
    assert failure.retry_after_s == expected_s
    assert failure.run == "unknown"


_ODD_LISTS = {
    "nested": _NESTED,
    "no object": b"[]",
    "no entries": b'{"keep_s": 1}',
    "entries as text": b'{"entries": "10.0.0.1:80", "keep_s": 1}',
    "no keep_s": b'{"entries": [{"address": "10.0.0.1:80"}]}',
    "keep_s of 400 digits": (
        b'{"entries": [{"address": "10.0.0.1:80"}], "keep_s": 1%b}'
        % (b"0" * 400)
    ),
}


@pytest.mark.parametrize("body", _ODD_LISTS.values(), ids=_ODD_LISTS)
def test_odd_list_keeps_the_known_entries(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller that asks no entry because of one list."""
    exchange = types.SimpleNamespace(error="", status=200)
    monkeypatch.setattr(_http, "fetch", lambda *args: (exchange, body))
    entries = _entries.EntryList(["10.0.0.9:80"], "z")
    assert entries.ordered_entries() == ["10.0.0.9:80"]


@pytest.mark.parametrize(
    "event",
    [
        _NESTED,
        b"\xff",
        b"1",
        b'{"choices": 1}',
        b'{"choices": [1]}',
        b'{"choices": [{"delta": 1}]}',
        b'{"choices": [{"delta": {"content": 1}}]}',
        b'{"choices": [{"index": 0, "delta": null}]}',
    ],
)
def test_odd_event_adds_no_text(event: bytes) -> None:
    """Guards against an exception out of a stream of text."""
    exchange = types.SimpleNamespace(
        iter_body=lambda: iter([b"data: %b\n\n" % event]),
        close=lambda: None,
        error="",
        header_by_name={},
    )
    stream = _stream.ChatStream(cast(_http.Exchange, exchange), 1)
    assert "".join(stream) == ""


@pytest.mark.parametrize("count", ["x", None, [1], {}])
def test_odd_token_count_is_zero(count: object) -> None:
    """Guards against a complete answer that raises an exception."""
    reply = _replies.build_chat_reply(
        {}, ["a"], "stop", {"prompt_tokens": count, "completion_tokens": 2}, 1
    )
    assert (reply.tokens_in, reply.tokens_out) == (0, 2)
