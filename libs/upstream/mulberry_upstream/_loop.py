"""Event loop that receives the streams of all requests on one thread.

With a thread per stream, 100 streams of 40 tokens/s cause 4,000 thread
wake-ups a second, each with cold CPU caches and several acquisitions of the
interpreter lock. Receiving, checking and sending took 21% of a core with a
thread per stream, 17% on one thread, and 10% on one thread that waits 0.5 ms
after each iteration so that it reads several tokens at once (trial on
2026-12-04 with 100 streams and 4,000 events/s).
"""

import collections
import contextlib
import os
import select
import threading
import time
from collections.abc import Callable

import pycurl
from absl import logging

from mulberry_upstream import _exchange

#: Delay after each iteration that delivered data, seconds. It counts towards
#: the 1 ms that an entry may add between tokens.
_BATCH_DELAY_S = 0.0005
#: Interval between checks of limits and callers, seconds.
_CHECK_PERIOD_S = 0.1
#: Time without data after which the caller is checked, seconds.
_CALLER_CHECK_DELAY_S = 0.25
#: Bytes buffered for a slow reader before the transfer is paused.
_MAX_BUFFERED_BYTES = 262_144

_EPOLL_BY_CURL = {
    pycurl.POLL_IN: select.EPOLLIN,
    pycurl.POLL_OUT: select.EPOLLOUT,
    pycurl.POLL_INOUT: select.EPOLLIN | select.EPOLLOUT,
}


def _never() -> bool:
    return False


#: Receives bytes; after it returns false, further bytes are buffered until
#: the stream's own thread reads them.
Sink = Callable[[bytes], bool]


class LoopTransfer(_exchange.Exchange):
    """One streamed exchange, driven by a `StreamLoop`.

    Received bytes are buffered for `step`, or passed to the sink of `feed` on
    the loop's thread. Bytes alone do not reset the idle timeout: their reader
    calls `note_progress` for each whole event.
    """

    def __init__(
        self,
        loop: "StreamLoop",
        request: _exchange.HttpRequest,
        limits: _exchange.ExchangeLimits,
        is_abandoned: Callable[[], bool],
    ) -> None:
        """Prepares the exchange; the first `step` sends it."""
        super().__init__(request, limits, is_abandoned)
        self._loop = loop
        self._changed = threading.Condition()
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        #: Monotonic time since which the buffer has had unread bytes, seconds.
        self._unread_since_s = 0.0
        self._sink: Sink | None = None
        self._paused = False
        self._started = False
        self._reported_status = 0

    def step(self) -> bytes:
        """See `Exchange`; waits for bytes, headers or the end."""
        self._start()
        with self._changed:
            while (
                not self._buffer
                and self._end is None
                and self._status == self._reported_status
            ):
                self._changed.wait()
            self._reported_status = self._status
            self._exclude_unread_time()
            data = b"".join(self._buffer)
            self._buffer.clear()
            self._buffered_bytes = 0
            paused = self._paused
        if paused:
            self._loop.call_soon(self._unpause)
        return data

    def feed(self, sink: Sink) -> None:
        """Passes bytes to `sink` until it returns false or the stream ends.

        Bytes that are already buffered are passed on the calling thread, later
        ones on the loop's thread, where the sink must not block.
        """
        with self._changed:
            self._exclude_unread_time()
            while self._buffer:
                data = self._buffer.popleft()
                self._buffered_bytes -= len(data)
                if not sink(data):
                    return
            self._sink = sink
            if self._paused:
                self._loop.call_soon(self._unpause)
            while self._sink is not None and self._end is None:
                self._changed.wait()
            self._sink = None

    def cancel(self) -> None:
        """See `Exchange`."""
        with self._changed:
            self._canceled = True
            self._buffer.clear()
        if not self._started:
            self.finish(_exchange.End.CANCELED)
        elif self._end is None:
            self._loop.call_soon(self._finish_canceled)

    def drain(self) -> None:
        """Allows 1 s for the body to end, so that the connection is reused."""
        self._is_abandoned = _never
        self._deadline_s = min(self._deadline_s, time.monotonic() + 1.0)

    # The methods below run on the loop's thread.

    def attach(self, multi: pycurl.CurlMulti) -> None:
        """Starts the exchange."""
        multi.add_handle(self._easy)

    @property
    def paused(self) -> bool:
        """Whether receiving is paused because the reader is slow."""
        return self._paused

    @property
    def easy(self) -> pycurl.Curl:
        """The easy handle of this exchange."""
        return self._easy

    def finish_from_curl(self, code: int, message: str) -> None:
        """Records the result that libcurl reported."""
        with self._changed:
            self._record_curl_result(code, message)
            self._changed.notify_all()

    def finish(self, end: _exchange.End) -> None:
        """Records an end that was not reported by libcurl."""
        with self._changed:
            if self._end is None:
                self._record_end(end)
            self._changed.notify_all()

    def exceeded_limit(self) -> _exchange.End | None:
        """Returns the limit that has been exceeded, if there is one.

        A caller who has disconnected counts as a limit as well.
        """
        with self._changed:
            self._exclude_unread_time()
        end = self._exceeded_limit()
        since_data_s = time.monotonic() - self._last_data_s
        if (
            end is None
            and since_data_s > _CALLER_CHECK_DELAY_S
            and self._is_abandoned()
        ):
            return _exchange.End.CANCELED
        return end

    def _start(self) -> None:
        if not self._started:
            self._started = True
            self._loop.add(self)

    def _on_header(self, line: bytes) -> int | None:
        result = super()._on_header(line)
        if self._status:
            with self._changed:
                self._changed.notify_all()
        return result

    def _on_body(self, data: bytes) -> int | None:
        with self._changed:
            if self._canceled:
                return _exchange.ABORT
            if (
                self._sink is None
                and self._buffered_bytes > _MAX_BUFFERED_BYTES
            ):
                self._paused = True
                return int(pycurl.WRITEFUNC_PAUSE)
            if not self._count_body(data):
                return _exchange.ABORT
            if self._sink is None:
                if not self._buffer:
                    self._unread_since_s = time.monotonic()
                self._buffer.append(data)
                self._buffered_bytes += len(data)
                self._changed.notify_all()
            else:
                self._loop.note_delivery()
                if not self._sink(data):
                    self._sink = None
                    self._changed.notify_all()
        return None

    def _exclude_unread_time(self) -> None:
        """Excludes the time that bytes were buffered from the idle time.

        Otherwise a slow reader would count as an idle upstream. Called with
        the lock held, also before buffered bytes are removed.
        """
        if self._buffer:
            now_s = time.monotonic()
            self._idle_since_s += now_s - self._unread_since_s
            self._unread_since_s = now_s

    def _unpause(self) -> None:
        if self._paused and self._end is None:
            self._paused = False
            self._easy.pause(pycurl.PAUSE_CONT)

    def _finish_canceled(self) -> None:
        self._loop.abort(self, _exchange.End.CANCELED)


