"""Parsing and validation of announcements in JSON.

This is a separate module so that an instance whose upstreams use another format
does not have to build these models.
"""

from typing import Annotated, Literal

import pydantic

import mulberry_core as core
from mulberry_membership import _addresses, _announcements, _upstreams

#: Maximum size of one announcement, bytes; 256 versions with names of 50
#: characters fit. The record of an upstream has a limit of its own.
MAX_ANNOUNCEMENT_BYTES = 65_536
_MAX_NUMBER = 2**63 - 1
_MAX_REQUESTS = 1_000_000
_MAX_SERVED = 256
#: Limits how long a crashed upstream stays listed.
_MAX_VALID_S = 30.0
_MIN_VALID_S = 0.1
_MAX_REPORTED_ERRORS = 5

_Name = Annotated[
    str,
    pydantic.StringConstraints(
        min_length=1, max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/@-]*$"
    ),
]


def _check_address(address: str) -> str:
    if not _addresses.is_base_address(address.removesuffix("/")):
        raise ValueError(
            "must be IP:PORT with a port of 1 to 65535, with or without "
            "http:// or https://"
        )
    return address


_Address = Annotated[
    str,
    pydantic.StringConstraints(max_length=128),
    pydantic.AfterValidator(_check_address),
]
_Number = Annotated[int, pydantic.Field(ge=0, le=_MAX_NUMBER)]
_Requests = Annotated[int, pydantic.Field(ge=0, le=_MAX_REQUESTS)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        strict=True, frozen=True, extra="ignore", hide_input_in_errors=True
    )


class _Served(_StrictModel):
    model: _Name
    version: _Name


class _Load(_StrictModel):
    running: _Requests
    queued: _Requests


class _AnnouncementBody(_StrictModel):
    """JSON body; ignores unknown fields, which later versions may send."""

    name: _Name
    address: _Address
    incarnation: _Number
    sequence: _Number
    state: Literal["ready", "leaving"]
    zone: _Name
    serves: Annotated[list[_Served], pydantic.Field(max_length=_MAX_SERVED)] = (
        pydantic.Field(default_factory=list)
    )
    service: _Name | None = None
    capacity: Annotated[int, pydantic.Field(ge=1, le=_MAX_REQUESTS)]
    load: _Load
    checks_fencing: bool = False
    valid_s: Annotated[
        float,
        pydantic.Field(
            ge=_MIN_VALID_S, le=_MAX_VALID_S, allow_inf_nan=False, strict=False
        ),
    ]

    @pydantic.model_validator(mode="after")
    def _check_serves_or_service(self) -> "_AnnouncementBody":
        if self.service is not None and self.serves:
            raise ValueError("set either serves or service, not both")
        return self


def parse_announcement(
    body: bytes,
) -> _announcements.Announcement | core.Refusal:
    """Parses an announcement; returns a refusal if it is invalid.

    Args:
        body: JSON in UTF-8.
    """
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        return core.Refusal(
            core.ErrorKind.REQUEST_TOO_LARGE,
            core.RunState.NOT_RUN,
            f"announcement of {len(body)} bytes is larger than "
            f"{MAX_ANNOUNCEMENT_BYTES} bytes",
        )
    try:
        parsed = _AnnouncementBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        return core.Refusal(
            core.ErrorKind.BAD_REQUEST,
            core.RunState.NOT_RUN,
            f"invalid announcement: {_describe(error)}",
        )
    announcement = _to_announcement(parsed)
    too_large = _upstreams.check_size(announcement)
    return too_large if isinstance(too_large, core.Refusal) else announcement


def _describe(error: pydantic.ValidationError) -> str:
    found = error.errors(include_url=False, include_input=False)
    return "; ".join(
        f"{'.'.join(str(part) for part in item['loc']) or 'body'}: "
        f"{item['msg']}"
        for item in found[:_MAX_REPORTED_ERRORS]
    )


def _to_announcement(parsed: _AnnouncementBody) -> _announcements.Announcement:
    served = {
        _announcements.ServedVersion(item.model, item.version)
        for item in parsed.serves
    }
    return _announcements.Announcement(
        name=parsed.name,
        address=parsed.address.removesuffix("/"),
        incarnation=parsed.incarnation,
        sequence=parsed.sequence,
        state=_announcements.UpstreamState(parsed.state),
        zone=parsed.zone,
        versions=tuple(sorted(served)),
        service=core.Missing.UNSET
        if parsed.service is None
        else parsed.service,
        capacity=parsed.capacity,
        running=parsed.load.running,
        queued=parsed.load.queued,
        checks_fencing=parsed.checks_fencing,
        valid_s=parsed.valid_s,
    )
