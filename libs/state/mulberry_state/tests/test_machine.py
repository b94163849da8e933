"""Tests of the state machine, command by command."""

import mulberry_core as core
import mulberry_state as state
from mulberry_state import _view_codec

_ANSWER = state.Answer(200, "application/json", b'{"ok":1}', True)


def _bill(
    key: str = "k1", request_id: str = "r1", **overrides: object
) -> state.Bill:
    fields: dict[str, object] = {
        "team": "t",
        "key": key,
        "request_id": request_id,
        "kind": "deposit",
        "model": "taller-app",
        "version": "",
        "tokens_in": 3,
        "tokens_out": 4,
        "cost": 0.1,
        "body_digest": "d",
    }
    return state.Bill(**{**fields, **overrides})  # type: ignore[arg-type]


def _claim(
    command_id: str, request_id: str, digest: str = "d"
) -> state.ClaimCall:
    return state.ClaimCall(
        command_id, "t", "k1", digest, "deposit", request_id, "entry-1"
    )


def _settle(command_id: str, request_id: str) -> state.SettleClaim:
    return state.SettleClaim(
        command_id, "t", "k1", request_id, _ANSWER, _bill(request_id=request_id)
    )


def test_claim_is_granted_to_one_request(
    client: state.LocalStateClient,
) -> None:
    """Guards against a deposit that runs twice."""
    for command, expected in (
        (_claim("c1", "r1"), state.ClaimGranted()),
        (_claim("c1", "r1"), state.ClaimGranted()),
        (_claim("c2", "r2"), state.ClaimOpen("r1", "entry-1")),
        (_claim("c3", "r3", "other"), state.ClaimMismatch()),
        (_settle("c4", "r2"), state.ClaimLost()),
        (_settle("c5", "r1"), state.ClaimSettled()),
        (_settle("c5", "r1"), state.ClaimSettled()),
        (_claim("c6", "r4"), state.ClaimRecorded(_ANSWER, "r1")),
        (state.ReleaseClaim("c7", "t", "k1", "r1"), state.ClaimLost()),
        (state.RecordBill("c8", _bill()), state.BillRecorded(True)),
    ):
        assert client.propose(command, 1.0) == expected
    (total,) = client.machine.ledger.sums()
    assert (total.bills, total.cost_micros) == (1, 100_000)


def test_late_copy_of_released_claim_does_not_open_it_again(
    client: state.LocalStateClient,
) -> None:
    """Guards against a claim that stays open for a finished request."""
    client.propose(_claim("c1", "r1"), 1.0)
    release = state.ReleaseClaim("c2", "t", "k1", "r1")
    assert client.propose(release, 1.0) == state.ClaimReleased()
    assert client.propose(_claim("c1", "r1"), 1.0) == state.ClaimGranted()
    assert not client.machine.claims.open_claims()
    assert client.propose(_claim("c3", "r2"), 1.0) == state.ClaimGranted()
    assert client.propose(release, 1.0) == state.ClaimReleased()
    assert client.machine.claims.open_claims()


def test_claims_outlive_settlement_by_thirty_days_only(
    client: state.LocalStateClient, clock: core.ManualClock
) -> None:
    """Guards against a resend days later that runs again."""
    client.propose(_claim("c1", "r1"), 1.0)
    clock.advance(90 * 86_400)
    assert isinstance(client.propose(_claim("c2", "r2"), 1.0), state.ClaimOpen)
    client.propose(_settle("c3", "r1"), 1.0)
    clock.advance(29 * 86_400)
    answer = client.propose(_claim("c4", "r3"), 1.0)
    assert answer == state.ClaimRecorded(_ANSWER, "r1")
    clock.advance(2 * 86_400)
    assert client.propose(_claim("c5", "r4"), 1.0) == state.ClaimGranted()
    assert not client.machine.ledger.check()
    assert client.machine.ledger.sums()[0].bills == 1


