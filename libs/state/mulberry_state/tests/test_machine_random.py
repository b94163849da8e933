"""Property tests: random commands, resends and snapshots."""

import dataclasses

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

import mulberry_core as core
import mulberry_state as state
from mulberry_state import _claims, _invariants, _ledger

_KEYS = st.sampled_from(["k1", "k2", "k3"])
_REQUESTS = st.sampled_from(["r1", "r2", "r3", "r4"])
_BODIES = st.sampled_from(["d1", "d2"])
_ZONES = st.sampled_from(["z1", "z2"])
_ANSWER = state.Answer(200, "text/plain", b"ok", True)


def _bill(key: str, request_id: str, body: str) -> state.Bill:
    return state.Bill("t", key, request_id, "k", "m", "1", 1, 2, 0.1, body)


class MachineTest(stateful.RuleBasedStateMachine):
    """Compares with a simple model of the claims, bills and evacuations."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = core.ManualClock()
        self.parser = state.FileRulesParser()
        self.client = state.LocalStateClient(self.parser, self.clock)
        self.command_count = 0
        self.sent: list[tuple[state.Command, object]] = []
        #: Request ids of claims that were granted and not released.
        self.granted_by_key: dict[str, str] = {}
        self.billed_by_key: dict[str, str] = {}
        self.revision = 0
        self.fencing_number_by_holder: dict[str, int] = {}
        #: Change count of each zone, and whether it is evacuated.
        self.evacuation_by_zone: dict[str, tuple[int, bool]] = {}

    def _send(self, command: state.Command) -> object:
        result = self.client.propose(command, 1.0)
        self.sent.append((command, result))
        return result

    def _id(self) -> str:
        self.command_count += 1
        return f"c{self.command_count}"

    @stateful.rule(key=_KEYS, request=_REQUESTS, body=_BODIES)
    def claim(self, key: str, request: str, body: str) -> None:
        result = self._send(
            state.ClaimCall(self._id(), "t", key, body, "k", request, "e")
        )
        if isinstance(result, state.ClaimGranted):
            assert key not in self.granted_by_key
            assert key not in self.billed_by_key
            self.granted_by_key[key] = request

    @stateful.rule(key=_KEYS, request=_REQUESTS)
    def settle(self, key: str, request: str) -> None:
        bill = _bill(key, request, "d1")
        result = self._send(
            state.SettleClaim(self._id(), "t", key, request, _ANSWER, bill)
        )
        if isinstance(result, state.ClaimSettled):
            assert self.granted_by_key[key] == request
            self.billed_by_key[key] = request

    @stateful.rule(key=_KEYS, request=_REQUESTS)
    def release(self, key: str, request: str) -> None:
        result = self._send(state.ReleaseClaim(self._id(), "t", key, request))
        if isinstance(result, state.ClaimReleased):
            assert self.granted_by_key.pop(key) == request
            assert key not in self.billed_by_key

    @stateful.rule(key=_KEYS, request=_REQUESTS, body=_BODIES)
    def bill(self, key: str, request: str, body: str) -> None:
        command = state.RecordBill(self._id(), _bill(key, request, body))
        result = self._send(command)
        if result == state.BillRecorded(True):
            assert self.billed_by_key.setdefault(key, request) == request

    @stateful.rule(holder=st.sampled_from("ab"), wait_s=st.floats(0, 20))
    def lease(self, holder: str, wait_s: float) -> None:
        self.clock.advance(wait_s)
        result = self._send(
            state.AcquireLease(self._id(), "pool", holder, 10.0)
        )
        if isinstance(result, state.LeaseGranted):
            old = max(self.fencing_number_by_holder.values(), default=0)
            assert result.fencing_number >= old
            same = self.fencing_number_by_holder.get(holder) == old
            assert same or result.fencing_number > old
            self.fencing_number_by_holder[holder] = result.fencing_number

    @stateful.rule(after=st.integers(0, 3), digest=_BODIES)
    def verdict_and_crash(self, after: int, digest: str) -> None:
        bad = state.VerdictState.BAD
        before = self.client.view().verdicts_by_version.get(("m", "1"))
        result = self._send(
            state.RecordVerdict(self._id(), "m", "1", bad, "w", "e", after)
        )
        number = before.number if before else 0
        if isinstance(result, state.VerdictRecorded):
            assert result.number == number + 1 == after + 1
        self._send(state.RecordCrash(self._id(), "u", after, (digest,)))

    @stateful.rule(
        zone=_ZONES, is_evacuated=st.booleans(), lag=st.integers(0, 2)
    )
    def evacuate(self, zone: str, is_evacuated: bool, lag: int) -> None:
        number, before = self.evacuation_by_zone.get(zone, (0, False))
        result = self._send(
            state.ChangeEvacuation(
                self._id(), zone, is_evacuated, "o", max(0, number - lag)
            )
        )
        is_current = not lag or not number
        changed = is_current and is_evacuated is not before
        if changed:
            self.evacuation_by_zone[zone] = (number + 1, is_evacuated)
            number, before = self.evacuation_by_zone[zone]
        assert result == state.EvacuationChanged(changed, number, before)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data())
    def send_again(self, data: st.DataObject) -> None:
        command, result = data.draw(st.sampled_from(self.sent))
        before = self.client.machine.ledger.sums()
        view = self.client.view()
        assert self.client.propose(command, 1.0) == result
        assert self.client.machine.ledger.sums() == before
        assert self.client.view() == view

    @stateful.rule()
    def restart(self) -> None:
        data = self.client.machine.snapshot()
        copy = state.StateMachine(self.parser)
        copy.restore(data)
        assert copy.snapshot() == data
        self.client.machine = copy

    @stateful.invariant()
    def bills_are_those_of_the_model(self) -> None:
        ledger = self.client.machine.ledger
        rows = {row.bill.key: row.bill.request_id for row in ledger.rows()}
        assert rows == self.billed_by_key
        assert not ledger.check()

    @stateful.invariant()
    def evacuations_are_those_of_the_model(self) -> None:
        evacuations = self.client.machine.view.evacuations_by_zone
        assert {
            zone: (evacuation.number, evacuation.is_evacuated)
            for zone, evacuation in evacuations.items()
        } == self.evacuation_by_zone

    @stateful.invariant()
    def view_does_not_go_back(self) -> None:
        assert self.client.view().revision >= self.revision
        self.revision = self.client.view().revision


MachineTest.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestMachine = MachineTest.TestCase


def _settle_twice(client: state.LocalStateClient) -> None:
    claims = client.machine.claims
    call = state.ClaimCall("c", "t", "k", "d", "k", "r", "e")
    claims.grant(call)
    claim = claims.find("t", "k")
    assert isinstance(claim, _claims.Claim)
    claims.settle(claim, _ANSWER, 1.0)
    claims.settle(claim, _ANSWER, 1.0)


def _grant_twice(client: state.LocalStateClient) -> None:
    call = state.ClaimCall("c", "t", "k", "d", "k", "r", "e")
    client.machine.claims.grant(call)
    client.machine.claims.grant(dataclasses.replace(call, request_id="r2"))


def _bill_twice(client: state.LocalStateClient) -> None:
    client.machine.ledger.record(_bill("k", "r", "d"), 1.0)
    client.machine.ledger.record(_bill("k", "r", "d"), 1.0)


def _apply_twice(client: state.LocalStateClient) -> None:
    stamp = state.Stamp(5, 1.0, 1.0)
    client.machine.apply_noop(stamp)
    client.machine.apply_noop(stamp)


def _restore_wrong_sum(client: state.LocalStateClient) -> None:
    client.machine.ledger.record(_bill("k", "r", "d"), 1.0)
    total = client.machine.ledger._total_by_key
    (key,) = total
    total[key] = _ledger.LedgerSum(*key, bills=1, cost_micros=1)
    client.machine.restore(client.machine.snapshot())


@pytest.mark.parametrize(
    "misuse",
    [
        _settle_twice,
        _grant_twice,
        _bill_twice,
        _apply_twice,
        _restore_wrong_sum,
    ],
)
def test_invariants_stop_the_machine(
    client: state.LocalStateClient, misuse: object
) -> None:
    """Guards against a change that removes an invariant check."""
    assert callable(misuse)
    with pytest.raises(_invariants.InvariantError):
        misuse(client)