class StreamLoop:
    """Event loop that drives all streams of a process on one thread."""

    def __init__(self, max_kept_connections: int) -> None:
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_kept_connections)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._epoll = select.epoll()
        self._registered_fds: set[int] = set()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._epoll.register(self._wake_fd, select.EPOLLIN)
        self._pending_calls: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._transfer_by_easy: dict[pycurl.Curl, LoopTransfer] = {}
        self._timer_at_s: float | None = None
        self._next_check_s = 0.0
        self._lock = threading.RLock()
        self._stopping = False
        self._closed = False
        self._has_delivered = False
        #: Used as a binary semaphore: released by `call_soon`, acquired by
        #: the batch delay, which so ends early.
        self._call_signal = threading.Lock()
        self._call_signal.acquire()
        self._thread = threading.Thread(
            target=self._run, name="streams", daemon=True
        )
        self._thread.start()

    @property
    def paused_streams(self) -> int:
        """Number of streams that are paused because of a slow reader."""
        return sum(
            transfer.paused
            for transfer in tuple(self._transfer_by_easy.values())
        )

    def add(self, transfer: LoopTransfer) -> None:
        """Starts a transfer, or cancels it if the loop is stopped."""
        with self._lock:
            if not self._stopping:
                self.call_soon(lambda: self._attach(transfer))
                return
        transfer.finish(_exchange.End.CANCELED)

    def call_soon(self, function: Callable[[], None]) -> None:
        """Schedules `function` on the loop's thread, unless closed."""
        with self._lock:
            if not self._closed:
                self._pending_calls.append(function)
                os.eventfd_write(self._wake_fd, 1)
                with contextlib.suppress(RuntimeError):
                    self._call_signal.release()

    def abort(self, transfer: LoopTransfer, end: _exchange.End) -> None:
        """Aborts a transfer and closes its connection; on the loop's thread."""
        if self._transfer_by_easy.pop(transfer.easy, None) is None:
            return
        transfer.finish(end)
        self._multi.remove_handle(transfer.easy)
        transfer.easy.close()

    def stop(self) -> None:
        """Cancels all streams and stops the thread."""
        with self._lock:
            self._stopping = True
        self.call_soon(lambda: None)
        self._thread.join()
        with self._lock:
            if not self._closed:
                self._closed = True
                self._epoll.close()
                os.close(self._wake_fd)

    def _attach(self, transfer: LoopTransfer) -> None:
        self._transfer_by_easy[transfer.easy] = transfer
        transfer.attach(self._multi)

    def _run(self) -> None:
        while not self._stopping:
            try:
                self._run_once()
                if self._has_delivered:
                    self._has_delivered = False
                    # A scheduled call ends the delay early.
                    self._call_signal.acquire(timeout=_BATCH_DELAY_S)
            except Exception:
                # An error in one stream must not stop the others.
                logging.exception("stream loop iteration failed")
                time.sleep(_CHECK_PERIOD_S)
        self._run_pending_calls()
        for transfer in list(self._transfer_by_easy.values()):
            self.abort(transfer, _exchange.End.CANCELED)
        self._multi.close()

    def note_delivery(self) -> None:
        """Notes that a sink received bytes; on the loop's thread."""
        self._has_delivered = True

    def _run_once(self) -> None:
        """Waits for events once and handles them."""
        ready = self._epoll.poll(self._poll_timeout_s())
        for fd, mask in ready:
            if fd == self._wake_fd:
                self._run_pending_calls()
            else:
                self._multi.socket_action(fd, _curl_mask(mask))
        now_s = time.monotonic()
        if self._timer_at_s is not None and now_s >= self._timer_at_s:
            self._timer_at_s = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._reap_finished()
        if now_s >= self._next_check_s:
            self._next_check_s = now_s + _CHECK_PERIOD_S
            self._enforce_limits()

    def _poll_timeout_s(self) -> float:
        if self._pending_calls:
            return 0.0
        # Without streams there are no limits to check.
        wait_s = _CHECK_PERIOD_S if self._transfer_by_easy else -1.0
        if self._timer_at_s is not None:
            until_s = max(0.0, self._timer_at_s - time.monotonic())
            wait_s = until_s if wait_s < 0 else min(wait_s, until_s)
        return wait_s

    def _run_pending_calls(self) -> None:
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self._wake_fd)
        while self._pending_calls:
            self._pending_calls.popleft()()

    def _reap_finished(self) -> None:
        """Removes the transfers that libcurl has finished."""
        remaining = 1
        while remaining:
            remaining, succeeded, failed = self._multi.info_read()
            ended = [(easy, pycurl.E_OK, "") for easy in succeeded]
            for easy, code, message in [*ended, *failed]:
                transfer = self._transfer_by_easy.pop(easy)
                transfer.finish_from_curl(code, message)
                self._multi.remove_handle(easy)
                easy.close()

    def _enforce_limits(self) -> None:
        for transfer in list(self._transfer_by_easy.values()):
            end = transfer.exceeded_limit()
            if end is not None:
                self.abort(transfer, end)

    def _on_socket(self, what: int, fd: int, *_: object) -> None:
        if what == pycurl.POLL_REMOVE:
            if fd in self._registered_fds:
                self._registered_fds.discard(fd)
                self._epoll.unregister(fd)
            return
        mask = _EPOLL_BY_CURL[what]
        if fd in self._registered_fds:
            self._epoll.modify(fd, mask)
        else:
            self._registered_fds.add(fd)
            self._epoll.register(fd, mask)

    def _on_timer(self, timeout_ms: int) -> None:
        self._timer_at_s = (
            None if timeout_ms < 0 else time.monotonic() + timeout_ms / 1e3
        )


def _curl_mask(mask: int) -> int:
    result = 0
    if mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
        result |= pycurl.CSELECT_IN
    if mask & select.EPOLLOUT:
        result |= pycurl.CSELECT_OUT
    if mask & select.EPOLLERR:
        result |= pycurl.CSELECT_ERR
    return result
