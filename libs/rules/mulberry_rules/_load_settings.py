"""Loads and validates the settings file of an instance."""

import dataclasses
import ipaddress
import pathlib
import re
from collections.abc import Iterator, Mapping
from typing import Annotated, Any

import json5
import pydantic

import mulberry_core as core
from mulberry_rules import _choices, _settings

#: A larger file is rejected before it is parsed.
_MAX_FILE_BYTES = 262_144
#: Maximum length of a value quoted in an error.
_MAX_VALUE_CHARACTERS = 120
_MAX_PORT = 65_535
_MAX_VOTERS = 7
#: Upper bound on the time until an accepted rule file is in effect on all
#: instances, and the part of it that is reserved for an election.
_MAX_PROPAGATION_S = 12.0
_ELECTION_ALLOWANCE_S = 2.0


@dataclasses.dataclass(frozen=True)
class SettingsError:
    """One error in a settings file."""

    #: Full path of the key, for example `timing.lease_term_s`.
    key: str
    #: The offending value as written in the file.
    value: str
    #: Description of the allowed values.
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: {self.value} is not valid; allowed: {self.allowed}"


@dataclasses.dataclass(frozen=True)
class SettingsErrors:
    """Returned instead of `Settings`: every error in the file."""

    errors: tuple[SettingsError, ...]

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)


def _validate_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    address = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if (address.version == 6) != host.startswith("["):
        raise ValueError("an IPv6 address must be in brackets")
    if not re.fullmatch(r"[0-9]{1,5}", port) or not 0 < int(port) <= _MAX_PORT:
        raise ValueError("the port is not valid")
    return text


def _lower(text: str) -> str:
    return text.lower()


_NAME_DESCRIPTION = "a name of up to 64 of A-Z a-z 0-9 . _ - as text"
_ADDRESS_DESCRIPTION = (
    "text IP:PORT with a port from 1 to 65535, like 127.0.0.1:7400"
)
_PATH_DESCRIPTION = "the path of a file as text, relative to the settings file"
_Name = Annotated[
    str,
    pydantic.Field(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$",
        description=_NAME_DESCRIPTION,
    ),
]
_Address = Annotated[
    str,
    pydantic.AfterValidator(_validate_address),
    pydantic.Field(description=_ADDRESS_DESCRIPTION),
]
_Path = Annotated[
    str,
    pydantic.Field(
        min_length=1, pattern=r"^[^\x00]+$", description=_PATH_DESCRIPTION
    ),
]
_KeyHash = Annotated[
    str,
    pydantic.Field(
        pattern=r"^[0-9a-fA-F]{64}$",
        description="the SHA-256 of the key as 64 hex digits",
    ),
    pydantic.AfterValidator(_lower),
]


class _Section(pydantic.BaseModel):
    """Base of the sections: rejects unknown keys and type coercion."""

    model_config = pydantic.ConfigDict(
        extra="forbid", strict=True, allow_inf_nan=False
    )


def _integer_field(default: int, low: int, high: int) -> Any:
    return pydantic.Field(
        default=default,
        ge=low,
        le=high,
        description=f"a whole number from {low} to {high}",
    )


def _seconds_field(default: float, low: float, high: float) -> Any:
    return pydantic.Field(
        default=default,
        ge=low,
        le=high,
        description=f"seconds from {low:g} to {high:g}",
    )


class _Limits(_Section):
    max_body_bytes: int = _integer_field(1_048_576, 1_024, 67_108_864)
    max_header_bytes: int = _integer_field(32_768, 1_024, 1_048_576)
    read_timeout_s: float = _seconds_field(10.0, 0.1, 300)
    max_streams: int = _integer_field(120, 1, 10_000)
    max_queue: int = _integer_field(200, 0, 100_000)
    max_kept_answer_bytes: int = _integer_field(65_536, 0, 1_048_576)
    max_memory_mb: int = _integer_field(200, 100, 1_000_000)


class _Timing(_Section):
    entries_keep_s: float = _seconds_field(5.0, 0.1, 300)
    exchange_period_s: float = _seconds_field(0.25, 0.01, 10)
    suspect_after_s: float = _seconds_field(1.0, 0.05, 60)
    dead_after_s: float = _seconds_field(3.0, 0.05, 300)
    lease_renew_period_s: float = _seconds_field(1.0, 0.05, 5)
    lease_term_s: float = _seconds_field(8.0, 0.2, 10)
    heartbeat_period_s: float = _seconds_field(0.1, 0.01, 5)
    election_timeout_s: float = _seconds_field(0.5, 0.05, 30)
    watch_period_s: float = _seconds_field(0.5, 0.05, 60)


