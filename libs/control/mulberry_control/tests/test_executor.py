"""Tests of the order executor, with overlapping and crashed holders."""

import dataclasses
from collections.abc import Callable

import pytest

import mulberry_control as control
import mulberry_core as core
import mulberry_rules as rules
import mulberry_state as state

LEASE = "orders"
LEASE_S = 10.0
KIND = control.OrderKind
OUTCOME = control.OrderOutcome


class _NoRules(state.RulesParser):
    def parse(self, text: str) -> rules.Rules | tuple[str, ...]:
        return ("no rules in this test",)

    def diff(self, old: rules.Rules, new: rules.Rules) -> tuple[str, ...]:
        return ()


@dataclasses.dataclass
class _Engine:
    """An engine that applies orders as the platform specifies."""

    target: control.EngineTarget
    highest: int = 0
    loaded: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    received: list[tuple[int, control.Order]] = dataclasses.field(
        default_factory=list
    )

    def receive(self, order: control.Order, number: int) -> bool:
        if self.target.checks_fencing and number < self.highest:
            return False
        self.highest = max(self.highest, number)
        self.received.append((number, order))
        pair = (order.model, order.version)
        if order.kind is KIND.LOAD:
            self.loaded.add(pair)
        else:
            self.loaded.discard(pair)
        return True


class _Network(control.EngineClient):
    """Delivers orders to engines, immediately or on `deliver`."""

    def __init__(self, engines: dict[str, _Engine]) -> None:
        self.engines = engines
        #: Called between the first check of the lease and the send.
        self.before_send: Callable[[], None] = lambda: None
        self.delays = False
        self.rejects = False
        self.in_flight: list[tuple[str, control.Order, int]] = []

    def send(
        self,
        target: control.EngineTarget,
        order: control.Order,
        fencing_number: int,
        may_send: Callable[[], bool],
    ) -> control.OrderOutcome:
        self.before_send()
        if not may_send():
            return OUTCOME.NOT_SENT
        if self.rejects:
            return OUTCOME.REJECTED
        if self.delays:
            self.in_flight.append((target.name, order, fencing_number))
            return OUTCOME.UNKNOWN
        if self.engines[target.name].receive(order, fencing_number):
            return OUTCOME.DONE
        return OUTCOME.OUTDATED

    def received_orders(
        self, target: control.EngineTarget
    ) -> tuple[control.ReceivedOrder, ...] | core.Refusal:
        return tuple(
            control.ReceivedOrder(order, number, True)
            for number, order in self.engines[target.name].received
        )

    def deliver(self) -> None:
        for name, order, number in self.in_flight:
            self.engines[name].receive(order, number)
        self.in_flight.clear()


class _Setup:
    def __init__(self) -> None:
        self.clock = core.ManualClock(1_000.0)
        self.client = state.LocalStateClient(_NoRules(), self.clock)
        self.engines = {
            name: _Engine(
                control.EngineTarget(
                    name, f"http://{name}:1", checks, frozenset()
                )
            )
            for name, checks in (("a", True), ("b", False), ("c", False))
        }
        self.network = _Network(self.engines)
        self.rate = control.WeightRateLimit(loads=2, window_s=60.0)

    def target(self, name: str) -> control.EngineTarget:
        engine = self.engines[name]
        return dataclasses.replace(
            engine.target, versions=frozenset(engine.loaded)
        )

    def targets(self) -> dict[str, control.EngineTarget]:
        return {name: self.target(name) for name in self.engines}

    def holder(self, name: str) -> control.OrderExecutor:
        return control.OrderExecutor(
            control.ControlLease(self.client, self.clock, LEASE, name, LEASE_S),
            self.client,
            control.StateMachineOrderJournal(lambda: self.client.machine),
            self.network,
            self.clock,
            core.MemoryCounters(),
            self.rate,
        )

    def recorded(self, name: str) -> state.OrderState:
        orders = self.client.machine.leases.orders()
        return next(item.state for item in orders if item.upstream == name)


@pytest.fixture(name="setup")
def _setup() -> _Setup:
    return _Setup()


def _order(
    kind: control.OrderKind = KIND.LOAD, version: str = "2"
) -> control.Order:
    return control.Order(kind, "cedro", version, control.new_order_id())


