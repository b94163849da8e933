"""HTTP/1.1 messages as plain data, and how they are written."""

import dataclasses
import http
from collections.abc import Iterable, Sequence

Header = tuple[str, str]

#: Concern one connection only and are never forwarded.
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
#: Set anew for each message.
_FRAMING = frozenset({"content-length", "expect"})


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of a caller, read completely."""

    method: str
    #: As sent, undecoded.
    target: str
    headers: tuple[Header, ...]
    body: bytes
    #: Whether the caller declared a body, maybe an empty one.
    has_body: bool
    keep_alive: bool
    #: `Clock.now` when the header was complete, seconds.
    received_s: float
    #: `Clock.now` when the whole request had been read, seconds.
    read_s: float

    @property
    def path(self) -> str:
        """The target without its query."""
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

    def header(self, name: str) -> str:
        """Returns the first value of a header, empty if there is none."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True)
class Response:
    """A whole response."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    reason: str = ""


def find_header(headers: Sequence[Header], name: str) -> str:
    """Returns the first value of a header, empty if there is none."""
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return ""


def end_to_end(
    headers: Sequence[Header], dropped: frozenset[str] = frozenset()
) -> list[Header]:
    """Returns the headers that are forwarded.

    Args:
        headers: As received.
        dropped: Lower-case names that are not forwarded either.
    """
    connection_tokens = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
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
    """Returns the bytes of a request on a connection of its own.

    Args:
        method: For example `GET`.
        target: As it is to be sent.
        headers: Without framing.
        body: `None` for a request without a body.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{key}: {value}" for key, value in headers]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + (body or b"")


def write_head(status: int, reason: str, headers: Iterable[Header]) -> bytes:
    """Returns the bytes of a status line and headers."""
    lines = [f"HTTP/1.1 {status} {reason or _reason_phrase(status)}"]
    lines += [f"{key}: {value}" for key, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def write_response(
    response: Response, keep_alive: bool, head_only: bool = False
) -> bytes:
    """Returns the bytes of a whole response."""
    headers = [*response.headers]
    if response.status not in (204, 304):
        headers.append(("Content-Length", str(len(response.body))))
    if not keep_alive:
        headers.append(("Connection", "close"))
    head = write_head(response.status, response.reason, headers)
    return head if head_only else head + response.body


def write_chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
