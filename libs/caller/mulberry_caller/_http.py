"""Runs one HTTP exchange with an entry using pycurl."""

import collections
import dataclasses
import re
from collections.abc import Iterator, Mapping

import pycurl

_CONNECT_TIMEOUT_MS = 2_000
#: Longest wait for the socket before libcurl checks its timeouts, seconds.
_MAX_SELECT_S = 1.0
#: A status line with a status from 100 to 599. Others mean nothing to callers;
#: libcurl passes statuses up to 999 on.
_STATUS_LINE = re.compile(r"HTTP/[0-9.]+ +([1-5][0-9]{2})(?: .*)?")
#: Returned by a callback to make libcurl abort the exchange.
_ABORT = -1


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """An HTTP request to an entry."""

    method: str
    #: Path with its query, percent-encoded.
    path: str
    header_by_name: Mapping[str, str]
    body: bytes = b""


class Exchange:
    """Sends a request and yields the response body as it arrives."""

    def __init__(
        self, entry: str, request: HttpRequest, timeout_s: float
    ) -> None:
        self.status = 0
        #: Response headers; the names are in lower case.
        self.header_by_name: dict[str, str] = {}
        #: Why the exchange failed; empty if it did not.
        self.error = ""
        #: Whether any byte of the request may have been sent.
        self.sent = True
        self._pending_status = 0
        self._received: collections.deque[bytes] = collections.deque()
        self._running = True
        self._easy = pycurl.Curl()
        self._multi = pycurl.CurlMulti()
        self._set_options(entry, request, timeout_s)
        self._multi.add_handle(self._easy)

    def wait_for_status(self) -> None:
        """Waits for the complete headers or until the exchange fails."""
        while self._running and not self.status:
            self._perform()

    def iter_body(self) -> Iterator[bytes]:
        """Yields the body as it arrives, until the exchange ends."""
        while self._running or self._received:
            while self._received:
                yield self._received.popleft()
            if self._running:
                self._perform()

    def read(self) -> bytes:
        """Reads and returns the rest of the body."""
        return b"".join(self.iter_body())

    def close(self) -> None:
        """Closes the connection, aborting an exchange that is still running."""
        if self._running:
            self._running = False
            self._multi.remove_handle(self._easy)
        self._easy.close()
        self._multi.close()

    def _set_options(
        self, entry: str, request: HttpRequest, timeout_s: float
    ) -> None:
        easy = self._easy
        url = entry if "://" in entry else f"http://{entry}"
        easy.setopt(pycurl.URL, f"{url.rstrip('/')}{request.path}")
        easy.setopt(pycurl.PROXY, "")
        easy.setopt(pycurl.PATH_AS_IS, 1)
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.CONNECTTIMEOUT_MS, _CONNECT_TIMEOUT_MS)
        easy.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1e3)))
        lines = [
            f"{name}: {value}".encode("latin-1")
            for name, value in request.header_by_name.items()
        ]
        easy.setopt(pycurl.HTTPHEADER, [*lines, b"Expect:"])
        easy.setopt(pycurl.HEADERFUNCTION, self._on_header)
        easy.setopt(pycurl.WRITEFUNCTION, self._received.append)
        if request.body or request.method not in ("GET", "HEAD"):
            easy.setopt(pycurl.POST, 1)
            easy.setopt(pycurl.POSTFIELDSIZE, len(request.body))
            easy.setopt(pycurl.POSTFIELDS, request.body)
        easy.setopt(pycurl.CUSTOMREQUEST, request.method)
        # On a reused connection libcurl may resend a request by itself, which
        # bypasses the retry rules of this library.
        easy.setopt(pycurl.FRESH_CONNECT, 1)
        easy.setopt(pycurl.FORBID_REUSE, 1)

    def _on_header(self, line: bytes) -> int | None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.header_by_name.clear()
            found = _STATUS_LINE.fullmatch(text)
            if not found:
                self.error = "the status is not valid"
                return _ABORT
            self._pending_status = int(found.group(1))
        elif text:
            name, _, value = text.partition(":")
            self.header_by_name[name.lower()] = value.strip()
        elif self._pending_status >= 200:
            self.status = self._pending_status
        return None

    def _perform(self) -> None:
        _, running = self._multi.perform()
        if running:
            if not self._received:
                self._multi.select(_MAX_SELECT_S)
            return
        self._running = False
        _, _, failed = self._multi.info_read()
        if failed and not self.error:
            self.error = failed[0][2] or f"libcurl error {failed[0][1]}"
        self.sent = self._easy.getinfo(pycurl.REQUEST_SIZE) > 0
        self._multi.remove_handle(self._easy)


def fetch(
    entry: str, request: HttpRequest, timeout_s: float
) -> tuple[Exchange, bytes]:
    """Returns the completed exchange of a request and the whole body."""
    exchange = Exchange(entry, request, timeout_s)
    try:
        return exchange, exchange.read()
    finally:
        exchange.close()
