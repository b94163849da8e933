"""Tests of termination signals."""

import os
import signal
import subprocess
import sys
import threading

import mulberry_core as core

_SIGNAL_COUNT = 200


def test_signals_in_quick_succession_do_not_block() -> None:
    """Guards against a process that hangs on repeated signals."""
    before = {
        number: signal.getsignal(number)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    done = threading.Event()

    def count_signals(count: int) -> None:
        if count == _SIGNAL_COUNT:
            done.set()

    try:
        core.call_on_termination(count_signals)
        for _ in range(_SIGNAL_COUNT):
            os.kill(os.getpid(), signal.SIGTERM)
            done.wait(0.001)
        assert done.wait(10)
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


#: The main thread waits while a signal is delivered to another thread.
_WAITING_PROGRAM = """
import signal, threading, time
import mulberry_core as core
stopping = threading.Event()
core.call_on_termination(lambda count: stopping.set())
idle = threading.Thread(target=time.sleep, args=(60.0,), daemon=True)
idle.start()
threading.Timer(
    0.2, signal.pthread_kill, (idle.ident, signal.SIGTERM)
).start()
print(stopping.wait())
import os
os._exit(0)
"""


def test_signal_on_another_thread_wakes_the_main_thread() -> None:
    """Guards against a SIGTERM that is lost right after a SIGHUP.

    The kernel may deliver the second signal to any thread.
    """
    process = subprocess.Popen(
        [sys.executable, "-c", _WAITING_PROGRAM], stdout=subprocess.PIPE
    )
    try:
        process.wait(timeout=10.0)
    finally:
        process.kill()
    assert process.returncode == 0


def test_each_signal_calls_only_its_own_callback() -> None:
    """Guards against a SIGHUP handled as a termination."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = {number: signal.getsignal(number) for number in numbers}
    hung_up, terminated = threading.Event(), threading.Event()
    try:
        core.call_on_hangup(lambda count: hung_up.set())
        core.call_on_termination(lambda count: terminated.set())
        os.kill(os.getpid(), signal.SIGHUP)
        assert hung_up.wait(10)
        assert not terminated.is_set()
        os.kill(os.getpid(), signal.SIGTERM)
        assert terminated.wait(10)
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)
