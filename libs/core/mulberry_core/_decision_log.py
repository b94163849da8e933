"""Structured log of decisions: non-blocking and rate-limited."""

import collections
import json
import os
import sys
import threading
from typing import Any

from mulberry_core import _clock

#: Queued lines, about 2 MB; further lines are dropped and counted.
MAX_QUEUED_LINES = 8_192
#: Time between two writes, seconds, so that one system call writes many lines.
_WRITE_PERIOD_S = 0.2
#: Longest wait of `stop` for the last write, seconds; well below the time that
#: a shutdown reserves for its last steps.
_STOP_TIMEOUT_S = 0.2
#: Lines per second above which lines without `keep` are dropped.
MAX_LINES_PER_S = 400


class DecisionLog:
    """Writes one JSON object per line to standard output.

    `note` only appends to a queue, which a thread writes out. A reader of
    standard output that stops reading therefore blocks only that thread.
    """

    def __init__(self, clock: _clock.Clock, fd: int | None = None) -> None:
        self._clock = clock
        self._fd = sys.stdout.fileno() if fd is None else fd
        self._lock = threading.Lock()
        self._queue: collections.deque[dict[str, Any]] = collections.deque()
        self._dropped = 0
        self._current_second = 0
        self._lines_in_second = 0
        self._stopping = threading.Event()
        #: Set while lines are queued, and on `stop`.
        self._wake = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="decision log", daemon=True
        )

    def start(self) -> None:
        """Starts the writing thread."""
        self._thread.start()

    def stop(self) -> None:
        """Waits for a bounded time until the queued lines are written."""
        self._stopping.set()
        self._wake.set()
        if self._thread.is_alive():
            self._thread.join(timeout=_STOP_TIMEOUT_S)

    def note(self, event: str, /, *, keep: bool = False, **fields: Any) -> None:
        """Queues one line.

        Args:
            event: Name of the event, for example `request`.
            keep: Exempts the line from the rate limit, for failures.
            **fields: Inputs, their age or version, and the outcome.
        """
        now_s = self._clock.now()
        with self._lock:
            if int(now_s) != self._current_second:
                self._current_second, self._lines_in_second = int(now_s), 0
            self._lines_in_second += 1
            if len(self._queue) >= MAX_QUEUED_LINES or (
                not keep and self._lines_in_second > MAX_LINES_PER_S
            ):
                self._dropped += 1
                return
            if not self._queue:
                self._wake.set()
            self._queue.append(
                {
                    "at": round(self._clock.wall(), 3),
                    "t": round(now_s, 4),
                    "event": event,
                    **fields,
                }
            )

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait()
            self._stopping.wait(_WRITE_PERIOD_S)
            self._wake.clear()
            self._write()
        self._write()

    def _write(self) -> None:
        with self._lock:
            lines = list(self._queue)
            self._queue.clear()
            dropped, self._dropped = self._dropped, 0
        if dropped:
            lines.append(
                {
                    "at": round(self._clock.wall(), 3),
                    "event": "log_lines_dropped",
                    "count": dropped,
                }
            )
        if not lines:
            return
        text = "".join(
            json.dumps(line, separators=(",", ":"), default=str) + "\n"
            for line in lines
        )
        data = text.encode()
        try:
            while data:
                data = data[os.write(self._fd, data) :]
        except OSError:
            # The reader is gone, so that this error cannot be logged either.
            return
