"""Tests of termination signals."""

import os
import signal
import threading

import mulberry_core as core

_SIGNALS = 200


def test_signals_in_quick_succession_do_not_block() -> None:
    """Guards against a process that hangs when it is signalled twice."""
    before = {
        number: signal.getsignal(number)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    done = threading.Event()

    def count_signals(count: int) -> None:
        if count == _SIGNALS:
            done.set()

    try:
        core.call_on_termination(count_signals)
        for _ in range(_SIGNALS):
            os.kill(os.getpid(), signal.SIGTERM)
            done.wait(0.001)
        assert done.wait(10)
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