def _policy_field(policy: str) -> Any:
    choices = _choices.CHOICES_BY_POLICY[policy]
    return pydantic.Field(
        default=choices[0],
        pattern=rf"^({'|'.join(choices)})$",
        description="one of " + ", ".join(choices),
    )


class _Policy(_Section):
    model_chooser: str = _policy_field("model_chooser")
    upstream_chooser: str = _policy_field("upstream_chooser")
    admission: str = _policy_field("admission")
    version_judge: str = _policy_field("version_judge")
    load_planner: str = _policy_field("load_planner")


class _Tls(_Section):
    certificate_file: _Path
    key_file: _Path
    ca_file: _Path


class _SettingsFile(_Section):
    name: _Name
    zone: _Name
    region: _Name
    http_address: _Address
    grpc_address: _Address
    peers: list[_Address] = pydantic.Field(
        default=[], description=f"a list of {_ADDRESS_DESCRIPTION}"
    )
    data_dir: _Path | None = None
    voter: bool = pydantic.Field(default=False, description="true or false")
    voters: dict[_Name, _Address] = pydantic.Field(
        default={},
        max_length=_MAX_VOTERS,
        description=f"an object of at most {_MAX_VOTERS} instance names, each "
        f"with {_ADDRESS_DESCRIPTION}",
    )
    rule_file: _Path | None = None
    announce_key_hash: _KeyHash | None = None
    statsd_address: _Address | None = None
    tls: _Tls | None = pydantic.Field(
        default=None,
        description="an object of certificate_file, key_file and ca_file",
    )
    limits: _Limits = pydantic.Field(
        default=_Limits(),
        description="an object of " + ", ".join(_Limits.model_fields),
    )
    timing: _Timing = pydantic.Field(
        default=_Timing(),
        description="an object of " + ", ".join(_Timing.model_fields),
    )
    policy: _Policy = pydantic.Field(
        default=_Policy(),
        description="an object of " + ", ".join(_Policy.model_fields),
    )


def load_settings(path: str) -> _settings.Settings | SettingsErrors:
    """Loads a settings file in JSON with comments.

    Args:
        path: The file; paths in it are relative to its directory.

    Returns:
        The settings, or every error of the file.
    """
    try:
        raw = pathlib.Path(path).read_bytes()
    except (OSError, ValueError) as error:
        return _single_error(
            "file", f"{path} ({error})", "a file that can be read"
        )
    if len(raw) > _MAX_FILE_BYTES:
        return _single_error(
            "file", f"{len(raw)} bytes", f"at most {_MAX_FILE_BYTES} bytes"
        )
    try:
        text = raw.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        return _single_error("file", str(error), "UTF-8 text")
    return parse_settings(text, str(pathlib.Path(path).absolute().parent))


def parse_settings(
    text: str, directory: str
) -> _settings.Settings | SettingsErrors:
    """Parses settings; never raises, whatever the text.

    Args:
        text: JSON with comments.
        directory: Base of relative paths.
    """
    try:
        values = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError, ArithmeticError) as error:
        return _single_error(
            "file",
            _format_value(error),
            "JSON with comments and no duplicate keys",
        )
    if not isinstance(values, dict):
        return _single_error(
            "file", _format_value(values), "an object of settings"
        )
    try:
        file = _SettingsFile.model_validate(values)
    except pydantic.ValidationError as error:
        return SettingsErrors(tuple(_validation_errors(error)))
    errors = tuple(_check_dependencies(file))
    if errors:
        return SettingsErrors(errors)
    return _build_settings(file, pathlib.Path(directory))


def _single_error(key: str, value: str, allowed: str) -> SettingsErrors:
    return SettingsErrors((SettingsError(key, value, allowed),))


def _format_value(value: object) -> str:
    text = str(value) if isinstance(value, Exception) else repr(value)
    return (
        text
        if len(text) <= _MAX_VALUE_CHARACTERS
        else text[: _MAX_VALUE_CHARACTERS - 1] + "…"
    )


def _validation_errors(
    error: pydantic.ValidationError,
) -> Iterator[SettingsError]:
    for detail in error.errors(include_url=False):
        location = [str(part) for part in detail["loc"] if part != "[key]"]
        missing = detail["type"] == "missing"
        yield SettingsError(
            key=".".join(location),
            value="nothing" if missing else _format_value(detail["input"]),
            allowed=_describe_allowed(location, detail["type"]),
        )


