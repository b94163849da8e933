"""Signal handling on a dedicated thread."""

import os
import signal
import threading
from collections.abc import Callable, Iterable

from absl import logging

#: Largest number of signals per read of the pipe, one byte each.
_READ_BYTES = 256


def call_on_termination(callback: Callable[[int], None]) -> None:
    """Registers a callback for SIGTERM and SIGINT; main thread only.

    Args:
        callback: Called for each signal with the number of signals so far,
            from 1.
    """
    _signal_receiver().register((signal.SIGTERM, signal.SIGINT), callback)


def call_on_hangup(callback: Callable[[int], None]) -> None:
    """Registers a callback for SIGHUP; main thread only.

    Args:
        callback: Called for each signal with the number of signals so far,
            from 1.
    """
    _signal_receiver().register((signal.SIGHUP,), callback)


class _CountingCallback:
    """Calls a callback with the number of signals so far."""

    def __init__(self, callback: Callable[[int], None]) -> None:
        self._callback = callback
        self._count = 0

    def __call__(self) -> None:
        self._count += 1
        self._callback(self._count)


class _SignalReceiver:
    """Reads signal numbers from the wakeup pipe on its own thread.

    Python runs signal handlers on the main thread only. A signal delivered to
    another thread, as the kernel does with the second of two that arrive
    together, does not interrupt a wait of the main thread, so that its
    handler would run late. The interpreter writes to the wakeup pipe on
    whichever thread receives the signal.
    """

    def __init__(self) -> None:
        self._callback_by_signal: dict[int, _CountingCallback] = {}
        self._read_fd, write_fd = os.pipe()
        os.set_blocking(write_fd, False)
        signal.set_wakeup_fd(write_fd, warn_on_full_buffer=False)
        threading.Thread(target=self._run, name="signals", daemon=True).start()

    def register(
        self,
        numbers: Iterable[signal.Signals],
        callback: Callable[[int], None],
    ) -> None:
        """Registers a callback for these signals, which share one count."""
        counting_callback = _CountingCallback(callback)
        for number in numbers:
            self._callback_by_signal[number] = counting_callback
            # The interpreter writes only signals with a Python handler.
            signal.signal(number, lambda received, frame: None)

    def _run(self) -> None:
        while True:
            for number in os.read(self._read_fd, _READ_BYTES):
                counting_callback = self._callback_by_signal.get(number)
                if counting_callback is None:
                    continue
                try:
                    counting_callback()
                except Exception:
                    logging.exception("handling signal %d failed", number)


_lock = threading.Lock()
_receivers: list[_SignalReceiver] = []


def _signal_receiver() -> _SignalReceiver:
    """Returns the only receiver: a process has one wakeup pipe."""
    with _lock:
        if not _receivers:
            _receivers.append(_SignalReceiver())
        return _receivers[0]
