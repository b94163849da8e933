"""State and limits of one HTTP exchange over libcurl."""

import abc
import dataclasses
import enum
import re
import time
from collections.abc import Callable, Mapping, Sequence

import pycurl

#: Response headers larger than this are refused.
_MAX_HEADER_BYTES = 65_536
#: Default limit on the size of a response body.
MAX_BODY_BYTES = 16_777_216
#: Methods whose requests have no body unless the caller sends one.
_BODYLESS_METHODS = frozenset({"GET", "HEAD"})
#: A status line with a status from 100 to 599. Others mean nothing to callers;
#: libcurl passes statuses up to 999 on.
_STATUS_LINE = re.compile(r"HTTP/[0-9.]+ +([1-5][0-9]{2})(?: .*)?")
#: Returned by a callback to make libcurl abort the exchange.
ABORT = -1


class End(enum.Enum):
    """How an exchange ended."""

    #: The response is complete according to the HTTP framing.
    COMPLETE = "complete"
    #: Connecting failed or the connection broke.
    FAILED = "failed"
    #: The body exceeds its size limit or the shared memory budget.
    OVERSIZE = "oversize"
    #: The connection was not established in time.
    CONNECT_TIMEOUT = "connect_timeout"
    #: The first byte, or further data, did not arrive in time.
    READ_TIMEOUT = "read_timeout"
    #: The deadline of the request passed.
    DEADLINE = "deadline"
    #: The caller disconnected or the exchange was canceled.
    CANCELED = "canceled"


_TEXT_BY_END: Mapping[End, str] = {
    End.READ_TIMEOUT: "read timeout",
    End.DEADLINE: "the deadline passed",
    End.CANCELED: "canceled",
}


@dataclasses.dataclass(frozen=True)
class ExchangeLimits:
    """Time and size limits of one exchange."""

    #: Seconds from now until the whole exchange must have ended.
    total_s: float
    #: Seconds to establish the connection.
    connect_s: float = 2.0
    #: Seconds from the start to the response headers.
    first_byte_s: float = 30.0
    #: Idle timeout between reads of the body, seconds. In an event stream only
    #: whole events with content reset it.
    idle_s: float = 15.0
    #: Maximum size of the response body, bytes.
    max_bytes: int = MAX_BODY_BYTES


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """The request of one exchange."""

    #: `IP:PORT` or the URL of its root.
    address: str
    method: str
    #: Path and query, starting with `/`.
    path: str
    #: Header lines, `Name: value`.
    headers: Sequence[str]
    body: bytes
    #: Whether a kept-alive connection may be reused. On a reused connection
    #: libcurl sends the request again by itself if the connection closes
    #: before the response, and a late response to the previous request would
    #: be taken for the response to this one.
    may_reuse: bool


def are_valid_header_lines(lines: Sequence[str]) -> bool:
    """Whether each line is one header in Latin-1 without control characters.

    A line break inside a header would allow header injection.
    """
    return all(
        line.isprintable() and max(line, default="") <= "\xff" for line in lines
    )


def base_url(address: str) -> str:
    """Returns an announced address, `IP:PORT` or a URL, as a URL."""
    if address.startswith(("http://", "https://")):
        return address.rstrip("/")
    return f"http://{address}"


