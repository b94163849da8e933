"""Tests of the engine client against a stand-in engine."""

import socket
from collections.abc import Iterator

import pytest

import mulberry_control as control
import mulberry_core as core
import mulberry_standins as standins
from mulberry_control import _engine_client

OUTCOME = control.OrderOutcome
LOAD = control.Order(control.OrderKind.LOAD, "cedro", "2", "order-1")


def _target(address: str) -> control.EngineTarget:
    return control.EngineTarget("engine", address, True, frozenset())


@pytest.fixture(name="address")
def _address() -> Iterator[str]:
    engine = standins.create(
        standins.Options(
            "engine",
            serves=(("cedro", "1"),),
            load_s=0.0,
            checks_fencing=True,
        )
    )
    engine.start()
    yield engine.address
    engine.stop()


def test_order_is_received_with_all_fields(address: str) -> None:
    """Guards against order fields that are lost on the way to the engine."""
    engine = control.HttpEngineClient()
    outcome = engine.send(_target(address), LOAD, 7, lambda: True)
    assert outcome is OUTCOME.DONE
    assert engine.received_orders(_target(address)) == (
        control.ReceivedOrder(LOAD, 7, True),
    )


def test_nothing_is_sent_without_the_lease(address: str) -> None:
    """Guards against an order sent after the lease has expired."""
    engine = control.HttpEngineClient()
    outcome = engine.send(_target(address), LOAD, 7, lambda: False)
    assert outcome is OUTCOME.NOT_SENT
    assert engine.received_orders(_target(address)) == ()


def test_lease_is_checked_after_connecting() -> None:
    """Guards against a lease that expires while the connection is set up."""
    asked: list[bool] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]

    def may_send() -> bool:
        asked.append(True)
        return True

    engine = control.HttpEngineClient()
    outcome = engine.send(
        _target(f"http://127.0.0.1:{port}"), LOAD, 7, may_send
    )
    assert outcome is OUTCOME.NOT_SENT
    assert asked == []


def test_outdated_and_malformed_orders(address: str) -> None:
    """Guards against a rejection reported as success."""
    engine = control.HttpEngineClient()
    target = _target(address)
    assert engine.send(target, LOAD, 7, lambda: True) is OUTCOME.DONE
    assert engine.send(target, LOAD, 6, lambda: True) is OUTCOME.OUTDATED
    role = control.Order(control.OrderKind.CHANGE_ROLE, "cedro", "r", "o")
    # The stand-in does not support roles.
    assert engine.send(target, role, 7, lambda: True) is OUTCOME.REJECTED


def test_closed_connection_leaves_the_outcome_unknown() -> None:
    """Guards against an order sent twice after a lost response."""
    import threading

    connections: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            accepted, _ = listener.accept()
            with accepted:
                connections.append(accepted.recv(65_536))

        thread = threading.Thread(target=serve)
        thread.start()
        port = listener.getsockname()[1]
        engine = control.HttpEngineClient()
        outcome = engine.send(
            _target(f"http://127.0.0.1:{port}"), LOAD, 7, lambda: True
        )
        thread.join()
        listener.settimeout(0.2)
        with pytest.raises(TimeoutError):
            listener.accept()
    assert outcome is OUTCOME.UNKNOWN
    assert len(connections) == 1


def test_unreachable_engine_is_a_refusal() -> None:
    """Guards against an exception raised instead of a refusal returned."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    answer = control.HttpEngineClient().received_orders(
        _target(f"http://127.0.0.1:{port}")
    )
    assert isinstance(answer, core.Refusal)


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 30_000,
        b'[{"order":"load","model":"m","version":"v","fencing_number":1e400}]',
        b'[{"order":["load"],"model":"m","version":"v","fencing_number":1}]',
        b"[" + b"9" * 5_000 + b"]",
        b"null",
        b"[[]]",
        b"\xff",
    ],
)
def test_odd_list_of_orders_is_a_refusal(body: bytes) -> None:
    """Guards against a task that an engine's answer ends."""
    assert isinstance(_engine_client._decode_list(body, "e"), core.Refusal)