def test_two_operators_with_equal_numbers(
    client: state.LocalStateClient,
) -> None:
    """Guards against one operator silently overwriting another's rules."""
    first = state.SubmitRules("c1", "m:1", 0, "marta")
    second = state.SubmitRules("c2", "n:1", 0, "jan")
    assert client.propose(first, 1.0) == state.RulesAccepted(1)
    conflict = client.propose(second, 1.0)
    assert conflict == state.RulesConflict(1, "marta", ("first rules",))
    # Both resend after a lost reply: nothing changes.
    assert client.propose(first, 1.0) == state.RulesAccepted(1)
    assert client.propose(second, 1.0) == conflict
    again = state.SubmitRules("c3", "m:1", 0, "marta")
    assert client.propose(again, 1.0) == state.RulesAccepted(1)
    bad = state.SubmitRules("c4", "error", 1, "jan")
    assert isinstance(client.propose(bad, 1.0), state.RulesRejected)
    assert client.view().rules_number == 1
    third = state.SubmitRules("c5", "n:1", 1, "jan")
    assert client.propose(third, 1.0) == state.RulesAccepted(2)
    what = [
        record.what.split(":")[0] for record in client.machine.audit.records()
    ]
    assert what == [
        "rules 1",
        "rules edited from 0 refused",
        "rules rejected",
        "rules 2",
    ]


def test_verdicts_follow_each_other(client: state.LocalStateClient) -> None:
    """Guards against an old verdict that overwrites a newer one."""
    bad = state.VerdictState.BAD

    def verdict(command_id: str, after: int) -> state.Command:
        return state.RecordVerdict(
            command_id, "m", "1", bad, "why", "ev", after
        )

    assert client.propose(verdict("c1", 0), 1.0) == state.VerdictRecorded(1)
    assert client.propose(verdict("c2", 0), 1.0) == state.VerdictStale(1)
    assert client.propose(verdict("c3", 1), 1.0) == state.VerdictRecorded(2)
    assert client.propose(verdict("c1", 0), 1.0) == state.VerdictRecorded(1)
    assert client.view().verdicts_by_version[("m", "1")].number == 2


def test_pin_moves_only_from_withdrawn_or_bad(
    client: state.LocalStateClient,
) -> None:
    """Guards against a session that changes its version for no reason."""

    def pin(command_id: str, version: str) -> object:
        return client.propose(
            state.PinSession(command_id, "t", "s", "m", version), 1.0
        )

    client.propose(state.SubmitRules("c1", "m:1 m:2", 0, "o"), 1.0)
    assert pin("c2", "1") == state.SessionPinned("1")
    assert pin("c3", "2") == state.SessionPinned("1")
    client.propose(state.SubmitRules("c4", "-m:1 m:2", 1, "o"), 1.0)
    assert pin("c5", "2") == state.SessionPinned("2")
    assert pin("c6", "1") == state.SessionPinned("2")
    assert client.machine.audit.records()[-1].what.endswith("m 1 to 2")


def test_rollout_steps_need_their_rule_and_predecessor(
    client: state.LocalStateClient,
) -> None:
    """Guards against two instances that advance a rollout at once."""

    def advance(command_id: str, step: int, after: int) -> object:
        command = state.AdvanceRollout(command_id, "m", "2", step, after, "why")
        return client.propose(command, 1.0)

    assert advance("c1", 0, -1) == state.RolloutStale(-1)
    client.propose(state.SubmitRules("c2", "m:1>2 m:2", 0, "o"), 1.0)
    assert advance("c3", 0, -1) == state.RolloutAdvanced(0)
    assert advance("c4", 0, -1) == state.RolloutStale(0)
    assert advance("c5", 2, 0) == state.RolloutStale(0)
    assert advance("c6", 1, 0) == state.RolloutAdvanced(1)
    client.propose(state.SubmitRules("c7", "m:2", 1, "o"), 1.0)
    assert not client.view().rollout_steps_by_model


def test_one_crash_gives_one_strike(
    client: state.LocalStateClient, clock: core.ManualClock
) -> None:
    """Guards against blocking a content when two instances report a crash."""

    def crash(command_id: str, incarnation: int) -> object:
        return client.propose(
            state.RecordCrash(command_id, "u", incarnation, ("a", "b")), 1.0
        )

    assert crash("c1", 1) == state.CrashRecorded({"a": 1, "b": 1})
    assert crash("c2", 1) == state.CrashRecorded({"a": 1, "b": 1})
    client.propose(state.ClearStrikes("c3", ("b",)), 1.0)
    assert crash("c4", 2) == state.CrashRecorded({"a": 2, "b": 1})
    clock.advance(2 * 86_400)
    client.propose(state.ClearStrikes("c5", ()), 1.0)
    assert client.view().strikes_by_digest == {"a": 2}


