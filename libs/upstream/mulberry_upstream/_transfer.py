"""Non-streamed exchanges, driven by the thread that waits for them.

Each transfer has a multi handle of its own, so that the waiting thread can
check the limits and the caller between two waits. Event streams use `_loop`
instead.
"""

import threading
import time
from collections.abc import Callable

import pycurl

import mulberry_core as core
from mulberry_upstream import _exchange, _loop

#: Maximum interval between checks of the caller's connection, seconds.
_CHECK_PERIOD_S = 0.25
#: Sleep while libcurl has no socket to wait on, seconds.
_NO_SOCKET_WAIT_S = 0.001
#: Default limit on all buffered bodies together: four of maximum size.
_MAX_TOTAL_BYTES = 4 * _exchange.MAX_BODY_BYTES


def _new_multi() -> pycurl.CurlMulti:
    multi = pycurl.CurlMulti()
    multi.setopt(pycurl.M_MAXCONNECTS, 1)
    return multi


class HandlePool:
    """Pool of idle multi handles, each with at most one open connection.

    Also owns the event loop of the streams, which is started on first use.
    """

    def __init__(
        self,
        max_idle: int = 64,
        body_limits: core.BodyLimits | None = None,
    ) -> None:
        """Creates an empty pool.

        Args:
            max_idle: Maximum number of idle handles.
            body_limits: Memory budget shared by all buffered bodies.
        """
        self.body_limits = body_limits or core.BodyLimits(
            _exchange.MAX_BODY_BYTES, _MAX_TOTAL_BYTES
        )
        self._lock = threading.Lock()
        self._max_idle = max_idle
        self._idle: list[tuple[str, pycurl.CurlMulti]] = []
        self._loop: _loop.StreamLoop | None = None

    @property
    def idle(self) -> int:
        """Number of idle handles."""
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
            for index in range(len(self._idle) - 1, -1, -1):
                if self._idle[index][0] == address:
                    return self._idle.pop(index)[1]
        return _new_multi()

    def give_back(self, address: str, handle: pycurl.CurlMulti) -> None:
        """Returns a handle to the pool and closes the oldest surplus ones."""
        with self._lock:
            self._idle.append((address, handle))
            surplus = self._idle[: -self._max_idle]
            del self._idle[: -self._max_idle]
        for _, old in surplus:
            old.close()

    def close(self) -> None:
        """Closes all idle handles and cancels the streams."""
        with self._lock:
            idle, self._idle = self._idle, []
            loop, self._loop = self._loop, None
        for _, handle in idle:
            handle.close()
        if loop is not None:
            loop.stop()


class Transfer(_exchange.Exchange):
    """One buffered exchange; only `cancel` may be called concurrently."""

    def __init__(
        self,
        pool: HandlePool,
        request: _exchange.HttpRequest,
        limits: _exchange.ExchangeLimits,
        is_abandoned: Callable[[], bool],
    ) -> None:
        """Prepares the exchange; nothing is sent before the first `step`."""
        super().__init__(request, limits, is_abandoned)
        self._pool = pool
        self._step_lock = threading.Lock()
        self._received: list[bytes] = []
        #: Bytes reserved in the memory budget of the pool.
        self._reserved_bytes = 0
        self._started = False
        self._multi = pool.take(request.address)
        self._multi.add_handle(self._easy)

    def cancel(self) -> None:
        """Cancels the exchange, from any thread.

        If a step is running on another thread, that step ends the exchange
        within 250 ms; otherwise the connection is closed at once.
        """
        self._canceled = True
        if self._step_lock.acquire(blocking=False):
            try:
                if self._end is None:
                    self._finish(_exchange.End.CANCELED)
            finally:
                self._step_lock.release()

    def step(self) -> bytes:
        """See `Exchange`."""
        with self._step_lock:
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
        if not self._count_body(data) or not self._reserve_body_bytes():
            return _exchange.ABORT
        self.note_progress()
        self._received.append(data)
        return None

    def _reserve_body_bytes(self) -> bool:
        """Reserves the received bytes in the pool's memory budget."""
        size_bytes = self._received_bytes
        if not self._pool.body_limits.reserve(self._reserved_bytes, size_bytes):
            self._is_oversize = True
            return False
        self._reserved_bytes = size_bytes
        return True

    def _perform(self) -> None:
        _, running = self._multi.perform()
        if running:
            return
        _, _, failed = self._multi.info_read()
        _, code, message = failed[0] if failed else (None, pycurl.E_OK, "")
        self._record_curl_result(code, message)
        self._release()

    def _wait(self) -> None:
        wait_s = max(0.0, min(_CHECK_PERIOD_S, self._remaining_s()))
        if self._multi.select(wait_s) < 0:
            time.sleep(_NO_SOCKET_WAIT_S)

    def _check_limits(self) -> None:
        if self._end is not None:
            return
        end = self._exceeded_limit()
        if end is None and not self._received and self._is_abandoned():
            end = _exchange.End.CANCELED
        if end is not None:
            self._finish(end)

    def _finish(self, end: _exchange.End) -> None:
        self._record_end(end)
        self._release()

    def _release(self) -> None:
        # Removing an easy handle during a transfer closes its connection.
        self._multi.remove_handle(self._easy)
        self._easy.close()
        self._pool.body_limits.release(self._reserved_bytes)
        self._pool.give_back(self._request.address, self._multi)
