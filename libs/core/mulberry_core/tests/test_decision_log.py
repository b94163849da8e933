"""Tests of the decision log: rate limit and non-blocking callers."""

import json
import os
import threading
import time
from collections.abc import Iterator

import pytest

import mulberry_core as core
from mulberry_core import _decision_log

#: Longest wait for a thread or a line, seconds.
_TIMEOUT_S = 20.0


@pytest.fixture(name="pipe")
def fixture_pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _fill_pipe(writer: int) -> None:
    """Fills a pipe, so that the next write blocks."""
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"x" * 4096)
    except BlockingIOError:
        os.set_blocking(writer, True)


def _read_lines_until(reader: int, last: str) -> list[dict[str, object]]:
    """Returns the lines read until a line of the event `last`.

    Polls, because `stop` waits only briefly for the writing thread.
    """
    os.set_blocking(reader, False)
    data = b""
    until_s = time.monotonic() + _TIMEOUT_S
    while time.monotonic() < until_s:
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            time.sleep(0.01)
        if data.endswith(b"\n"):
            lines = [json.loads(line) for line in data.splitlines()]
            if lines[-1]["event"] == last:
                return lines
    raise AssertionError(f"no line of event {last} was written")


def test_lines_have_event_fields_and_both_clocks(
    pipe: tuple[int, int],
) -> None:
    reader, writer = pipe
    log = core.DecisionLog(core.ManualClock(5.0, 100.0), writer)
    log.start()
    log.note("request", id="r-1", status=200)
    log.stop()
    assert _read_lines_until(reader, "request") == [
        {"at": 100.0, "t": 5.0, "event": "request", "id": "r-1", "status": 200}
    ]


def test_stop_does_not_wait_for_a_blocked_reader(
    pipe: tuple[int, int],
) -> None:
    """Guards against a shutdown that blocks until the process is killed."""
    _, writer = pipe
    _fill_pipe(writer)
    log = core.DecisionLog(core.ManualClock(), writer)
    log.start()
    log.note("stopped", keep=True)
    stopping = threading.Thread(target=log.stop, daemon=True)
    stopping.start()
    stopping.join(timeout=_TIMEOUT_S)
    assert not stopping.is_alive()


def test_rate_limit_drops_ordinary_lines_only(
    pipe: tuple[int, int],
) -> None:
    """Guards against failures dropped because of many successful requests."""
    reader, writer = pipe
    clock = core.ManualClock()
    log = core.DecisionLog(clock, writer)
    for _ in range(_decision_log.MAX_LINES_PER_S + 50):
        log.note("request")
    log.note("refused", keep=True)
    log.start()
    log.stop()
    lines = _read_lines_until(reader, "log_lines_dropped")
    kinds = [line["event"] for line in lines]
    assert kinds.count("request") == _decision_log.MAX_LINES_PER_S
    assert kinds.count("refused") == 1
    assert lines[-1]["event"] == "log_lines_dropped"
    assert lines[-1]["count"] == 50


def test_full_queue_drops_and_counts_lines(pipe: tuple[int, int]) -> None:
    """Guards against unbounded memory while the log is not read."""
    reader, writer = pipe
    log = core.DecisionLog(core.ManualClock(), writer)
    for number in range(_decision_log.MAX_QUEUED_LINES + 3):
        log.note("refused", keep=True, number=number)
    log.start()
    threading.Thread(target=log.stop, daemon=True).start()
    last = _read_lines_until(reader, "log_lines_dropped")[-1]
    assert last["count"] == 3
