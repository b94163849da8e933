"""Tests of commands with values that no sound instance proposes.

A record whose application fails stops the state machines of all voters, and
again after each restart, since it stays in the log.
"""

import collections.abc
import dataclasses
import enum
import math
import random
import typing
from typing import Any

import pytest

import mulberry_core as core
import mulberry_state as state
from mulberry_state import _codec, _commands, _machine, _view, _view_codec

_FLOATS = (0.0, -1.0, math.inf, -math.inf, math.nan, 1e308, 5e-324, 1.7e9)
_INTEGERS = (0, 1, -1, 2, 2**31 - 1, 2**31, 2**53, 2**63 - 1, -(2**63))
_TEXTS = (
    "",
    "m",
    "v",
    "k",
    "\x00",
    "\n",
    "\u00e9\u20ac\u2028",
    "x" * 70_000,
    "[" * 3_000,
    "edited-from 0\n",
    "edited-from 99999999999999999999\n",
)
_BYTES = (b"", b"\xff", b"[" * 3_000)


def _value(hint: Any, rng: random.Random) -> Any:
    """Returns an extreme value of a field's type."""
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return rng.choice(list(hint))
    if isinstance(hint, type) and dataclasses.is_dataclass(hint):
        return _instance(hint, rng)
    values: dict[Any, collections.abc.Sequence[Any]] = {
        float: _FLOATS,
        int: _INTEGERS,
        bool: (False, True),
        str: _TEXTS,
        bytes: _BYTES,
    }
    if hint in values:
        return rng.choice(values[hint])
    assert typing.get_origin(hint) is tuple
    item = typing.get_args(hint)[0]
    return tuple(_value(item, rng) for _ in range(rng.randint(0, 3)))


def _instance(cls: type, rng: random.Random) -> Any:
    hints = typing.get_type_hints(cls)
    return cls(**{name: _value(hint, rng) for name, hint in hints.items()})


@pytest.mark.parametrize("seed", range(60))
def test_no_command_fails_to_apply(seed: int) -> None:
    """Guards against a record that ends the group of voters for good."""
    rng = random.Random(seed)
    parser = state.FileRulesParser()
    machine = _machine.StateMachine(parser)
    for index in range(1, 60):
        command = _instance(rng.choice(typing.get_args(_commands.Command)), rng)
        try:
            data = _codec.encode_command(command)
        except ValueError:
            # Out of the range of a field, so it cannot be proposed.
            continue
        stamp = _machine.Stamp(index, 1.7e9 + index * 1_000.0, float(index))
        result = machine.apply(_codec.decode_command(data), stamp)
        _codec.result_message(result)
        message = _view_codec.encode_view(machine.view, 0, 0)
        _view_codec.decode_view(message, _view.EMPTY_VIEW, parser)
    restored = _machine.StateMachine(parser)
    restored.restore(machine.snapshot())
    assert restored.snapshot() == machine.snapshot()


def _bill(key: str, cost: float, tokens: int) -> state.Bill:
    return state.Bill("t", key, key, "k", "m", "v", tokens, tokens, cost, "d")


@pytest.mark.parametrize(
    ("cost", "micros"),
    [
        (math.nan, 0),
        (math.inf, 10**18),
        (-math.inf, 0),
        (-1.0, 0),
        (1e300, 10**18),
        (0.25, 250_000),
    ],
)
def test_odd_cost_is_billed_within_limits(
    cost: float, micros: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against one bill that stops the state of the deployment.

    An engine's answer with a huge token count was enough for it.
    """
    clock = core.ManualClock()
    client = state.LocalStateClient(state.FileRulesParser(), clock)
    result = client.propose(state.RecordBill("c", _bill("k", cost, 1)), 1.0)
    assert result == state.BillRecorded(True)
    (total,) = client.machine.ledger.sums()
    assert total.cost_micros == micros
    is_odd = cost != 0.25
    assert any("is billed as" in line for line in caplog.messages) == is_odd
    again = state.RecordBill("c2", _bill("k", cost, 1))
    assert client.propose(again, 1.0) == state.BillRecorded(True)


def test_sums_stay_within_the_range_of_a_snapshot() -> None:
    """Guards against a state of which no snapshot can be taken."""
    clock = core.ManualClock()
    client = state.LocalStateClient(state.FileRulesParser(), clock)
    for number in range(20):
        command = state.RecordBill(
            f"c{number}", _bill(f"k{number}", 1e300, 2**63 - 1)
        )
        client.propose(command, 1.0)
    assert client.machine.ledger.check() == ()
    restored = _machine.StateMachine(state.FileRulesParser())
    restored.restore(client.machine.snapshot())
    assert restored.ledger.sums() == client.machine.ledger.sums()
    assert restored.ledger.check() == ()
