"""Termination signals, handled on a thread of their own."""

import queue
import signal
import threading
from collections.abc import Callable


def call_on_termination(callback: Callable[[int], None]) -> None:
    """Calls back for each SIGTERM or SIGINT; for the main thread only.

    A signal handler runs on the main thread between two instructions. If it
    set an event that the main thread waits for, a second signal could find
    the event's lock held by that same thread, and the process would hang. The
    handler therefore only puts into a queue, which is safe at any point.

    Args:
        callback: Gets the number of signals so far, from 1.
    """
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()

    def deliver() -> None:
        count = 0
        while True:
            signals.get()
            count += 1
            callback(count)

    threading.Thread(target=deliver, name="signals", daemon=True).start()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, frame: signals.put(received))
