"""HTTP/1.1 messages as plain data, and their serialization."""

import dataclasses
import http
from collections.abc import Iterable, Sequence

from mulberry_gateway import _headers

Header = _headers.Header

#: Headers that apply to a single connection and are never forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
#: Headers that are computed for each message.
_FRAMING = frozenset({"content-length", "expect"})
#: Statuses of responses that have no body, whatever their headers say.
BODILESS_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(frozen=True)
class Request:
    """A complete request of a caller."""

    method: str
    #: As received, not percent-decoded.
    target: str
    headers: Sequence[Header]
    body: bytes
    #: Whether the request declares a body, which may be empty.
    has_body: bool
    keep_alive: bool
    #: `Clock.now` when the headers were complete, seconds.
    received_s: float
    #: `Clock.now` when the whole request had been read, seconds.
    read_s: float

    @property
    def path(self) -> str:
        """The request target without the query."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str:
        """Returns the first value of a header, empty if there is none."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an upstream's response."""

    status: int
    reason: str
    headers: tuple[Header, ...]

    @property
    def has_framing(self) -> bool:
        """Whether the end of the body differs from that of the connection."""
        names = {key.lower() for key, _ in self.headers}
        return bool(names & {"content-length", "transfer-encoding"})

    def header(self, name: str) -> str:
        """Returns the first value of a header, empty if there is none."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete response."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    reason: str = ""


def find_header(headers: Sequence[Header], name: str) -> str:
    """Returns the first value of a header, empty if there is none."""
    if isinstance(headers, _headers.PackedHeaders):
        return next(headers.values_of(name.lower()), "")
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return ""


def end_to_end(
    headers: Sequence[Header], dropped: frozenset[str] = frozenset()
) -> list[Header]:
    """Returns the end-to-end headers, which are forwarded.

    Args:
        headers: As received.
        dropped: Lower-case names of further headers to leave out.
    """
    connection_tokens = {
        token.strip().lower()
        for value in _headers.values_of(headers, "connection")
        for token in value.split(",")
    }
    return [
        (key, value)
        for key, value in headers
        if (low := key.lower()) not in HOP_BY_HOP
        and low not in _FRAMING
        and low not in connection_tokens
        and low not in dropped
    ]


def write_request(
    method: str, target: str, headers: Iterable[Header], body: bytes | None
) -> bytes:
    """Serializes a request that closes its connection.

    Args:
        method: For example `GET`.
        target: Request target, sent as is.
        headers: Without framing headers.
        body: `None` for a request without a body.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{key}: {value}" for key, value in headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + (body or b"")


def write_head(status: int, reason: str, headers: Iterable[Header]) -> bytes:
    """Serializes a status line and headers."""
    lines = [f"HTTP/1.1 {status} {reason or _reason_phrase(status)}"]
    lines += [f"{key}: {value}" for key, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def write_response(
    response: Response, keep_alive: bool, head_only: bool = False
) -> bytes:
    """Serializes a complete response."""
    headers = [*response.headers]
    if response.status not in BODILESS_STATUSES:
        headers.append(("Content-Length", str(len(response.body))))
    if not keep_alive:
        headers.append(("Connection", "close"))
    head = write_head(response.status, response.reason, headers)
    return head if head_only else head + response.body


def write_chunk(data: bytes) -> bytes:
    """Serializes one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
