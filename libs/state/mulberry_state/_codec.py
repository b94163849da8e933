"""Conversion between data classes and protobuf messages.

A data class and its message share their name and their field names, so one
generic conversion serves all of them.
"""

import dataclasses
import enum
import functools
import re
import types
import typing
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from google.protobuf import message

from mulberry_state import _commands
from mulberry_wire import state_pb2

_T = TypeVar("_T")


def _oneof_field_name(cls: type) -> str:
    """Returns the name of the `oneof` field that holds a data class."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", cls.__name__).lower()


_CLASS_BY_ONEOF_FIELD: Mapping[str, type] = {
    _oneof_field_name(cls): cls
    for union in (_commands.Command, _commands.Result)
    for cls in typing.get_args(union)
}


_ONEOF_FIELD_BY_CLASS: Mapping[type, str] = {
    cls: field for field, cls in _CLASS_BY_ONEOF_FIELD.items()
}


class _FieldCodec(NamedTuple):
    """Conversion of one field.

    Cached per class, because conversion dominates the time of log replay.
    """

    name: str
    #: Writes a value to the field of a message.
    fill: Callable[[Any, str, Any], None]
    #: Converts the field of a message to a value.
    read: Callable[[Any], Any]


_FIELD_CODECS_BY_CLASS: dict[type, tuple[_FieldCodec, ...]] = {}


def _field_codecs(cls: type) -> tuple[_FieldCodec, ...]:
    codecs = _FIELD_CODECS_BY_CLASS.get(cls)
    if codecs is None:
        hints = typing.get_type_hints(cls)
        names = [field.name for field in dataclasses.fields(cls)]
        codecs = tuple(_field_codec(name, hints[name]) for name in names)
        _FIELD_CODECS_BY_CLASS[cls] = codecs
    return codecs


def _field_codec(name: str, hint: Any) -> _FieldCodec:
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _FieldCodec(name, _fill_enum, hint)
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return _FieldCodec(
            name, _fill_submessage, functools.partial(read, hint)
        )
    origin = typing.get_origin(hint)
    if origin is tuple:
        return _FieldCodec(name, _fill_repeated, tuple)
    if origin is Mapping:
        return _FieldCodec(name, _fill_map, _read_map)
    return _FieldCodec(name, setattr, _read_scalar)


def _fill_enum(target: Any, name: str, value: Any) -> None:
    setattr(target, name, value.value)


def _fill_submessage(target: Any, name: str, value: Any) -> None:
    submessage = getattr(target, name)
    submessage.SetInParent()
    fill(value, submessage)


def _fill_repeated(target: Any, name: str, value: Any) -> None:
    getattr(target, name).extend(value)


def _fill_map(target: Any, name: str, value: Any) -> None:
    getattr(target, name).update(value)


def _read_map(value: Any) -> Any:
    return types.MappingProxyType(dict(value))


def _read_scalar(value: Any) -> Any:
    return value


def fill(value: Any, target: Any) -> None:
    """Copies the fields of a data class into the matching message."""
    for name, fill_field, _ in _field_codecs(type(value)):
        fill_field(target, name, getattr(value, name))


def read(cls: type[_T], source: Any) -> _T:
    """Builds a data class from the matching message.

    Raises:
        ValueError: An enum field holds an unknown value.
    """
    return cls(
        *[
            read_field(getattr(source, name))
            for name, _, read_field in _field_codecs(cls)
        ]
    )


def encode_command(command: _commands.Command) -> bytes:
    """Serializes a command for the log."""
    envelope = state_pb2.Command()
    _fill_oneof(command, envelope)
    return envelope.SerializeToString()


def decode_command(data: bytes) -> _commands.Command:
    """Parses a command from the log.

    Raises:
        ValueError: The bytes are malformed or hold a command that this version
            does not know.
    """
    return typing.cast(
        _commands.Command, _read_oneof(_parse(state_pb2.Command(), data))
    )


def fill_result(result: _commands.Result, target: state_pb2.Result) -> None:
    """Copies a result into its message."""
    _fill_oneof(result, target)


def result_message(result: _commands.Result) -> state_pb2.Result:
    """Converts a result to its message."""
    envelope = state_pb2.Result()
    _fill_oneof(result, envelope)
    return envelope


def read_result(source: state_pb2.Result) -> _commands.Result:
    """Reads a result from its message."""
    return typing.cast(_commands.Result, _read_oneof(source))


def _parse(envelope: Any, data: bytes) -> Any:
    try:
        envelope.ParseFromString(data)
    except message.DecodeError as error:
        raise ValueError(f"malformed message: {error}") from error
    return envelope


def _fill_oneof(value: Any, envelope: Any) -> None:
    submessage = getattr(envelope, _ONEOF_FIELD_BY_CLASS[type(value)])
    submessage.SetInParent()
    fill(value, submessage)


def _read_oneof(envelope: Any) -> Any:
    field = envelope.WhichOneof("kind")
    if field is None:
        raise ValueError("no command or result known to this version")
    return read(_CLASS_BY_ONEOF_FIELD[field], getattr(envelope, field))
