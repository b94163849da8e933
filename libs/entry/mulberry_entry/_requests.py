"""Reading and identifying a request of a caller."""

import dataclasses
import re
import uuid
from typing import Any

import werkzeug

import mulberry_core as core
import mulberry_rules as rules
from mulberry_entry import _server

#: Callers' names for requests and sessions.
_NAME_PATTERN = re.compile(r"[\x21-\x7e]{1,200}\Z")

_BEARER = "Bearer "

#: Longest deadline that a caller may ask for, seconds.
_MAX_DEADLINE_S = 3600.0


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request that was read completely, from a known team."""

    request_id: str
    team: str
    #: The caller's idempotency key; unset where none was given.
    idempotency_key: str | core.Missing
    #: The caller's session; unset where none was given.
    session: str | core.Missing
    #: Name of the kind of work; unset where none was given.
    kind_name: str | core.Missing
    #: Seconds the caller is ready to wait; unset where none was given.
    deadline_s: float | core.Missing
    #: Clock seconds at arrival.
    arrived_s: float
    content_type: str
    body: bytes

    @property
    def key(self) -> str:
        """What claims and bills are kept under."""
        if isinstance(self.idempotency_key, core.Missing):
            return self.request_id
        return self.idempotency_key

    @property
    def body_digest(self) -> str:
        """Digest that tells a repeated request from another one."""
        return core.digest128(self.body)


def new_request_id() -> str:
    """Returns an id that no other request has, on any instance."""
    return f"req-{uuid.uuid4().hex}"


def bearer_key(request: werkzeug.Request) -> str | core.Missing:
    """Returns the key of the `Authorization` header."""
    header = request.headers.get("Authorization", "")
    if not header.startswith(_BEARER):
        return core.Missing.UNSET
    return header.removeprefix(_BEARER).strip()


def read_body(
    request: werkzeug.Request, max_bytes: int
) -> bytes | core.Refusal:
    """Reads the whole body and checks that it is whole and not too large."""
    http_request = request.environ.get(_server.REQUEST_KEY)
    declared = request.environ.get("CONTENT_LENGTH") or "0"
    if not declared.isdecimal():
        return _refuse(core.ErrorKind.BAD_REQUEST, "bad Content-Length")
    if int(declared) > max_bytes:
        _close_with_unread_input(http_request)
        return _refuse(
            core.ErrorKind.REQUEST_TOO_LARGE,
            f"{declared} bytes, at most {max_bytes} are accepted",
        )
    try:
        body = bytes(request.environ["wsgi.input"].read(max_bytes + 1))
    except Exception as error:  # cheroot raises bare types per chunk fault
        _close_with_unread_input(http_request)
        return _refuse(core.ErrorKind.BAD_REQUEST, f"bad body: {error}")
    if http_request is not None:
        if http_request.conn.timed_out:
            _close_with_unread_input(http_request)
            return _refuse(core.ErrorKind.REQUEST_TIMEOUT, "body too slow")
        http_request.conn.finish_receiving()
    if len(body) > max_bytes:
        _close_with_unread_input(http_request)
        return _refuse(
            core.ErrorKind.REQUEST_TOO_LARGE, f"more than {max_bytes} bytes"
        )
    if len(body) < int(declared):
        _close_with_unread_input(http_request)
        return _refuse(
            core.ErrorKind.BAD_REQUEST,
            f"body ends after {len(body)} of {declared} bytes",
        )
    return body


def read_request(
    request: werkzeug.Request,
    in_force: rules.Rules,
    max_body_bytes: int,
    request_id: str,
    now_s: float,
) -> CallerRequest | core.Refusal:
    """Reads, checks and identifies a request."""
    key = bearer_key(request)
    team: str | core.Missing = core.Missing.UNSET
    if not isinstance(key, core.Missing):
        team = in_force.team_name_by_key_hash.get(
            core.hash_key(key), core.Missing.UNSET
        )
    body = read_body(request, max_body_bytes)
    if isinstance(body, core.Refusal):
        return body
    if isinstance(team, core.Missing):
        return _refuse(core.ErrorKind.UNAUTHENTICATED, "no team has this key")
    names = {
        name: _read_name(request, name)
        for name in ("Idempotency-Key", "Session-Id", "X-Mulberry-Kind")
    }
    deadline_s = _read_deadline(request)
    for value in (*names.values(), deadline_s):
        if isinstance(value, core.Refusal):
            return value
    return CallerRequest(
        request_id=request_id,
        team=team,
        idempotency_key=_checked(names["Idempotency-Key"]),
        session=_checked(names["Session-Id"]),
        kind_name=_checked(names["X-Mulberry-Kind"]),
        deadline_s=_checked(deadline_s),
        arrived_s=now_s,
        content_type=request.headers.get("Content-Type", ""),
        body=body,
    )


def close_after_answer(request: werkzeug.Request) -> None:
    """Asks the server to close the connection after this answer."""
    http_request = request.environ.get(_server.REQUEST_KEY)
    if http_request is not None:
        http_request.close_connection = True


def _checked(value: Any) -> Any:
    assert not isinstance(value, core.Refusal)
    return value


def _read_name(
    request: werkzeug.Request, header: str
) -> str | core.Missing | core.Refusal:
    value = request.headers.get(header)
    if value is None:
        return core.Missing.UNSET
    if not _NAME_PATTERN.match(value):
        return _refuse(
            core.ErrorKind.BAD_REQUEST,
            f"{header} must be 1 to 200 visible ASCII characters",
        )
    return value


def _read_deadline(
    request: werkzeug.Request,
) -> float | core.Missing | core.Refusal:
    value = request.headers.get("X-Mulberry-Deadline")
    if value is None:
        return core.Missing.UNSET
    try:
        deadline_s = float(value)
    except ValueError:
        deadline_s = 0.0
    if not 0.0 < deadline_s <= _MAX_DEADLINE_S:
        return _refuse(
            core.ErrorKind.BAD_REQUEST,
            f"X-Mulberry-Deadline must be above 0 and at most "
            f"{_MAX_DEADLINE_S:.0f} seconds",
        )
    return deadline_s


def _refuse(kind: core.ErrorKind, reason: str) -> core.Refusal:
    return core.Refusal(kind, core.RunState.NOT_RUN, reason)


def _close_with_unread_input(http_request: Any) -> None:
    """Closes the connection after this answer; input may be left unread."""
    if http_request is not None:
        http_request.close_connection = True
        http_request.conn.has_unread_input = True