def _prepared(setup: _Setup, name: str) -> control.OrderExecutor:
    holder = setup.holder(name)
    assert isinstance(holder.prepare(), control.HeldLease)
    return holder


def _wait_s(refusal: object) -> float:
    assert isinstance(refusal, core.Refusal)
    assert isinstance(refusal.retry_after_s, float)
    return refusal.retry_after_s


def test_order_is_sent_and_recorded(setup: _Setup) -> None:
    """Guards against an order without a record."""
    holder = _prepared(setup, "x")
    assert holder.execute(setup.target("a"), _order()) is OUTCOME.DONE
    assert setup.engines["a"].loaded == {("cedro", "2")}
    assert setup.recorded("a") is state.OrderState.DONE
    assert holder.unfinished_orders() == {}


def test_no_order_without_a_lease(setup: _Setup) -> None:
    """Guards against orders of an instance that never held the lease."""
    holder = setup.holder("x")
    refusal = holder.execute(setup.target("a"), _order())
    assert isinstance(refusal, core.Refusal)
    assert refusal.kind is core.ErrorKind.LEASE_LOST


def test_second_holder_is_refused(setup: _Setup) -> None:
    """Guards against two instances that send orders at the same time."""
    _prepared(setup, "x")
    other = setup.holder("y")
    assert isinstance(other.prepare(), core.Refusal)
    assert isinstance(other.execute(setup.target("a"), _order()), core.Refusal)


def test_lease_is_checked_immediately_before_sending(setup: _Setup) -> None:
    """Guards against an order sent by a holder suspended past its lease."""
    holder = _prepared(setup, "x")
    setup.network.before_send = lambda: setup.clock.advance(LEASE_S)
    assert holder.execute(setup.target("b"), _order()) is OUTCOME.NOT_SENT
    assert setup.engines["b"].received == []


def test_lease_ends_early_enough_for_clock_drift(setup: _Setup) -> None:
    """Guards against a holder with a slow clock that overlaps its successor."""
    holder = _prepared(setup, "x")
    setup.clock.advance(LEASE_S * 0.995)
    refusal = holder.execute(setup.target("a"), _order())
    assert isinstance(refusal, core.Refusal)


def _take_over(setup: _Setup) -> control.OrderExecutor:
    """Lets the lease of `x` expire and returns its new holder `y`."""
    setup.clock.advance(LEASE_S)
    return _prepared(setup, "y")


def test_fencing_number_grows_and_old_orders_are_rejected(
    setup: _Setup,
) -> None:
    """Guards against late orders at an engine that checks fencing numbers."""
    first = _prepared(setup, "x")
    setup.network.delays = True
    assert first.execute(setup.target("a"), _order()) is OUTCOME.UNKNOWN
    setup.network.delays = False
    second = _take_over(setup)
    outcomes = second.recover(setup.targets(), lambda *_: False)
    assert outcomes == {"a": OUTCOME.DONE}
    setup.network.deliver()
    assert setup.engines["a"].loaded == set()


def test_takeover_waits_for_orders_in_flight(setup: _Setup) -> None:
    """Guards against late orders at an engine that ignores fencing numbers."""
    first = _prepared(setup, "x")
    setup.network.delays = True
    assert first.execute(setup.target("b"), _order()) is OUTCOME.UNKNOWN
    setup.network.delays = False
    second = _take_over(setup)
    outcomes = second.recover(setup.targets(), lambda *_: False)
    wait_s = _wait_s(outcomes["b"])
    assert 0 < wait_s <= control.MAX_IN_FLIGHT_S
    # An unrecorded order may be in flight to any engine.
    unload = _order(KIND.UNLOAD)
    assert _wait_s(second.execute(setup.target("c"), unload)) > 0
    setup.clock.advance(wait_s - 0.01)
    setup.network.deliver()
    assert setup.engines["b"].loaded == {("cedro", "2")}
    second.prepare()
    setup.clock.advance(0.01)
    outcomes = second.recover(setup.targets(), lambda *_: False)
    assert outcomes == {"b": OUTCOME.DONE}
    assert setup.engines["b"].loaded == set()


