"""The memory budget: who is refused, who is given up, and what is counted."""

import dataclasses
from collections.abc import Callable, Sequence

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

import mulberry_core as core
from mulberry_core import _memory_budget

_KIB = 1_024
_CONNECTION_BYTES = 16 * _KIB
_LIMITS = core.BudgetLimits(
    max_bytes=1_600 * _KIB,
    max_connections=16,
    connection_bytes=_CONNECTION_BYTES,
    max_wait_s=0.0,
)
_STALLED_S = _memory_budget.STALL_S + 0.1


class _Budget:
    """A budget with a clock that the test advances."""

    def __init__(self, limits: core.BudgetLimits = _LIMITS) -> None:
        self.clock = core.ManualClock()
        self.budget = core.MemoryBudget(limits, self.clock)
        #: Names of the connections that were given up, in their order.
        self.evicted: list[str] = []

    def open(
        self, name: str, is_reserved: bool = False
    ) -> core.MemoryAccount | core.Missing:
        return self.budget.open(lambda: self.evicted.append(name), is_reserved)

    def must_open(self, name: str) -> core.MemoryAccount:
        account = self.open(name)
        assert isinstance(account, core.MemoryAccount)
        return account

    def reading(self, name: str, size_bytes: int) -> core.MemoryAccount:
        """Opens a connection with an incomplete request of this size."""
        account = self.must_open(name)
        account.reading(self.clock.now())
        assert account.charge_request(size_bytes)
        return account

    def running(self, name: str, size_bytes: int) -> core.MemoryAccount:
        """Opens a connection with a complete request of this size."""
        account = self.reading(name, size_bytes)
        assert account.run()
        return account


def test_charges_are_counted_in_steps_and_freed() -> None:
    """Guards against a budget that shrinks with each request."""
    made = _Budget()
    account = made.reading("a", 1)
    assert made.budget.usage().charged_bytes == 2 * _CONNECTION_BYTES
    assert account.charge_answer(20 * _KIB)
    assert account.charge_request(0)
    assert made.budget.usage().charged_bytes == 3 * _CONNECTION_BYTES
    account.idle(1.0)
    assert made.budget.usage().charged_bytes == _CONNECTION_BYTES
    account.close()
    account.close()
    assert made.budget.usage().charged_bytes == 0
    assert not account.charge_request(1)


@dataclasses.dataclass(frozen=True)
class _Connection:
    """A connection that is open when another one asks for memory."""

    name: str
    phase: core.Phase
    #: When it was opened and when its last byte arrived, seconds.
    began_s: float
    progress_s: float
    size_bytes: int = 300 * _KIB


_READING, _IDLE, _RUNNING = (
    core.Phase.READING,
    core.Phase.IDLE,
    core.Phase.RUNNING,
)


@pytest.mark.parametrize(
    ("connections", "evicted"),
    [
        pytest.param(
            [
                _Connection("late", _READING, 0.0, 2.0),
                _Connection("early", _READING, 1.0, 1.0),
                _Connection("moving", _READING, 2.0, 10.0),
            ],
            ["early"],
            id="the one that has stalled for longest",
        ),
        pytest.param(
            [
                _Connection("idle", _IDLE, 0.0, 1.0, 0),
                _Connection("stalled", _READING, 0.0, 2.0),
                _Connection("moving", _READING, 2.0, 10.0),
                _Connection("run", _RUNNING, 0.0, 0.0),
            ],
            ["stalled"],
            id="an incomplete request before an idle connection",
        ),
        pytest.param(
            [
                _Connection("first", _READING, 1.0, 10.0),
                _Connection("second", _READING, 2.0, 10.0),
                _Connection("third", _READING, 3.0, 10.0),
            ],
            ["third"],
            id="the newest of those that move",
        ),
        pytest.param(
            [
                _Connection("first", _RUNNING, 1.0, 1.0),
                _Connection("second", _RUNNING, 2.0, 1.0),
                _Connection("third", _RUNNING, 3.0, 1.0),
            ],
            [],
            id="no complete request",
        ),
    ],
)
def test_room_is_made_in_order(
    connections: Sequence[_Connection], evicted: Sequence[str]
) -> None:
    """Guards against a crowd of stalled requests that locks out others."""
    made = _Budget()
    asking = made.running("asking", 0)
    for connection in connections:
        account = made.must_open(connection.name)
        if connection.phase is not _IDLE:
            account.reading(connection.began_s)
            assert account.charge_request(connection.size_bytes)
        if connection.phase is _RUNNING:
            assert account.run()
        account.progress_s = connection.progress_s
    made.clock.advance(10.0)
    assert not asking.charge_answer(300 * _KIB)
    assert made.evicted == evicted


def test_a_given_up_request_may_not_run() -> None:
    """Guards against a request that runs although it is refused with 503."""
    made = _Budget()
    account = made.reading("a", 0)
    made.clock.advance(_STALLED_S)
    asking = made.running("asking", 0)
    assert not asking.charge_answer(2_000 * _KIB)
    assert made.evicted == ["a"]
    assert not account.run()


def test_a_running_request_is_not_given_up() -> None:
    """Guards against a run whose caller gets no response."""
    made = _Budget()
    account = made.running("a", 500 * _KIB)
    made.clock.advance(_STALLED_S)
    assert not made.running("b", 0).charge_answer(2_000 * _KIB)
    assert made.evicted == []
    assert not account.is_evicted