class Exchange(abc.ABC):
    """One HTTP exchange: its headers, limits and result."""

    def __init__(
        self,
        request: HttpRequest,
        limits: ExchangeLimits,
        is_abandoned: Callable[[], bool],
    ) -> None:
        """Prepares the exchange; nothing is sent yet."""
        self._request = request
        self._limits = limits
        self._is_abandoned = is_abandoned
        self._canceled = False
        self._received_bytes = 0
        self._max_bytes = limits.max_bytes
        self._is_oversize = False
        self._header_bytes = 0
        self._header_by_name: dict[str, str] = {}
        self._status = 0
        self._pending_status = 0
        self._has_invalid_status = False
        self._end: End | None = None
        self._error = ""
        self._no_byte_sent = False
        self._is_on_new_connection = False
        #: Start of the idle period: the start or the last progress.
        self._idle_since_s = time.monotonic()
        #: Time of the last bytes of the body, or the start.
        self._last_data_s = self._idle_since_s
        self._deadline_s = self._idle_since_s + limits.total_s
        # Easy handles are not reused: their `REQUEST_SIZE` keeps the count of
        # the previous exchange, even after `reset`.
        self._easy = pycurl.Curl()
        self._set_options(self._easy)

    @property
    def status(self) -> int:
        """HTTP status; 0 until the headers have arrived."""
        return self._status

    @property
    def header_by_name(self) -> Mapping[str, str]:
        """Response headers by name in lower case."""
        return self._header_by_name

    @property
    def end(self) -> End | None:
        """How the exchange ended; `None` while it runs."""
        return self._end

    @property
    def error(self) -> str:
        """Error message of an exchange that failed."""
        return self._error

    @property
    def no_byte_sent(self) -> bool:
        """Whether it is certain that no byte was sent; valid after the end."""
        return self._no_byte_sent

    @property
    def is_own_response(self) -> bool:
        """Whether the response is to this request; valid after the end.

        On a reused connection, a faulty upstream may send its response to an
        earlier request again. A response that does not name its request is
        accepted on a new connection only.
        """
        response_id = self._header_by_name.get("x-request-id")
        if response_id is None:
            return self._is_on_new_connection
        return f"X-Request-Id: {response_id}" in self._request.headers

    def note_progress(self) -> None:
        """Resets the idle timeout."""
        self._idle_since_s = time.monotonic()

    @abc.abstractmethod
    def step(self) -> bytes:
        """Waits once and returns the bytes of the body that arrived.

        Returns empty bytes if only headers arrived, if the wait timed out, or
        at the end.
        """

    @abc.abstractmethod
    def cancel(self) -> None:
        """Ends the exchange, from any thread."""

    @abc.abstractmethod
    def _on_body(self, data: bytes) -> int | None:
        """Receives bytes of the body; libcurl's write callback."""

    def _set_options(self, easy: pycurl.Curl) -> None:
        request = self._request
        easy.setopt(pycurl.URL, f"{base_url(request.address)}{request.path}")
        easy.setopt(pycurl.PATH_AS_IS, 1)
        easy.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS)
        easy.setopt(pycurl.PROXY, "")
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.TCP_NODELAY, 1)
        easy.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        easy.setopt(
            pycurl.CONNECTTIMEOUT_MS, max(1, int(self._limits.connect_s * 1e3))
        )
        lines = [line.encode("latin-1") for line in request.headers]
        easy.setopt(pycurl.HTTPHEADER, [*lines, b"Expect:"])
        easy.setopt(pycurl.HEADERFUNCTION, self._on_header)
        easy.setopt(pycurl.WRITEFUNCTION, self._on_body)
        if request.method == "HEAD":
            easy.setopt(pycurl.NOBODY, 1)
        elif request.body or request.method not in _BODYLESS_METHODS:
            easy.setopt(pycurl.POST, 1)
            easy.setopt(pycurl.POSTFIELDSIZE, len(request.body))
            easy.setopt(pycurl.POSTFIELDS, request.body)
        easy.setopt(pycurl.CUSTOMREQUEST, request.method)
        if not request.may_reuse:
            easy.setopt(pycurl.FRESH_CONNECT, 1)
            easy.setopt(pycurl.FORBID_REUSE, 1)

    def _on_header(self, line: bytes) -> int | None:
        self._header_bytes += len(line)
        if self._header_bytes > _MAX_HEADER_BYTES:
            return ABORT
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self._header_by_name.clear()
            found = _STATUS_LINE.fullmatch(text)
            if not found:
                self._has_invalid_status = True
                return ABORT
            self._pending_status = int(found.group(1))
        elif text:
            name, _, value = text.partition(":")
            self._header_by_name[name.lower()] = value.strip()
        elif self._pending_status >= 200:
            self._status = self._pending_status
            self.note_progress()
        return None

    def _count_body(self, data: bytes) -> bool:
        """Counts bytes of the body; false if they exceed the limit."""
        self._received_bytes += len(data)
        self._last_data_s = time.monotonic()
        self._is_oversize = self._received_bytes > self._max_bytes
        return not self._is_oversize

    def _remaining_s(self) -> float:
        idle_limit_s = (
            self._limits.idle_s if self._status else self._limits.first_byte_s
        )
        limit_s = min(self._deadline_s, self._idle_since_s + idle_limit_s)
        return limit_s - time.monotonic()

    def _exceeded_limit(self) -> End | None:
        """Returns the limit that has been exceeded, if there is one."""
        if self._canceled:
            return End.CANCELED
        if self._remaining_s() > 0:
            return None
        if time.monotonic() >= self._deadline_s:
            return End.DEADLINE
        return End.READ_TIMEOUT

    def _record_end(self, end: End, message: str = "") -> None:
        """Records the end; must precede removal from the multi handle."""
        self._end = end
        self._error = message or _TEXT_BY_END.get(end, "")
        # The size includes bytes sent on a kept-alive connection that closed
        # before libcurl failed to connect again.
        sent_bytes = self._easy.getinfo(pycurl.REQUEST_SIZE)
        self._no_byte_sent = sent_bytes == 0 and not self._status
        self._is_on_new_connection = self._easy.getinfo(pycurl.NUM_CONNECTS) > 0

    def _record_curl_result(self, code: int, message: str) -> None:
        """Records the result that libcurl reported."""
        if code == pycurl.E_OK:
            self._record_end(End.COMPLETE)
        elif self._canceled:
            self._record_end(End.CANCELED)
        elif self._is_oversize:
            self._record_end(End.OVERSIZE)
        elif code == pycurl.E_OPERATION_TIMEDOUT:
            self._record_end(End.CONNECT_TIMEOUT, message)
        elif self._has_invalid_status:
            self._record_end(End.FAILED, "the status is not valid")
        else:
            self._record_end(End.FAILED, message or f"libcurl error {code}")


def read_rest(exchange: Exchange, initial_data: bytes = b"") -> bytes:
    """Returns the body of an exchange once it has ended.

    Bytes may arrive two at a time, and an object for each piece would take
    twenty times the memory of its content.

    Args:
        exchange: The exchange.
        initial_data: The part of the body that was read before.
    """
    body = bytearray(initial_data)
    # Buffered bytes may remain after the exchange has ended.
    while (part := exchange.step()) or exchange.end is None:
        body += part
    return bytes(body)
