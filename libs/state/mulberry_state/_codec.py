"""Conversion between the data classes and their protobuf messages.

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


def _field_name(cls: type) -> str:
    """Returns the name of the `oneof` field for a data class."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", cls.__name__).lower()


_CLASS_BY_FIELD: Mapping[str, type] = {
    _field_name(cls): cls
    for union in (_commands.Command, _commands.Result)
    for cls in typing.get_args(union)
}


_FIELD_BY_CLASS: Mapping[type, str] = {
    cls: field for field, cls in _CLASS_BY_FIELD.items()
}


class _Field(NamedTuple):
    """How one field travels; worked out once, since replay is bound by it."""

    name: str
    #: Writes a value into the field of a message.
    fill: Callable[[Any, str, Any], None]
    #: Turns the field of a message into a value.
    read: Callable[[Any], Any]


_FIELDS_BY_CLASS: dict[type, tuple[_Field, ...]] = {}


def _fields(cls: type) -> tuple[_Field, ...]:
    found = _FIELDS_BY_CLASS.get(cls)
    if found is None:
        hints = typing.get_type_hints(cls)
        names = [field.name for field in dataclasses.fields(cls)]
        found = tuple(_field(name, hints[name]) for name in names)
        _FIELDS_BY_CLASS[cls] = found
    return found


def _field(name: str, hint: Any) -> _Field:
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _Field(name, _fill_enum, hint)
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return _Field(name, _fill_part, functools.partial(read, hint))
    origin = typing.get_origin(hint)
    if origin is tuple:
        return _Field(name, _fill_tuple, tuple)
    if origin is Mapping:
        return _Field(name, _fill_mapping, _read_mapping)
    return _Field(name, setattr, _read_plain)


def _fill_enum(target: Any, name: str, value: Any) -> None:
    setattr(target, name, value.value)


def _fill_part(target: Any, name: str, value: Any) -> None:
    part = getattr(target, name)
    part.SetInParent()
    fill(value, part)


def _fill_tuple(target: Any, name: str, value: Any) -> None:
    getattr(target, name).extend(value)


def _fill_mapping(target: Any, name: str, value: Any) -> None:
    getattr(target, name).update(value)


def _read_mapping(value: Any) -> Any:
    return types.MappingProxyType(dict(value))


def _read_plain(value: Any) -> Any:
    return value


def fill(value: Any, target: Any) -> None:
    """Copies the fields of a data class into a message of its shape."""
    for name, fill_field, _ in _fields(type(value)):
        fill_field(target, name, getattr(value, name))


def read(cls: type[_T], source: Any) -> _T:
    """Builds a data class from a message of its shape.

    Raises:
        ValueError: An enum field holds an unknown value.
    """
    return cls(
        *[
            read_field(getattr(source, name))
            for name, _, read_field in _fields(cls)
        ]
    )


def encode_command(command: _commands.Command) -> bytes:
    """Returns the bytes of a command as they stand in the log."""
    outer = state_pb2.Command()
    _fill_oneof(command, outer)
    return outer.SerializeToString()


def decode_command(data: bytes) -> _commands.Command:
    """Reads a command.

    Raises:
        ValueError: The bytes hold no command known to this version.
    """
    return typing.cast(
        _commands.Command, _read_oneof(_parse(state_pb2.Command(), data))
    )


def fill_result(result: _commands.Result, target: state_pb2.Result) -> None:
    """Copies a result into its message."""
    _fill_oneof(result, target)


def result_message(result: _commands.Result) -> state_pb2.Result:
    """Returns the message of a result."""
    outer = state_pb2.Result()
    _fill_oneof(result, outer)
    return outer


def read_result(source: state_pb2.Result) -> _commands.Result:
    """Reads a result from its message."""
    return typing.cast(_commands.Result, _read_oneof(source))


def _parse(outer: Any, data: bytes) -> Any:
    try:
        outer.ParseFromString(data)
    except message.DecodeError as error:
        raise ValueError(f"malformed message: {error}") from error
    return outer


def _fill_oneof(value: Any, outer: Any) -> None:
    part = getattr(outer, _FIELD_BY_CLASS[type(value)])
    part.SetInParent()
    fill(value, part)


def _read_oneof(outer: Any) -> Any:
    field = outer.WhichOneof("kind")
    if field is None:
        raise ValueError("the message holds nothing known to this version")
    return read(_CLASS_BY_FIELD[field], getattr(outer, field))