def test_other_instances_get_the_crashes_of_a_content(
    client: state.LocalStateClient, clock: core.ManualClock
) -> None:
    """Guards against counting a crash twice on instances that get the view."""
    times_s = []
    for incarnation in (1, 2):
        clock.advance(5.0)
        times_s.append(clock.wall())
        client.propose(
            state.RecordCrash(state.new_command_id(), "u", incarnation, ("a",)),
            1.0,
        )
    message = _view_codec.encode_view(client.view(), 0)
    decoded = _view_codec.decode_view(
        message, state.EMPTY_VIEW, state.FileRulesParser()
    )
    assert decoded.crashes_by_digest == {
        "a": (state.crash_id("u", 1), state.crash_id("u", 2))
    }
    assert decoded.crash_times_by_digest() == {
        "a": dict(zip(decoded.crashes_by_digest["a"], times_s, strict=True))
    }


def test_crashes_that_an_earlier_version_recorded_have_no_time(
    client: state.LocalStateClient,
) -> None:
    """Guards against times that belong to other crashes after an upgrade."""
    message = _view_codec.encode_view(client.view(), 0)
    message.strikes.add(digest="a", crashes=["u 1", "u 2"], crash_wall_s=[7.0])
    decoded = _view_codec.decode_view(
        message, state.EMPTY_VIEW, state.FileRulesParser()
    )
    assert decoded.crash_times_by_digest() == {"a": {"u 1": 0.0, "u 2": 7.0}}


def test_fencing_numbers_grow_and_orders_need_the_newest(
    client: state.LocalStateClient, clock: core.ManualClock
) -> None:
    """Guards against interleaved orders from two lease holders."""

    def acquire(command_id: str, holder: str) -> object:
        command = state.AcquireLease(command_id, "pool", holder, 10.0)
        return client.propose(command, 1.0)

    def order(command_id: str, number: int) -> object:
        return client.propose(
            state.RecordOrder(
                command_id,
                "pool",
                number,
                "u",
                "load m 1",
                state.OrderState.BEGUN,
            ),
            1.0,
        )

    assert acquire("c1", "a") == state.LeaseGranted(1)
    assert acquire("c2", "b") == state.LeaseHeld("a")
    assert order("c3", 1) == state.OrderRecorded()
    clock.advance(9.0)
    assert acquire("c4", "a") == state.LeaseGranted(1)
    clock.advance(9.0)
    assert acquire("c5", "b") == state.LeaseHeld("a")
    # Leases depend on the log time, not on the wall clock.
    clock.set_wall(clock.wall() + 1000)
    assert acquire("c6", "b") == state.LeaseHeld("a")
    clock.advance(1.0)
    assert order("c7", 1) == state.LeaseLost(1)
    assert acquire("c8", "b") == state.LeaseGranted(2)
    assert order("c9", 1) == state.LeaseLost(2)


def test_snapshot_keeps_everything(
    client: state.LocalStateClient, parser: state.RulesParser
) -> None:
    """Guards against state that is lost in a restart."""
    for command in (
        state.SubmitRules("c1", "m:1>2 m:2", 0, "o"),
        state.AdvanceRollout("c2", "m", "2", 0, -1, "why"),
        state.RecordVerdict(
            "c3", "m", "1", state.VerdictState.PROBATION, "why", "ev", 0
        ),
        state.RecordCrash("c4", "u", 1, ("a",)),
        _claim("c5", "r1"),
        _settle("c6", "r1"),
        state.PinSession("c7", "t", "s", "m", "1"),
        state.AcquireLease("c8", "pool", "a", 10.0),
        state.RecordBill("c9", _bill("k2", "r2", model="m", version="1")),
    ):
        client.propose(command, 1.0)
    copy = state.StateMachine(parser)
    data = client.machine.snapshot()
    copy.restore(data)
    assert copy.view == client.machine.view
    assert copy.snapshot() == data


def test_lease_of_isolated_client_ends(
    client: state.LocalStateClient, clock: core.ManualClock
) -> None:
    """Guards against an isolated instance that uses its view forever."""
    assert client.lease_remaining_s() == 8.0
    client.stop_renewing()
    clock.advance(7.0)
    assert client.lease_remaining_s() == 1.0
    clock.advance(2.0)
    assert client.lease_remaining_s() == 0.0
