"""Open connections between instances that go silent for good, all at once.

They are not reset, and new connections work.
"""

import contextlib
import pathlib
import threading
import time
from collections.abc import Iterator
from concurrent import futures
from typing import Any

import grpc
import pytest

import mulberry_core as core
import mulberry_rules as rules
import mulberry_standins as standins
import mulberry_state as state
from mulberry_state import _channels, _peers, _voter_client
from mulberry_wire import state_pb2, state_pb2_grpc

#: Voters of a deployment that tolerates the loss of two disks.
_VOTERS = 5
#: Renewals that may fail in a row: each takes up to 0.95 s with its pause, and
#: the lease of 4.5 s is up to 0.75 s old.
_MAX_FAILED_RENEWALS = 3
_LIMIT_S = 30.0


class _Voter(state_pb2_grpc.StateServicer):
    def __init__(self) -> None:
        #: Set while calls are answered.
        self.answers = threading.Event()
        self.answers.set()

    def Status(  # noqa: N802 (name of the gRPC method)
        self, request: state_pb2.StatusRequest, context: grpc.ServicerContext
    ) -> state_pb2.StatusReply:
        self.answers.wait(_LIMIT_S)
        return state_pb2.StatusReply(name="a")


class _Voters:
    """Voters behind relays that can silence open connections."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self.relays: list[standins.Relay] = []
        self.servicers: list[_Voter] = []
        for _ in range(_VOTERS):
            server = grpc.server(futures.ThreadPoolExecutor(4))
            servicer = _Voter()
            state_pb2_grpc.add_StateServicer_to_server(servicer, server)  # type: ignore[no-untyped-call]
            port = server.add_insecure_port("127.0.0.1:0")
            server.start()
            stack.callback(server.stop, 0)
            stack.callback(servicer.answers.set)
            relay = standins.Relay(f"127.0.0.1:{port}")
            stack.callback(relay.close)
            self.relays.append(relay)
            self.servicers.append(servicer)
        self.opened: list[str] = []
        self.channels = _channels.Channels(self._open)
        stack.callback(self.channels.close)

    @property
    def addresses(self) -> list[str]:
        return [relay.address for relay in self.relays]

    def ask(self, address: str, timeout_s: float = 0.5) -> str:
        """Returns why a call failed; empty if it was answered."""
        reply: Any = self.channels.call(
            address,
            state_pb2_grpc.StateStub,
            "Status",
            state_pb2.StatusRequest(),
            timeout_s,
        )
        return reply.reason if isinstance(reply, _peers.Unreachable) else ""

    def ask_until_answered(self, *addresses: str) -> None:
        """Waits for connections, which take long on a busy machine."""
        until_s = time.monotonic() + _LIMIT_S
        for address in addresses or self.addresses:
            while self.ask(address, _LIMIT_S):
                assert time.monotonic() < until_s

    def _open(self, address: str) -> grpc.Channel:
        self.opened.append(address)
        return _channels.open_insecure(address)


@pytest.fixture(name="stack")
def _stack() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as stack:
        yield stack


def test_silent_connections_to_all_voters_are_replaced_together(
    stack: contextlib.ExitStack,
) -> None:
    """Guards against a lease that expires while each voter is tried twice."""
    voters = _Voters(stack)
    voters.ask_until_answered()
    for relay in voters.relays:
        relay.blackhole()
    client = _voter_client.VoterClient(
        voters.addresses, voters.channels, core.SystemClock()
    )
    reasons = []
    for address, _ in client.attempts(core.SystemClock().now() + _LIMIT_S):
        reasons.append(voters.ask(address))
        if not reasons[-1]:
            break
    timeouts = sum("DEADLINE_EXCEEDED" in reason for reason in reasons)
    assert not reasons[-1]
    assert timeouts <= _MAX_FAILED_RENEWALS


def test_connections_that_work_are_kept(stack: contextlib.ExitStack) -> None:
    """Guards against new connections of all instances if two voters hang."""
    voters = _Voters(stack)
    first, second, *others = voters.addresses
    voters.ask_until_answered()
    for servicer in voters.servicers[:2]:
        servicer.answers.clear()
    for address in (first, others[0], second, *others):
        voters.ask(address, 0.2)
    assert sorted(voters.opened) == sorted(voters.addresses)


def test_connections_without_any_reply_are_kept(
    stack: contextlib.ExitStack,
) -> None:
    """Guards against new channels again and again while a fleet starts."""
    voters = _Voters(stack)
    for servicer in voters.servicers:
        servicer.answers.clear()
    for address in voters.addresses:
        assert voters.ask(address, 0.2)
    assert sorted(voters.opened) == sorted(voters.addresses)


def test_a_late_time_out_does_not_count_against_a_new_connection(
    stack: contextlib.ExitStack,
) -> None:
    """Guards against replacing the connections that replaced silent ones."""
    voters = _Voters(stack)
    first, second, third = voters.addresses[:3]
    voters.ask_until_answered(first, second, third)
    for servicer in voters.servicers:
        servicer.answers.clear()
    late = [threading.Thread(target=voters.ask, args=(third, 1.5))]
    late += [threading.Thread(target=voters.ask, args=(first, 1.5))]
    for thread in late:
        thread.start()
    for address in (first, second):
        assert voters.ask(address, 0.2)
    for thread in late:
        thread.join()
    for servicer in voters.servicers:
        servicer.answers.set()
    voters.ask_until_answered(first, second, third)
    assert len(voters.opened) == 6


class _Deployment:
    """Voters and a client whose connections all go over relays."""

    def __init__(
        self, stack: contextlib.ExitStack, folder: pathlib.Path
    ) -> None:
        timing = rules.Timing(lease_renew_period_s=0.75, lease_term_s=4.5)
        clock = core.SystemClock()
        servers = {}
        self.relay_by_name: dict[str, standins.Relay] = {}
        for name in "abcde"[:_VOTERS]:
            server = grpc.server(
                futures.ThreadPoolExecutor(state.SERVER_THREADS),
                options=state.CHANNEL_OPTIONS,
            )
            port = server.add_insecure_port("127.0.0.1:0")
            relay = standins.Relay(f"127.0.0.1:{port}")
            stack.callback(relay.close)
            servers[name] = server
            self.relay_by_name[name] = relay
        self.address_by_name = {
            name: relay.address for name, relay in self.relay_by_name.items()
        }
        for name, server in servers.items():
            node = state.StateNode(
                name,
                self.address_by_name[name],
                self.address_by_name,
                folder / name,
                clock,
                timing,
                state.FileRulesParser(),
            )
            node.add_to(server)
            server.start()
            node.start()
            stack.callback(node.stop, 0.0)
            stack.callback(server.stop, 0)
        self.counters = core.MemoryCounters()
        self.client = state.RemoteStateClient(
            "i",
            self.address_by_name.values(),
            clock,
            timing,
            counters=self.counters,
        )
        self.client.start()
        stack.callback(self.client.stop)


def test_the_lease_outlives_silent_connections(
    stack: contextlib.ExitStack, tmp_path: pathlib.Path
) -> None:
    """Guards against instances without a lease after links have changed.

    All connections of the voters and of the instance go silent at once.
    """
    deployment = _Deployment(stack, tmp_path)
    client = deployment.client
    _wait_for_renewals(deployment, 1)
    for address in deployment.address_by_name.values():
        client.voter_client.call(
            address, "Status", state_pb2.StatusRequest(), _LIMIT_S
        )
    _wait_for_renewals(deployment, 1)
    failed = deployment.counters.count("state.renew_failed")
    for relay in deployment.relay_by_name.values():
        relay.blackhole()
    _wait_for_renewals(deployment, 2)
    failed = deployment.counters.count("state.renew_failed") - failed
    assert failed <= _MAX_FAILED_RENEWALS


def _wait_for_renewals(deployment: _Deployment, count: int) -> None:
    """Waits for further renewals; a running one may have been answered."""
    wanted = deployment.counters.count("state.renewed") + count
    until_s = time.monotonic() + _LIMIT_S
    while deployment.counters.count("state.renewed") < wanted:
        assert time.monotonic() < until_s, "no renewal"
        time.sleep(0.01)