def _describe_allowed(location: list[str], kind: str) -> str:
    """Describes the values that the file may have at a location."""
    section: type[pydantic.BaseModel] = _SettingsFile
    description = ""
    for part in location:
        if part not in section.model_fields:
            if kind == "extra_forbidden":
                return "one of the keys " + ", ".join(section.model_fields)
            return description
        field = section.model_fields[part]
        description = field.description or _DESCRIPTION_BY_KEY[part]
        section = _SECTION_BY_KEY.get(part, section)
    return description


_SECTION_BY_KEY: Mapping[str, type[pydantic.BaseModel]] = {
    "limits": _Limits,
    "timing": _Timing,
    "policy": _Policy,
    "tls": _Tls,
}

#: Descriptions of optional keys, whose union type hides the field's own.
_DESCRIPTION_BY_KEY = {
    "data_dir": _PATH_DESCRIPTION.replace("file", "folder", 1),
    "rule_file": _PATH_DESCRIPTION,
    "announce_key_hash": "the SHA-256 of the key as 64 hex digits",
    "statsd_address": _ADDRESS_DESCRIPTION,
}


def _check_dependencies(file: _SettingsFile) -> Iterator[SettingsError]:
    """Reports conflicts between settings."""
    if file.voter and file.data_dir is None:
        yield SettingsError(
            "data_dir", "nothing", "a folder, because `voter` is true"
        )
    if not file.peers and not file.voters:
        yield SettingsError(
            "peers", "[]", "at least one address in `peers` or `voters`"
        )
    if file.http_address == file.grpc_address:
        yield SettingsError(
            "grpc_address",
            repr(file.grpc_address),
            "another address than `http_address`",
        )
    own_address = file.voters.get(file.name)
    if own_address is not None and own_address != file.grpc_address:
        yield SettingsError(
            f"voters.{file.name}",
            repr(own_address),
            f"the instance's own grpc_address {file.grpc_address}",
        )
    if own_address is not None and not file.voter:
        yield SettingsError(
            "voter", "false", "true, because `voters` names this instance"
        )
    if len(set(file.voters.values())) < len(file.voters):
        yield SettingsError(
            "voters",
            _format_value(file.voters),
            "a different address for each voter",
        )
    yield from _check_timing(file.timing)


def _check_timing(timing: _Timing) -> Iterator[SettingsError]:
    if timing.lease_renew_period_s * 2 > timing.lease_term_s:
        yield SettingsError(
            "timing.lease_renew_period_s",
            str(timing.lease_renew_period_s),
            "at most half of lease_term_s, so that the lease survives one "
            "lost renewal",
        )
    propagation_s = (
        timing.lease_term_s
        + timing.lease_renew_period_s
        + _ELECTION_ALLOWANCE_S
    )
    if propagation_s > _MAX_PROPAGATION_S:
        yield SettingsError(
            "timing.lease_term_s",
            str(timing.lease_term_s),
            f"at most {_MAX_PROPAGATION_S - _ELECTION_ALLOWANCE_S:g} together "
            "with lease_renew_period_s, so that rules are in effect everywhere "
            f"within {_MAX_PROPAGATION_S:g} s",
        )
    if timing.heartbeat_period_s * 2 > timing.election_timeout_s:
        yield SettingsError(
            "timing.heartbeat_period_s",
            str(timing.heartbeat_period_s),
            "at most half of election_timeout_s",
        )


def _build_settings(
    file: _SettingsFile, directory: pathlib.Path
) -> _settings.Settings:
    return _settings.Settings(
        name=file.name,
        zone=file.zone,
        region=file.region,
        http_address=file.http_address,
        grpc_address=file.grpc_address,
        peers=tuple(file.peers),
        data_dir=_resolve(directory, file.data_dir),
        voter=file.voter,
        voters_by_name=dict(file.voters),
        rule_file=_resolve(directory, file.rule_file),
        announce_key_hash=_or_unset(file.announce_key_hash),
        statsd_address=_or_unset(file.statsd_address),
        tls=_build_tls(directory, file.tls),
        limits=_settings.Limits(**file.limits.model_dump()),
        timing=_settings.Timing(**file.timing.model_dump()),
        policy=_settings.Policy(**file.policy.model_dump()),
    )


def _or_unset(value: str | None) -> str | core.Missing:
    return core.Missing.UNSET if value is None else value


def _resolve(directory: pathlib.Path, path: str | None) -> str | core.Missing:
    return core.Missing.UNSET if path is None else str(directory / path)


def _build_tls(
    directory: pathlib.Path, tls: _Tls | None
) -> _settings.Tls | core.Missing:
    if tls is None:
        return core.Missing.UNSET
    return _settings.Tls(
        certificate_file=str(directory / tls.certificate_file),
        key_file=str(directory / tls.key_file),
        ca_file=str(directory / tls.ca_file),
    )
