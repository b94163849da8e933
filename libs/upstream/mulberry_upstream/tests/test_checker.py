"""Property tests of the event splitter and the answer checker."""

import itertools
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

import mulberry_core as core
import mulberry_upstream as upstream

_ID = "request-7"


def _chunk(number: int, delta: dict[str, Any], finish: str | None) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    body = {"id": f"chatcmpl-{_ID}", "choices": [choice]}
    return f"id: {number}\ndata: {json.dumps(body)}\n\n".encode()


def _answer(texts: list[str]) -> list[bytes]:
    events = [_chunk(1, {"role": "assistant", "content": ""}, None)]
    for text in texts:
        events.append(_chunk(len(events) + 1, {"content": text}, None))
    events.append(_chunk(len(events) + 1, {}, "stop"))
    usage = {"prompt_tokens": 3, "completion_tokens": len(texts)}
    last = {"id": f"chatcmpl-{_ID}", "choices": [], "usage": usage}
    events.append(
        f"id: {len(events) + 1}\ndata: {json.dumps(last)}\n\n".encode()
    )
    done = f"id: {len(events) + 1}\ndata: [DONE]\n\n".encode()
    return [*events, done]


_texts = st.lists(st.text(min_size=1, max_size=5), max_size=6)
_raw = st.lists(
    st.sampled_from([b"a", b"\n", b"\r", b"data: x", b"\n\n", b"\r\n\r\n"]),
    max_size=30,
).map(b"".join)


def _feed(data: bytes, cuts: list[int]) -> tuple[list[bytes], int]:
    splitter = upstream.SseSplitter()
    events = []
    positions = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    for start, end in itertools.pairwise(positions):
        events.extend(splitter.feed(data[start:end]))
    return events, splitter.pending_bytes


@given(_raw, st.lists(st.integers(0, 120), max_size=20))
def test_events_do_not_depend_on_read_boundaries(
    data: bytes, cuts: list[int]
) -> None:
    """Guards against events that depend on how reads split the stream."""
    whole, pending = _feed(data, [])
    assert _feed(data, cuts) == (whole, pending)
    assert len(b"".join(whole)) + pending == len(data)
    assert data.startswith(b"".join(whole))


@given(_texts, st.lists(st.integers(0, 2000), max_size=20))
def test_valid_answers_pass_with_any_read_boundaries(
    texts: list[str], cuts: list[int]
) -> None:
    """Guards against rejecting valid answers."""
    events, _ = _feed(b"".join(_answer(texts)), cuts)
    checker = upstream.AnswerChecker(_ID)
    verdicts = [checker.accept(event) for event in events]
    passed = len(texts) + 1
    assert verdicts[:passed] == [upstream.Verdict.PASS] * passed
    assert verdicts[passed:] == [upstream.Verdict.HOLD] * 3
    assert checker.done
    assert checker.text == "".join(texts)
    assert checker.usage == upstream.Usage(3, len(texts))
    assert checker.tail == b"".join(events[passed:])


@given(_texts, st.data())
def test_corrupted_answer_is_never_complete(
    texts: list[str], data: st.DataObject
) -> None:
    """Guards against accepting lost, repeated, swapped or corrupt events."""
    events = _answer(texts)
    # Losing or repeating [DONE] itself is covered by the final check.
    index = data.draw(st.integers(0, len(events) - 2), label="index")
    change = data.draw(
        st.sampled_from(["lose", "repeat", "swap", "cut", "garble", "cross"])
    )
    if change == "lose":
        del events[index]
    elif change == "repeat":
        events.insert(index, events[index])
    elif change == "swap":
        events[index : index + 2] = events[index : index + 2][::-1]
    elif change == "cut":
        del events[index + 1 :]
    elif change == "garble":
        # Without its last brace the chunk is no longer JSON.
        events[index] = events[index].removesuffix(b"}\n\n") + b"\n\n"
    else:
        events[index] = events[index].replace(_ID.encode(), b"request-8")
    checker = upstream.AnswerChecker(_ID)
    for event in events:
        if isinstance(checker.accept(event), upstream.Fault):
            return
    assert not checker.done


@given(_texts, st.integers(0, 8))
def test_rerun_forwards_each_chunk_once(texts: list[str], cut: int) -> None:
    """Guards against forwarding a chunk twice or not at all."""
    events = _answer(texts)
    first = upstream.AnswerChecker(_ID)
    forwarded = [
        event
        for event in events[:cut]
        if first.accept(event) is upstream.Verdict.PASS
    ]
    second = first.for_rerun()
    forwarded += [
        event
        for event in events
        if second.accept(event) is upstream.Verdict.PASS
    ]
    assert second.done
    assert b"".join(forwarded) + second.tail == b"".join(events)


def test_truncated_rerun_keeps_forwarded_chunks() -> None:
    """Guards against a third run that forwards chunks of the first again."""
    events = _answer(["a", "b", "c"])
    first = upstream.AnswerChecker(_ID)
    for event in events[:3]:
        first.accept(event)
    second = first.for_rerun()
    second.accept(events[0])
    third = second.for_rerun()
    verdicts = [third.accept(event) for event in events[:4]]
    assert verdicts == [upstream.Verdict.DROP] * 3 + [upstream.Verdict.PASS]


def _unnumbered(events: list[bytes]) -> list[bytes]:
    return [event[event.index(b"data:") :] for event in events]


def test_duplicate_unnumbered_chunk_exceeds_usage() -> None:
    """Guards against duplicates from engines that send no event numbers."""
    events = _unnumbered(_answer(["a", "b"]))
    checker = upstream.AnswerChecker(_ID)
    events.insert(1, events[1])
    verdicts = [checker.accept(event) for event in events]
    assert isinstance(verdicts[-1], upstream.Fault)
    assert not checker.done


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        (b"{", core.ErrorKind.ANSWER_INCOMPLETE),
        (b"[]", core.ErrorKind.ANSWER_INCOMPLETE),
        (b'{"id": "chatcmpl-other"}', core.ErrorKind.ANSWER_MISMATCHED),
        (b'{"id": 7}', core.ErrorKind.ANSWER_MISMATCHED),
        (b'{"id": "c-request-7"}', core.ErrorKind.ANSWER_INCOMPLETE),
        (
            b'{"id": "c-request-7", "choices": [{"message": {}}]}',
            core.ErrorKind.ANSWER_INCOMPLETE,
        ),
    ],
)
def test_invalid_whole_answers_are_rejected(
    body: bytes, kind: core.ErrorKind
) -> None:
    """Guards against truncated answers and answers to another request."""
    checked = upstream.check_whole_answer(body, _ID)
    assert isinstance(checked, upstream.Fault)
    assert checked.kind is kind


@given(st.binary(max_size=60))
def test_arbitrary_events_never_raise(data: bytes) -> None:
    """Guards against malformed events that crash an entry."""
    checker = upstream.AnswerChecker(_ID)
    checker.accept(b"data: " + data + b"\n\n")
    upstream.check_whole_answer(data, _ID)
    assert not checker.done