def test_an_answer_does_not_wait_if_nobody_can_be_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a run that waits for memory until its deadline.

    Sixty-four endless answers were given up one by one, 1.5 s each, and ended
    with 504.
    """
    made = _Budget(dataclasses.replace(_LIMITS, max_wait_s=1.5))

    def wait(timeout_s: float) -> None:
        pytest.fail(f"waits for {timeout_s} s")

    monkeypatch.setattr(made.budget._changed, "wait", wait)
    made.running("a", 600 * _KIB)
    assert not made.running("b", 0).charge_answer(600 * _KIB)


@pytest.mark.parametrize(
    ("is_reserved", "size_bytes", "fits"),
    [
        # In steps of 16 KiB, besides 16 KiB for the connection.
        (False, 976 * _KIB, True),
        (False, 992 * _KIB, False),
        (True, 1_184 * _KIB, True),
        (True, 1_200 * _KIB, False),
    ],
)
def test_large_requests_leave_shares_to_others(
    is_reserved: bool, size_bytes: int, fits: bool
) -> None:
    """Guards against large bodies that lock out requests of the usual size."""
    made = _Budget()
    account = made.open("a", is_reserved)
    assert isinstance(account, core.MemoryAccount)
    account.reading(0.0)
    assert account.charge_request(size_bytes) is fits
    assert isinstance(made.open("b"), core.MemoryAccount)


def test_connections_are_limited_and_a_share_is_reserved() -> None:
    """Guards against callers that lock out operators and workers."""
    made = _Budget()
    for number in range(14):
        assert made.running(str(number), 0)
    assert made.open("caller") is core.Missing.UNSET
    assert isinstance(made.open("worker", True), core.MemoryAccount)
    assert made.budget.usage().refused == 1


def test_an_idle_connection_makes_room_for_a_new_one() -> None:
    """Guards against idle connections that lock out callers."""
    made = _Budget()
    accounts = []
    for number in range(14):
        made.clock.advance(0.01)
        accounts.append(made.must_open(str(number)))
    assert made.open("new") is core.Missing.UNSET
    assert made.evicted == []
    made.clock.advance(_STALLED_S)
    assert made.open("new") is core.Missing.UNSET
    assert made.evicted == ["0"]
    accounts[0].close()
    assert isinstance(made.open("new"), core.MemoryAccount)
    assert made.budget.usage().closed == 1


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Connections that come, grow, run and go in any order.

    Guards against charges above the limit, and against charges that are lost
    or kept when a connection is given up, refused or closed.
    """

    accounts: stateful.Bundle[core.MemoryAccount] = stateful.Bundle("accounts")

    def __init__(self) -> None:
        super().__init__()
        self._made = _Budget()
        self._now_s = 0.0
        self._open: list[core.MemoryAccount] = []

    @stateful.rule(target=accounts, is_reserved=st.booleans())
    def open(
        self, is_reserved: bool
    ) -> core.MemoryAccount | stateful.MultipleResults[core.MemoryAccount]:
        account = self._made.open("x", is_reserved)
        if isinstance(account, core.Missing):
            return stateful.multiple()
        self._open.append(account)
        return account

    @stateful.rule(
        account=accounts,
        size_bytes=st.integers(0, 1_000 * _KIB),
        charge=st.sampled_from(
            [
                core.MemoryAccount.charge_request,
                core.MemoryAccount.charge_answer,
            ]
        ),
    )
    def charge(
        self,
        account: core.MemoryAccount,
        size_bytes: int,
        charge: Callable[[core.MemoryAccount, int], bool],
    ) -> None:
        before = account.charged_bytes
        if not charge(account, size_bytes):
            assert account.charged_bytes == before

    @stateful.rule(account=accounts)
    def read(self, account: core.MemoryAccount) -> None:
        if account.phase is not core.Phase.RUNNING:
            account.reading(self._now_s)

    @stateful.rule(account=accounts)
    def run(self, account: core.MemoryAccount) -> None:
        assert account.run() is not account.is_evicted

    @stateful.rule(account=accounts)
    def finish(self, account: core.MemoryAccount) -> None:
        account.charge_request(0)
        account.idle(self._now_s)

    @stateful.rule(account=accounts)
    def close(self, account: core.MemoryAccount) -> None:
        account.close()
        if account in self._open:
            self._open.remove(account)

    @stateful.rule(passed_s=st.floats(0.0, 2.0))
    def wait(self, passed_s: float) -> None:
        self._now_s += passed_s
        self._made.clock.advance(passed_s)

    @stateful.invariant()
    def charges_are_within_the_limit(self) -> None:
        usage = self._made.budget.usage()
        assert usage.charged_bytes == sum(a.charged_bytes for a in self._open)
        assert 0 <= usage.charged_bytes <= usage.peak_bytes
        assert usage.peak_bytes <= _LIMITS.max_bytes
        assert usage.connections == len(self._open)
        assert usage.connections <= _LIMITS.max_connections
        assert usage.closed == len(self._made.evicted)

    def teardown(self) -> None:
        for account in self._open:
            account.close()
        assert self._made.budget.usage().charged_bytes == 0


TestBudget = BudgetMachine.TestCase
TestBudget.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
