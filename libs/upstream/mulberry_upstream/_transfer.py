"""One HTTP exchange over libcurl, driven by the thread that reads it.

Each transfer has a multi handle of its own, so that the reading thread can
take bytes as they arrive without a second thread and without a callback that
owns the loop. Waiting on the socket directly and then calling `perform` costs
as little as `Curl.perform` with a callback (trial on 2026-12-04, 100 streams
and 4,000 events/s: 14.3 and 14.6 microseconds of CPU for each event; with
`CurlMulti.select` 16.2).
"""

import dataclasses
import enum
import select
import threading
import time
from collections.abc import Callable, Mapping, Sequence

import pycurl

#: Longest wait between looks at the caller's connection, seconds.
_LOOK_PERIOD_S = 0.25
#: Wait while libcurl has no socket to wait for, seconds.
_NO_SOCKET_WAIT_S = 0.001
#: Response headers larger than this are refused.
_MAX_HEADER_BYTES = 65_536
#: Methods for which libcurl sends no body unless told to.
_BODYLESS = frozenset({"GET", "HEAD"})


class End(enum.Enum):
    """How a transfer ended."""

    #: The framing of HTTP says that everything arrived.
    WHOLE = "whole"
    #: No connection, or it broke.
    FAILED = "failed"
    #: The answer is larger than allowed.
    OVERSIZE = "oversize"
    #: The connect time ran out.
    CONNECT_TIMEOUT = "connect_timeout"
    #: No first byte, or no further byte, in time.
    SILENT = "silent"
    #: The deadline of the request passed.
    DEADLINE = "deadline"
    #: The caller went away or the stream was canceled.
    CANCELED = "canceled"


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Time and size limits of one exchange."""

    #: Seconds from now until the whole exchange must have ended.
    total_s: float
    #: Seconds to set up the connection.
    connect_s: float = 2.0
    #: Seconds from the start to the status line.
    first_byte_s: float = 30.0
    #: Longest silence within an answer, seconds.
    idle_s: float = 15.0
    #: Bytes of the body of the answer.
    max_bytes: int = 16_777_216


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """What is sent."""

    #: `IP:PORT` or the URL of its root.
    address: str
    method: str
    #: Path and query, starting with `/`.
    path: str
    #: Header lines, `Name: value`.
    headers: Sequence[str]
    body: bytes
    #: Whether a kept connection may be used. libcurl re-sends by itself when
    #: a kept connection closes before the answer.
    may_repeat: bool


def are_header_lines(lines: Sequence[str]) -> bool:
    """Whether each line is one header in Latin-1 without control characters.

    A line end inside a header would add headers of the caller's choice.
    """
    return all(
        line.isprintable() and max(line, default="") <= "\xff" for line in lines
    )


def base_url(address: str) -> str:
    """Returns an announced address, `IP:PORT` or a URL, as a URL."""
    if address.startswith(("http://", "https://")):
        return address.rstrip("/")
    return f"http://{address}"


def _new_multi() -> pycurl.CurlMulti:
    multi = pycurl.CurlMulti()
    multi.setopt(pycurl.M_MAXCONNECTS, 1)
    return multi


class HandlePool:
    """Keeps idle multi handles, each with at most one kept connection."""

    def __init__(self, max_idle: int = 64) -> None:
        self._lock = threading.Lock()
        self._max_idle = max_idle
        self._idle: list[tuple[str, pycurl.CurlMulti]] = []

    @property
    def idle(self) -> int:
        """Handles that wait for their next use."""
        with self._lock:
            return len(self._idle)

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
        """Closes all idle handles."""
        with self._lock:
            idle, self._idle = self._idle, []
        for _, handle in idle:
            handle.close()


class Transfer:
    """One running exchange; used by one thread at a time, except `cancel`."""

    def __init__(
        self,
        pool: HandlePool,
        request: HttpRequest,
        bounds: Bounds,
        is_abandoned: Callable[[], bool],
    ) -> None:
        """Prepares the exchange; nothing is sent before the first `step`."""
        self._pool = pool
        self._request = request
        self._bounds = bounds
        self._is_abandoned = is_abandoned
        self._canceled = threading.Event()
        self._stepping = threading.Lock()
        self._received: list[bytes] = []
        self._received_bytes = 0
        self._header_bytes = 0
        self._header_by_name: dict[str, str] = {}
        self._status = 0
        self._pending_status = 0
        self._end: End | None = None
        self._error = ""
        self._started = False
        self._no_byte_sent = False
        self._poller: select.poll | None = None
        self._start_s = time.monotonic()
        self._deadline_s = self._start_s + bounds.total_s
        #: Start, or time of the last bytes of headers or body.
        self._silent_since_s = self._start_s
        self._max_bytes = bounds.max_bytes
        # Short bounds are kept to; looks need no more than the period.
        self._look_ms = 1e3 * min(_LOOK_PERIOD_S, bounds.total_s, bounds.idle_s)
        self._multi = pool.take(request.address)
        # A new easy handle each time: `REQUEST_SIZE` of a used one keeps the
        # count of the exchange before, even after `reset`.
        self._easy = pycurl.Curl()
        self._set_options(self._easy)
        self._multi.add_handle(self._easy)

    @property
    def status(self) -> int:
        """HTTP status once the headers are there, 0 before."""
        return self._status

    @property
    def header_by_name(self) -> Mapping[str, str]:
        """Response headers by name in lower case."""
        return self._header_by_name

    @property
    def end(self) -> End | None:
        """How the exchange ended, `None` while it runs."""
        return self._end

    @property
    def error(self) -> str:
        """Message of libcurl for a failed exchange."""
        return self._error

    @property
    def no_byte_sent(self) -> bool:
        """Whether provably no byte of the request left; valid at the end."""
        return self._no_byte_sent

    def cancel(self) -> None:
        """Ends the exchange, from any thread.

        A step that runs on another thread ends it within 250 ms; otherwise
        the connection is closed at once.
        """
        self._canceled.set()
        if self._stepping.acquire(blocking=False):
            try:
                self.close()
            finally:
                self._stepping.release()

    def step(self) -> bytes:
        """Waits for bytes of the body once and returns them.

        Returns empty bytes when headers arrived, when the wait was idle, or
        at the end.
        """
        with self._stepping:
            if self._end is not None:
                return b""
            if self._poller is not None:
                self._poller.poll(self._poll_ms())
            elif self._started:
                self._wait()
            self._started = True
            self._perform()
            received = self._received
            if not received:
                self._check_time()
                return b""
            data = received[0] if len(received) == 1 else b"".join(received)
            received.clear()
            if time.monotonic() >= self._deadline_s or self._canceled.is_set():
                self._check_time()
            return data

    def step_if_ready(self) -> None:
        """Lets libcurl take what has arrived, without waiting."""
        with self._stepping:
            if self._end is None:
                self._perform()

    def close(self) -> None:
        """Ends the exchange; one that still runs loses its connection."""
        if self._end is None:
            self._finish(End.CANCELED, "canceled")

    def _set_options(self, easy: pycurl.Curl) -> None:
        request = self._request
        easy.reset()
        easy.setopt(pycurl.URL, f"{base_url(request.address)}{request.path}")
        easy.setopt(pycurl.PATH_AS_IS, 1)
        easy.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS)
        easy.setopt(pycurl.PROXY, "")
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.TCP_NODELAY, 1)
        easy.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        easy.setopt(
            pycurl.CONNECTTIMEOUT_MS, max(1, int(self._bounds.connect_s * 1e3))
        )
        lines = [line.encode("latin-1") for line in request.headers]
        easy.setopt(pycurl.HTTPHEADER, [*lines, b"Expect:"])
        easy.setopt(pycurl.HEADERFUNCTION, self._on_header)
        easy.setopt(pycurl.WRITEFUNCTION, self._on_body)
        if request.method == "HEAD":
            easy.setopt(pycurl.NOBODY, 1)
        elif request.body or request.method not in _BODYLESS:
            easy.setopt(pycurl.POST, 1)
            easy.setopt(pycurl.POSTFIELDSIZE, len(request.body))
            easy.setopt(pycurl.POSTFIELDS, request.body)
        easy.setopt(pycurl.CUSTOMREQUEST, request.method)
        if not request.may_repeat:
            easy.setopt(pycurl.FRESH_CONNECT, 1)
            easy.setopt(pycurl.FORBID_REUSE, 1)

    def _on_header(self, line: bytes) -> int:
        self._header_bytes += len(line)
        if self._header_bytes > _MAX_HEADER_BYTES:
            return -1
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self._header_by_name.clear()
            self._pending_status = _status_code(text)
        elif text:
            name, _, value = text.partition(":")
            self._header_by_name[name.lower()] = value.strip()
        elif self._pending_status >= 200:
            self._status = self._pending_status
            self._silent_since_s = time.monotonic()
        return len(line)

    def _on_body(self, data: bytes) -> int | None:
        self._received_bytes += len(data)
        self._silent_since_s = time.monotonic()
        if self._received_bytes > self._max_bytes:
            return -1
        self._received.append(data)
        return None

    def _perform(self) -> None:
        _, running = self._multi.perform()
        if running:
            return
        _, _, failed = self._multi.info_read()
        if not failed:
            self._finish(End.WHOLE, "")
            return
        _, code, message = failed[0]
        self._finish(self._classify(code), message)

    def _classify(self, code: int) -> End:
        if self._received_bytes > self._bounds.max_bytes:
            return End.OVERSIZE
        if code == pycurl.E_OPERATION_TIMEDOUT:
            return End.CONNECT_TIMEOUT
        return End.FAILED

    def _poll_ms(self) -> float:
        """Returns how long to wait for the socket, milliseconds."""
        # libcurl may want to go on without a new byte on the socket.
        own_ms = self._multi.timeout()
        if own_ms >= 0:
            return min(own_ms, self._look_ms)
        return self._look_ms

    def _wait(self) -> None:
        """Waits while the request is sent and until the headers came."""
        if self._status:
            socket_fd = self._easy.getinfo(pycurl.ACTIVESOCKET)
            if socket_fd >= 0:
                self._poller = select.poll()
                self._poller.register(socket_fd, select.POLLIN)
                return
        wait_s = max(0.0, min(_LOOK_PERIOD_S, self._until_limit_s()))
        if self._multi.select(wait_s) < 0:
            time.sleep(_NO_SOCKET_WAIT_S)

    def _until_limit_s(self) -> float:
        now_s = time.monotonic()
        silent_s = (
            self._bounds.idle_s if self._status else self._bounds.first_byte_s
        )
        return min(self._deadline_s, self._silent_since_s + silent_s) - now_s

    def _check_time(self) -> None:
        if self._end is not None:
            return
        if self._canceled.is_set():
            self._finish(End.CANCELED, "canceled")
        elif self._received:
            # The caller's connection is looked at by the write that follows.
            self._check_deadline()
        elif self._is_abandoned():
            self._finish(End.CANCELED, "canceled")
        else:
            self._check_deadline()

    def _check_deadline(self) -> None:
        if self._until_limit_s() > 0:
            return
        if time.monotonic() >= self._deadline_s:
            self._finish(End.DEADLINE, "the deadline passed")
        else:
            self._finish(End.SILENT, "the upstream is silent")

    def _finish(self, end: End, message: str) -> None:
        self._end = end
        self._error = message
        # The size also counts a send on a kept connection that libcurl gave
        # up before it failed to connect anew.
        sent_bytes = self._easy.getinfo(pycurl.REQUEST_SIZE)
        self._no_byte_sent = sent_bytes == 0 and not self._status
        self._poller = None
        # Removing an easy handle in mid-transfer closes its connection.
        self._multi.remove_handle(self._easy)
        self._easy.close()
        self._pool.give_back(self._request.address, self._multi)


def _status_code(status_line: str) -> int:
    """Returns the code of a status line, 0 if there is none."""
    words = status_line.split(None, 2)
    if len(words) < 2 or not words[1].isdigit():
        return 0
    return int(words[1])
