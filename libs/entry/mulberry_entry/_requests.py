"""Reads, validates and authenticates requests of callers."""

import dataclasses
import re
import uuid
from typing import Any

import werkzeug

import mulberry_core as core
import mulberry_rules as rules
from mulberry_entry import _body_reader, _server

#: Valid idempotency keys, session ids and kind names.
_NAME_PATTERN = re.compile(r"[\x21-\x7e]{1,200}\Z")

_BEARER = "Bearer "

#: Longest deadline that a caller may ask for, seconds.
_MAX_DEADLINE_S = 3600.0


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A completely read request of an authenticated team."""

    request_id: str
    team: str
    #: The caller's idempotency key; unset if absent.
    idempotency_key: str | core.Missing
    #: The caller's session id; unset if absent.
    session: str | core.Missing
    #: Name of the kind of work; unset if absent.
    kind_name: str | core.Missing
    #: Seconds that the caller waits for the answer; unset if absent.
    deadline_s: float | core.Missing
    #: Clock time of arrival, seconds.
    arrived_s: float
    content_type: str
    body: bytes

    @property
    def key(self) -> str:
        """Key of the request's claims and bills."""
        if isinstance(self.idempotency_key, core.Missing):
            return self.request_id
        return self.idempotency_key

    @property
    def body_digest(self) -> str:
        """Digest of the body, to detect reuse of a key for another body."""
        return core.digest128(self.body)


def new_request_id() -> str:
    """Returns an id that is unique over all instances."""
    return f"req-{uuid.uuid4().hex}"


def bearer_key(request: werkzeug.Request) -> str | core.Missing:
    """Returns the bearer key of the `Authorization` header."""
    header = request.headers.get("Authorization", "")
    if not header.startswith(_BEARER):
        return core.Missing.UNSET
    return header.removeprefix(_BEARER).strip()


def read_body(
    request: werkzeug.Request, max_bytes: int
) -> bytes | core.Refusal:
    """Reads the body and refuses it if it is truncated or too large."""
    http_request = request.environ[_server.REQUEST_KEY]
    declared = request.environ.get("CONTENT_LENGTH") or "0"
    if not declared.isdecimal():
        return _refuse(core.ErrorKind.BAD_REQUEST, "invalid Content-Length")
    if int(declared) > max_bytes:
        _close_with_unread_input(http_request)
        return _refuse(
            core.ErrorKind.REQUEST_TOO_LARGE,
            f"{declared} bytes, at most {max_bytes} are accepted",
        )
    reader = _body_reader.BodyReader(
        http_request, max_bytes, http_request.server.max_request_header_size
    )
    body: bytes | core.Refusal
    try:
        body = reader.read()
    except TimeoutError:
        # The time limit of a read ends as the one of the whole request.
        body = _refuse(
            core.ErrorKind.REQUEST_TIMEOUT, "the body arrived too slowly"
        )
    except OSError as error:
        body = _refuse(core.ErrorKind.BAD_REQUEST, f"invalid body: {error}")
    if isinstance(body, core.Refusal):
        _close_with_unread_input(http_request)
        return body
    http_request.conn.finish_receiving()
    # From here on the request is not given up for others.
    if not http_request.conn.memory.run():
        _close_with_unread_input(http_request)
        return _body_reader.out_of_memory()
    return body


def read_request(
    request: werkzeug.Request,
    in_force: rules.Rules,
    max_body_bytes: int,
    request_id: str,
    now_s: float,
) -> CallerRequest | core.Refusal:
    """Reads, validates and authenticates a request."""
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
        return _refuse(
            core.ErrorKind.UNAUTHENTICATED, "the API key belongs to no team"
        )
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
    """Makes the server close the connection after this response."""
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
    """Closes the connection after this response; discards unread input."""
    if http_request is not None:
        http_request.close_connection = True
        http_request.conn.has_unread_input = True
