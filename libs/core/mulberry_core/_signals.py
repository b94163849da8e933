"""Signals, handled on a thread of their own."""

import os
import signal
import threading
from collections.abc import Callable, Iterable

from absl import logging

#: Bytes of the pipe read at once; each stands for one signal.
_READ_BYTES = 256


def call_on_termination(callback: Callable[[int], None]) -> None:
    """Calls back for each SIGTERM or SIGINT; for the main thread only.

    Args:
        callback: Gets the number of signals so far, from 1.
    """
    _signal_receiver().register((signal.SIGTERM, signal.SIGINT), callback)


def call_on_hangup(callback: Callable[[int], None]) -> None:
    """Calls back for each SIGHUP; for the main thread only.

    Args:
        callback: Gets the number of signals so far, from 1.
    """
    _signal_receiver().register((signal.SIGHUP,), callback)


class _CountingCallback:
    """Calls back with the number of signals so far."""

    def __init__(self, callback: Callable[[int], None]) -> None:
        self._callback = callback
        self._count = 0

    def __call__(self) -> None:
        self._count += 1
        self._callback(self._count)


class _SignalReceiver:
    """Reads the numbers of signals from a pipe, on its own thread.

    Handlers in Python run on the main thread only. A signal that the system
    delivers to another thread, as it does with the second of two that come
    together, does not end the wait of the main thread, and its handler would
    run when something else does. The interpreter writes to the pipe on
    whatever thread the signal arrives.
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
        """Calls back for each of these signals from now on."""
        counting_callback = _CountingCallback(callback)
        for number in numbers:
            self._callback_by_signal[number] = counting_callback
            # Only signals with a handler in Python are written to the pipe.
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
    """Returns the receiver of the process; it has one pipe for signals."""
    with _lock:
        if not _receivers:
            _receivers.append(_SignalReceiver())
        return _receivers[0]
