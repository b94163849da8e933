"""Whole exchanges, driven by the thread that waits for them.

Each transfer has a multi handle of its own, so that the waiting thread can
look at its limits and at the caller between two waits. Streams of tokens go
through `_loop` instead.
"""

import threading
import time
from collections.abc import Callable

import pycurl

import mulberry_core as core
from mulberry_upstream import _exchange, _loop

#: Longest wait between looks at the caller's connection, seconds.
_LOOK_PERIOD_S = 0.25
#: Wait while libcurl has no socket to wait for, seconds.
_NO_SOCKET_WAIT_S = 0.001
#: All answers that are kept whole at one time: four of the largest.
_ALL_BYTES = 4 * _exchange.MAX_BODY_BYTES


def _new_multi() -> pycurl.CurlMulti:
    multi = pycurl.CurlMulti()
    multi.setopt(pycurl.M_MAXCONNECTS, 1)
    return multi


class HandlePool:
    """Keeps idle multi handles, each with at most one kept connection.

    Also holds the loop of the streams, which is started when it is needed.
    """

    def __init__(
        self,
        max_idle: int = 64,
        body_limits: core.BodyLimits | None = None,
    ) -> None:
        """Creates a pool without handles.

        Args:
            max_idle: Handles that are kept.
            body_limits: For the whole answers of all its exchanges.
        """
        self.body_limits = body_limits or core.BodyLimits(
            _exchange.MAX_BODY_BYTES, _ALL_BYTES
        )
        self._lock = threading.Lock()
        self._max_idle = max_idle
        self._idle: list[tuple[str, pycurl.CurlMulti]] = []
        self._loop: _loop.StreamLoop | None = None

    @property
    def idle(self) -> int:
        """Handles that wait for their next use."""
        with self._lock:
            return len(self._idle)

    def stream_loop(self) -> _loop.StreamLoop:
        """Returns the loop that all streams share."""
        with self._lock:
            if self._loop is None:
                self._loop = _loop.StreamLoop(self._max_idle)
            return self._loop

    def take(self, address: str) -> pycurl.CurlMulti:
        """Returns a handle, preferably one connected to `address`."""
        with self._lock:
            for place in range(len(self._idle) - 1, -1, -1):
                if self._idle[place][0] == address:
                    return self._idle.pop(place)[1]
        return _new_multi()

    def give_back(self, address: str, handle: pycurl.CurlMulti) -> None:
        """Keeps a handle, and closes the oldest one if there are too many."""
        with self._lock:
            self._idle.append((address, handle))
            surplus = self._idle[: -self._max_idle]
            del self._idle[: -self._max_idle]
        for _, old in surplus:
            old.close()

    def close(self) -> None:
        """Closes all idle handles and stops the streams."""
        with self._lock:
            idle, self._idle = self._idle, []
            loop, self._loop = self._loop, None
        for _, handle in idle:
            handle.close()
        if loop is not None:
            loop.stop()


class Transfer(_exchange.Exchange):
    """One running exchange; used by one thread at a time, except `cancel`."""

    def __init__(
        self,
        pool: HandlePool,
        request: _exchange.HttpRequest,
        bounds: _exchange.Bounds,
        is_abandoned: Callable[[], bool],
    ) -> None:
        """Prepares the exchange; nothing is sent before the first `step`."""
        super().__init__(request, bounds, is_abandoned)
        self._pool = pool
        self._stepping = threading.Lock()
        self._received: list[bytes] = []
        #: Size that the limits of the pool have granted, bytes.
        self._granted_bytes = 0
        self._started = False
        self._multi = pool.take(request.address)
        self._multi.add_handle(self._easy)

    def cancel(self) -> None:
        """Ends the exchange, from any thread.

        A step that runs on another thread ends it within 250 ms; otherwise
        the connection is closed at once.
        """
        self._canceled = True
        if self._stepping.acquire(blocking=False):
            try:
                if self._end is None:
                    self._finish(_exchange.End.CANCELED)
            finally:
                self._stepping.release()

    def step(self) -> bytes:
        """See `Exchange`."""
        with self._stepping:
            if self._end is not None:
                return b""
            if self._started:
                self._wait()
            self._started = True
            self._perform()
            self._check_limits()
            data = b"".join(self._received)
            self._received.clear()
            return data

    def _on_body(self, data: bytes) -> int | None:
        if not self._count(data) or not self._grow():
            return _exchange.ABORT
        self.note_progress()
        self._received.append(data)
        return None

    def _grow(self) -> bool:
        """Counts the body towards those of all exchanges."""
        size_bytes = self._received_bytes
        if not self._pool.body_limits.reserve(self._granted_bytes, size_bytes):
            self._is_oversize = True
            return False
        self._granted_bytes = size_bytes
        return True

    def _perform(self) -> None:
        _, running = self._multi.perform()
        if running:
            return
        _, _, failed = self._multi.info_read()
        _, code, message = failed[0] if failed else (None, pycurl.E_OK, "")
        self._settle_done(code, message)
        self._release()

    def _wait(self) -> None:
        wait_s = max(0.0, min(_LOOK_PERIOD_S, self._until_limit_s()))
        if self._multi.select(wait_s) < 0:
            time.sleep(_NO_SOCKET_WAIT_S)

    def _check_limits(self) -> None:
        if self._end is not None:
            return
        end = self._limit_passed()
        if end is None and not self._received and self._is_abandoned():
            end = _exchange.End.CANCELED
        if end is not None:
            self._finish(end)

    def _finish(self, end: _exchange.End) -> None:
        self._settle(end)
        self._release()

    def _release(self) -> None:
        # Removing an easy handle in mid-transfer closes its connection.
        self._multi.remove_handle(self._easy)
        self._easy.close()
        self._pool.body_limits.release(self._granted_bytes)
        self._pool.give_back(self._request.address, self._multi)