def test_renewal_does_not_delay_orders(setup: _Setup) -> None:
    """Guards against a holder that waits again after each renewal."""
    holder = _prepared(setup, "x")
    for _ in range(3):
        setup.clock.advance(LEASE_S / 2)
        assert isinstance(holder.prepare(), control.HeldLease)
    outcome = holder.execute(setup.target("b"), _order(KIND.UNLOAD))
    assert outcome is OUTCOME.DONE


def test_unanswered_order_delays_the_next_one(
    setup: _Setup,
) -> None:
    """Guards against a late order that arrives after the next one."""
    holder = _prepared(setup, "x")
    setup.network.delays = True
    holder.execute(setup.target("b"), _order(KIND.UNLOAD))
    setup.network.delays = False
    assert set(holder.unfinished_orders()) == {"b"}
    outcomes = holder.recover(setup.targets(), lambda *_: True)
    wait_s = _wait_s(outcomes["b"])
    setup.clock.advance(wait_s)
    # Another order would replace the record of the unfinished one.
    refusal = holder.execute(setup.target("b"), _order(KIND.UNLOAD, "3"))
    assert isinstance(refusal, core.Refusal)
    outcomes = holder.recover(setup.targets(), lambda *_: True)
    assert outcomes == {"b": OUTCOME.DONE}
    assert holder.unfinished_orders() == {}


def test_unfinished_load_that_succeeded_is_recorded(setup: _Setup) -> None:
    """Guards against a second transfer of weights already loaded."""
    first = _prepared(setup, "x")
    setup.network.delays = True
    first.execute(setup.target("a"), _order())
    setup.network.delays = False
    setup.network.deliver()
    second = _take_over(setup)
    outcomes = second.recover(setup.targets(), lambda *_: True)
    assert outcomes == {"a": OUTCOME.DONE}
    assert len(setup.engines["a"].received) == 1
    assert setup.recorded("a") is state.OrderState.DONE


def test_unfinished_load_is_repeated(setup: _Setup) -> None:
    """Guards against a lasting shortage after a holder crashed."""
    first = _prepared(setup, "x")
    setup.network.delays = True
    first.execute(setup.target("a"), _order())
    setup.network.delays = False
    setup.network.in_flight.clear()
    second = _take_over(setup)
    # The repeated load also counts against the rate limit.
    outcomes = second.recover(setup.targets(), lambda *_: True)
    setup.clock.advance(_wait_s(outcomes["a"]))
    second.prepare()
    outcomes = second.recover(setup.targets(), lambda *_: True)
    assert outcomes == {"a": OUTCOME.DONE}
    assert setup.engines["a"].loaded == {("cedro", "2")}


def test_unfinished_order_to_a_departed_engine_fails(setup: _Setup) -> None:
    """Guards against an order that stays unfinished forever."""
    first = _prepared(setup, "x")
    setup.network.delays = True
    first.execute(setup.target("a"), _order())
    second = _take_over(setup)
    second.recover({}, lambda *_: True)
    assert second.unfinished_orders() == {}
    assert setup.recorded("a") is state.OrderState.FAILED


def test_rejected_order_is_recorded_as_failed(setup: _Setup) -> None:
    """Guards against a rejected order that is resent endlessly."""
    holder = _prepared(setup, "x")
    setup.network.rejects = True
    assert holder.execute(setup.target("a"), _order()) is OUTCOME.REJECTED
    assert setup.recorded("a") is state.OrderState.FAILED


def test_outdated_fencing_number_drops_the_lease(setup: _Setup) -> None:
    """Guards against a holder that continues after losing its lease."""
    holder = _prepared(setup, "x")
    setup.engines["a"].highest = 99
    assert holder.execute(setup.target("a"), _order()) is OUTCOME.OUTDATED
    assert isinstance(holder.execute(setup.target("c"), _order()), core.Refusal)


