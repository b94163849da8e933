"""Signals, handled on threads of their own."""

import queue
import signal
import threading
from collections.abc import Callable, Iterable


def call_on_termination(callback: Callable[[int], None]) -> None:
    """Calls back for each SIGTERM or SIGINT; for the main thread only.

    Args:
        callback: Gets the number of signals so far, from 1.
    """
    _deliver((signal.SIGTERM, signal.SIGINT), callback)


def call_on_hangup(callback: Callable[[int], None]) -> None:
    """Calls back for each SIGHUP; for the main thread only.

    Args:
        callback: Gets the number of signals so far, from 1.
    """
    _deliver((signal.SIGHUP,), callback)


def _deliver(
    numbers: Iterable[signal.Signals], callback: Callable[[int], None]
) -> None:
    """Calls back on a thread for each of these signals.

    A signal handler runs on the main thread between two instructions. If it
    set an event that the main thread waits for, or took a lock that the main
    thread holds, the process would hang. The handler therefore only puts into
    a queue, which is safe at any point.
    """
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()

    def run() -> None:
        count = 0
        while True:
            signals.get()
            count += 1
            callback(count)

    threading.Thread(target=run, name="signals", daemon=True).start()
    for number in numbers:
        signal.signal(number, lambda received, frame: signals.put(received))
