"""Conversion between the data classes and their protobuf messages.

A data class and its message share their name and their field names, so one
generic conversion serves all of them.
"""

import dataclasses
import enum
import re
import types
import typing
from collections.abc import Mapping
from typing import Any, TypeVar

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


_HINTS_BY_CLASS: dict[type, tuple[tuple[str, Any], ...]] = {}


def _hints(cls: type) -> tuple[tuple[str, Any], ...]:
    found = _HINTS_BY_CLASS.get(cls)
    if found is None:
        hints = typing.get_type_hints(cls)
        names = [field.name for field in dataclasses.fields(cls)]
        found = tuple((name, hints[name]) for name in names)
        _HINTS_BY_CLASS[cls] = found
    return found


def fill(value: Any, target: Any) -> None:
    """Copies the fields of a data class into a message of its shape."""
    for name, _ in _hints(type(value)):
        item = getattr(value, name)
        if isinstance(item, enum.Enum):
            setattr(target, name, item.value)
        elif isinstance(item, tuple):
            getattr(target, name).extend(item)
        elif isinstance(item, Mapping):
            getattr(target, name).update(item)
        elif dataclasses.is_dataclass(item):
            part = getattr(target, name)
            part.SetInParent()
            fill(item, part)
        else:
            setattr(target, name, item)


def read(cls: type[_T], source: Any) -> _T:
    """Builds a data class from a message of its shape.

    Raises:
        ValueError: An enum field holds an unknown value.
    """
    return cls(
        **{
            name: _read_field(hint, getattr(source, name))
            for name, hint in _hints(cls)
        }
    )


def _read_field(hint: Any, value: Any) -> Any:
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint(value)
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return read(hint, value)
    origin = typing.get_origin(hint)
    if origin is tuple:
        return tuple(value)
    if origin in (Mapping, dict):
        return types.MappingProxyType(dict(value))
    return value


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
    part = getattr(outer, _field_name(type(value)))
    part.SetInParent()
    fill(value, part)


def _read_oneof(outer: Any) -> Any:
    field = outer.WhichOneof("kind")
    if field is None:
        raise ValueError("the message holds nothing known to this version")
    return read(_CLASS_BY_FIELD[field], getattr(outer, field))
