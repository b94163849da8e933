"""Tests of the messages between a sender and a relay."""

import itertools

import hypothesis
import hypothesis.strategies as st
import pytest

import mulberry_core as core
from mulberry_gateway import _relay_protocol

_REQUEST = _relay_protocol.OpenRequest("i-1", "10.0.0.1:80", 300)


def test_requests_are_decoded() -> None:
    line = _REQUEST.encode()
    assert line.endswith(b"\n")
    assert _relay_protocol.OpenRequest.decode(line) == _REQUEST


@pytest.mark.parametrize(
    "line",
    [
        b"\n",
        b"null\n",
        b"[]\n",
        b"{}\n",
        b"\xff\xfe\n",
        b"[" * 1_000 + b"\n",
        b"GET / HTTP/1.1\r\n",
        b'{"upstream": "a", "address": "b"}\n',
        b'{"upstream": "a", "address": 1, "timeout_ms": 1}\n',
        b'{"upstream": 1, "address": "b", "timeout_ms": 1}\n',
        b'{"upstream": "a", "address": "b", "timeout_ms": true}\n',
        b'{"upstream": "a", "address": "b", "timeout_ms": 1.5}\n',
        b'{"upstream": "a", "address": "b", "timeout_ms": 0}\n',
        b'{"upstream": "a", "address": "b", "timeout_ms": -1}\n',
    ],
)
def test_malformed_requests_are_rejected(line: bytes) -> None:
    """Guards against a relay that ends on a malformed line."""
    assert _relay_protocol.OpenRequest.decode(line) is core.Missing.UNSET


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (_relay_protocol.OPENED_LINE, True),
        (
            _relay_protocol.encode_refusal(_relay_protocol.Reason.CUT_OFF),
            _relay_protocol.Reason.CUT_OFF,
        ),
        (b'{"opened": false, "reason": "of a later version"}', False),
        (b'{"opened": false, "reason": []}', False),
        (b'{"opened": 1}', False),
        (b'{"opened": "true"}', False),
        (b"HTTP/1.1 200 OK\r\n", False),
        (b"", False),
    ],
)
def test_only_a_clear_answer_opens_a_connection(
    line: bytes, answer: bool | _relay_protocol.Reason
) -> None:
    """Guards against a request sent to something that is no relay."""
    assert _relay_protocol.decode_answer(line) is answer


@hypothesis.given(
    contents=st.lists(st.binary(min_size=1, max_size=300), max_size=6),
    cuts=st.lists(st.integers(0, 2_000), max_size=12),
    has_end=st.booleans(),
)
def test_frames_arrive_in_pieces_of_any_size(
    contents: list[bytes], cuts: list[int], has_end: bool
) -> None:
    """Guards against headers that are cut by the network."""
    data = b"".join(map(_relay_protocol.encode_frame, contents))
    if has_end:
        data += _relay_protocol.END_FRAME
    decoder = _relay_protocol.FrameDecoder()
    positions = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    received = b"".join(
        decoder.feed(data[start:end])
        for start, end in itertools.pairwise(positions)
    )
    assert received == b"".join(contents)
    assert decoder.has_ended is has_end
    assert not decoder.is_malformed


def test_nothing_follows_the_end_or_a_frame_that_is_too_long() -> None:
    decoder = _relay_protocol.FrameDecoder()
    assert decoder.feed(_relay_protocol.END_FRAME + b"\0\0\0\1a") == b""
    assert decoder.has_ended
    decoder = _relay_protocol.FrameDecoder()
    assert decoder.feed(b"\0\0\0\1a\xff\xff\xff\xffbcd") == b"a"
    assert decoder.is_malformed
    assert decoder.feed(b"\0\0\0\1a") == b""
