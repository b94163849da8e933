"""Tests of draining the chat entry before its server stops."""

import json
import threading
import time
from collections.abc import Iterator

import pytest

from mulberry_daemon import _drain
from mulberry_entry.tests import harness

_NO_WAIT_S = -_drain._PROPAGATION_S


@pytest.fixture
def entry() -> Iterator[harness.Harness]:
    started = harness.Harness()
    started.add_engine("engine-1")
    started.add_service("taller-1")
    yield started
    started.stop()


def test_requests_after_the_drain_are_refused(entry: harness.Harness) -> None:
    """Guards against requests that are cut while the server stops.

    The server answers what arrives until it has stopped, and ends what still
    runs 5 s later: a chat that was sent to an engine in that time was cut.
    """
    _drain.drain(entry.app, _NO_WAIT_S, threading.Event())
    chat = entry.chat()
    deposit = entry.send("POST", "/services/taller/deposits", {"sum": 1})
    for status, headers, body in (chat, deposit):
        assert status == 503
        assert headers["Retry-After"] == "1"
        assert json.loads(body)["run"] == "not_run"
    assert entry.runs() == []
    assert entry.send("GET", "/v1/entries")[0] == 200


def test_the_drain_awaits_a_request_that_began_at_its_end(
    entry: harness.Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request accepted just before others are refused."""
    entry.set_faults("engine-1", token_s=0.1)
    refuse = entry.app.refuse_requests
    answers: list[int] = []
    chat = threading.Thread(target=lambda: answers.append(entry.chat()[0]))

    def start_chat_then_refuse() -> None:
        chat.start()
        while not entry.app.active_requests or not entry.runs():
            time.sleep(0.01)
        refuse()

    monkeypatch.setattr(entry.app, "refuse_requests", start_chat_then_refuse)
    _drain.drain(entry.app, _NO_WAIT_S, threading.Event())
    assert entry.app.active_requests == 0
    chat.join()
    assert answers == [200]


def test_callers_with_old_addresses_do_not_prevent_the_stop(
    entry: harness.Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stop that never ends.

    The drain waited for a second without requests. A caller that ignores the
    entry list and nearly always has a request running kept it from ending.
    """
    monkeypatch.setattr(_drain, "_MAX_IDLE_WAIT_S", 2.0)
    entry.set_faults("engine-1", token_s=0.1)
    drained = threading.Event()
    statuses: set[int] = set()

    def send() -> None:
        while not drained.wait(0.2):
            statuses.add(entry.chat()[0])

    caller = threading.Thread(target=send)
    caller.start()
    forced = threading.Event()
    force = threading.Timer(8.0, forced.set)
    force.start()
    _drain.drain(entry.app, _NO_WAIT_S, forced)
    force.cancel()
    drained.set()
    caller.join()
    assert not forced.is_set()
    assert statuses <= {200, 503}