def test_rate_limit_applies_across_holders(setup: _Setup) -> None:
    """Guards against a new holder that exceeds the rate limit."""
    first = _prepared(setup, "x")
    assert first.execute(setup.target("a"), _order()) is OUTCOME.DONE
    assert first.execute(setup.target("b"), _order()) is OUTCOME.DONE
    assert _wait_s(first.execute(setup.target("c"), _order())) > 0
    second = _take_over(setup)
    setup.clock.advance(control.MAX_IN_FLIGHT_S)
    second.prepare()
    wait_s = _wait_s(second.execute(setup.target("c"), _order()))
    # 60 s since the loads, plus the allowance for clock skew.
    assert wait_s >= 60.0 - LEASE_S - control.MAX_IN_FLIGHT_S
    # The lease has expired, so the wait for late orders starts again.
    setup.clock.advance(wait_s)
    second.prepare()
    setup.clock.advance(control.MAX_IN_FLIGHT_S)
    assert second.execute(setup.target("c"), _order()) is OUTCOME.DONE


def test_load_before_an_unload_counts(setup: _Setup) -> None:
    """Guards against loads that the record of a later unload hides."""
    setup.rate = control.WeightRateLimit(loads=1, window_s=60.0)
    first = _prepared(setup, "x")
    assert first.execute(setup.target("a"), _order()) is OUTCOME.DONE
    unload = _order(KIND.UNLOAD)
    assert first.execute(setup.target("a"), unload) is OUTCOME.DONE
    assert _wait_s(first.execute(setup.target("a"), _order())) > 0
    second = _take_over(setup)
    setup.clock.advance(control.MAX_IN_FLIGHT_S)
    second.prepare()
    for name in ("a", "b"):
        wait_s = _wait_s(second.execute(setup.target(name), _order()))
        assert wait_s >= 60.0 - LEASE_S - control.MAX_IN_FLIGHT_S


def test_load_is_allowed_after_an_unload(setup: _Setup) -> None:
    """Guards against an engine without versions for a rate window."""
    holder = _prepared(setup, "x")
    assert holder.loads_available() == 2
    assert holder.may_load("a")
    unload = _order(KIND.UNLOAD, "1")
    assert holder.execute(setup.target("a"), unload) is OUTCOME.DONE
    assert holder.may_load("a")
    assert holder.execute(setup.target("a"), _order()) is OUTCOME.DONE
    assert not holder.may_load("a")
    assert holder.loads_available() == 1
    assert holder.execute(setup.target("b"), _order()) is OUTCOME.DONE
    assert holder.loads_available() == 0
    assert not holder.may_load("c")


def test_stale_journal_is_refused(setup: _Setup) -> None:
    """Guards against a holder that misses unfinished orders."""
    old_machine = state.StateMachine(_NoRules())
    holder = control.OrderExecutor(
        control.ControlLease(setup.client, setup.clock, LEASE, "x", LEASE_S),
        setup.client,
        control.StateMachineOrderJournal(lambda: old_machine),
        setup.network,
        setup.clock,
        core.MemoryCounters(),
        setup.rate,
    )
    assert isinstance(holder.prepare(), core.Refusal)
    assert isinstance(holder.execute(setup.target("a"), _order()), core.Refusal)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "load",
        "later cedro 2 id 0",
        "load cedro 2 id x",
        "load cedro 2 id \u00b2",
        "load cedro 2 id nan",
        "load cedro 2 id 0 more",
        f"load cedro 2 id {'9' * 400}",
        f"load cedro 2 id {'9' * 5_000}",
    ],
)
def test_odd_recorded_order_hides_no_other(
    setup: _Setup, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a lease that no holder can use, also after a restart.

    The recorded orders are read when the lease has a new holder.
    """
    old = _prepared(setup, "x")
    order = _order()
    assert old.execute(setup.target("b"), order) is OUTCOME.DONE
    (lease,) = setup.client.machine.leases.leases()
    odd = state.RecordOrder(
        "c", LEASE, lease.fencing_number, "a", text, state.OrderState.BEGUN
    )
    assert setup.client.propose(odd, 1.0) == state.OrderRecorded()
    setup.clock.advance(2 * LEASE_S)
    new = _prepared(setup, "y")
    assert new.unfinished_orders() == {}
    assert new.loads_available() == 1
    lines = [line for line in caplog.messages if "cannot be read" in line]
    assert len(lines) == 1
    assert "'a'" in lines[0]
