"""Tests of the placement between instances, over gRPC on loopback."""

import collections
import dataclasses
from collections.abc import Callable, Iterator
from concurrent import futures

import grpc
import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_gateway as gateway
import mulberry_membership as membership
import mulberry_state as state
from mulberry_wire import placement_pb2, placement_pb2_grpc

_WORK = decisions.PromptWork("small", 5_000)
_DEADLINE_S = 1e6
_ENGINES = [decisions.EngineCandidate(f"e{n}", 1, 16) for n in range(6)]


class _Instance:
    """An instance of a zone that places requests."""

    def __init__(
        self,
        name: str,
        members: dict[str, membership.Member],
        clock: core.Clock,
        has_service: bool,
    ) -> None:
        self.name = name
        self.counters = core.MemoryCounters()
        self.server = grpc.server(futures.ThreadPoolExecutor(4))
        port = self.server.add_insecure_port("127.0.0.1:0")
        self.ledgers = gateway.WorkLedgers(clock)
        if has_service:
            gateway.add_placements_service(
                self.server, gateway.PlacementsServicer(self.ledgers, clock)
            )
        self.server.start()
        members[name] = membership.Member(
            name,
            f"127.0.0.1:{port}",
            "gent",
            "be",
            1,
            1,
            membership.MemberState.ALIVE,
        )
        self.members = members
        self.channels = state.Channels(state.open_insecure)
        self.client = gateway.PlacementClient(
            name,
            lambda: members,
            self.ledgers,
            self.channels,
            clock,
            self.counters,
        )

    def place(self) -> gateway.PlacementTicket | core.Missing:
        return self.client.place("s", "gent", _WORK, _ENGINES, _DEADLINE_S)

    def stop(self) -> None:
        self.channels.close()
        self.server.stop(0)


MakeInstances = Callable[..., list[_Instance]]


@pytest.fixture
def clock() -> core.ManualClock:
    return core.ManualClock(100.0)


@pytest.fixture
def make_instances(clock: core.ManualClock) -> Iterator[MakeInstances]:
    made: list[_Instance] = []

    def make(names: str, old: str = "") -> list[_Instance]:
        members: dict[str, membership.Member] = {}
        made.extend(
            _Instance(name, members, clock, has_service=name not in old)
            for name in names
        )
        return made

    yield make
    for instance in made:
        instance.stop()


def _tickets(instances: list[_Instance]) -> list[gateway.PlacementTicket]:
    placed = [instance.place() for instance in instances]
    found = [t for t in placed if isinstance(t, gateway.PlacementTicket)]
    assert len(found) == len(placed)
    return found


def test_instances_do_not_choose_the_same_idle_engine(
    make_instances: MakeInstances,
) -> None:
    """Guards against instances that each place by their own requests."""
    instances = make_instances("abc")
    tickets = _tickets(instances * 2)
    assert len({ticket.upstream for ticket in tickets}) == len(_ENGINES)
    assert len({ticket.scheduler for ticket in tickets}) == 1


def test_progress_reaches_the_scheduler(
    make_instances: MakeInstances, clock: core.ManualClock
) -> None:
    """Guards against work that stays in the ledger after it is done."""
    instances = make_instances("ab")
    tickets = _tickets(instances * 30)
    assert tickets[-1].wait_s > 0.0
    for index, ticket in enumerate(tickets):
        client = instances[index % 2].client
        client.reported(ticket, decisions.LoadReport(1, 0, 16, 1.6))
        client.began(ticket)
        client.ended(ticket)
    clock.advance(1.0)
    for instance in instances:
        instance.client.flush()
    assert _tickets(instances)[0].wait_s == 0.0
    scheduler = next(
        instance
        for instance in instances
        if instance.name == tickets[0].scheduler
    )
    paces = scheduler.ledgers.find("s").paces()
    assert paces == dict.fromkeys(paces, 1.6)


@pytest.mark.parametrize("lost", [True, False])
def test_next_instance_takes_the_place_of_a_scheduler(
    make_instances: MakeInstances, lost: bool
) -> None:
    """Guards against requests that wait for a scheduler that is gone or old."""
    instances = make_instances("abcd")
    first = _tickets(instances[:1])[0].scheduler
    scheduler = next(i for i in instances if i.name == first)
    others = [i for i in instances if i.name != first]
    scheduler.server.stop(0).wait()
    if not lost:
        # A build without the service answers that it does not know it.
        scheduler.server = grpc.server(futures.ThreadPoolExecutor(1))
    names = collections.Counter(t.scheduler for t in _tickets(others * 2))
    assert first not in names
    assert len(names) == 1


def test_older_builds_only(make_instances: MakeInstances) -> None:
    """Guards against requests that fail while builds are mixed."""
    instances = make_instances("abc", old="bc")
    # Each instance has its own ledger, so the others must not be asked twice.
    for _ in range(3):
        assert isinstance(instances[0].place(), gateway.PlacementTicket)


def test_no_instance_in_the_zone(make_instances: MakeInstances) -> None:
    """Guards against a zone whose instances are all lost."""
    instance = make_instances("a")[0]
    placed = instance.client.place("s", "other", _WORK, _ENGINES, _DEADLINE_S)
    assert placed is core.Missing.UNSET
    assert instance.counters.count("gateway.placements.failed") == 1


class _WrongReply(placement_pb2_grpc.PlacementsServicer):
    """Answers as no scheduler should."""

    def Place(  # noqa: N802 (name of the gRPC method)
        self, request: placement_pb2.PlaceRequest, context: grpc.ServicerContext
    ) -> placement_pb2.PlaceReply:
        del request, context
        return placement_pb2.PlaceReply(upstream="another")


def test_reply_that_names_no_candidate_is_not_used(
    make_instances: MakeInstances,
) -> None:
    """Guards against a request that fails for a scheduler's mistake."""
    instances = make_instances("ab", old="ab")
    for instance in instances:
        gateway.add_placements_service(instance.server, _WrongReply())  # type: ignore[arg-type]
    placed = [instance.place() for instance in instances]
    wrong = [p for p in placed if not isinstance(p, gateway.PlacementTicket)]
    own = [p for p in placed if isinstance(p, gateway.PlacementTicket)]
    # The instance that comes first asks itself, the other one asks it.
    assert len(wrong) + len(own) == 2
    assert all(ticket.upstream != "another" for ticket in own)


def test_progress_survives_a_failed_call(
    make_instances: MakeInstances, clock: core.ManualClock
) -> None:
    """Guards against slots that stay occupied after a lost message."""
    instances = make_instances("ab")
    ticket = _tickets(instances[:1])[0]
    scheduler = next(i for i in instances if i.name == ticket.scheduler)
    other = next(i for i in instances if i.name != ticket.scheduler)
    tickets = _tickets([other] * 40)
    for placed in tickets:
        other.client.began(placed)
        other.client.ended(placed)
    scheduler.ledgers.find("s")
    clock.advance(1.0)
    address = other.members[scheduler.name]
    other.members[scheduler.name] = dataclasses.replace(
        address, address="127.0.0.1:1"
    )
    other.client.flush()
    other.members[scheduler.name] = address
    clock.advance(2.5)
    other.client.flush()
    scheduler.client.ended(ticket)
    assert _tickets([scheduler])[0].wait_s == 0.0


def test_no_time_left(make_instances: MakeInstances) -> None:
    """Guards against a request that waits past its deadline."""
    instance = make_instances("a")[0]
    placed = instance.client.place("s", "gent", _WORK, _ENGINES, 99.0)
    assert placed is core.Missing.UNSET
