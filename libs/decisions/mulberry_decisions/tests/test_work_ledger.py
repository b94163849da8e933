"""Tests of the placement of requests by the work at each engine."""

import collections
import heapq
import itertools
import random

import pytest

import mulberry_core as core
from mulberry_decisions import (
    EngineCandidate,
    EnginePlacement,
    LoadReport,
    PromptSize,
    PromptWork,
    WorkLedger,
)

_TOKEN_S = 2e-5
_TICKETS = itertools.count()


def _candidates(count: int, slots: int = 16) -> list[EngineCandidate]:
    return [EngineCandidate(f"e{n}", 1, slots) for n in range(count)]


def _ledger() -> tuple[core.ManualClock, WorkLedger]:
    clock = core.ManualClock()
    return clock, WorkLedger(clock, random.Random(7))


def _place(
    ledger: WorkLedger,
    candidates: list[EngineCandidate],
    tokens: int = 5_000,
    urgency: int = 0,
    parts: tuple[PromptSize, ...] = (),
) -> EnginePlacement:
    placed = ledger.place(
        PromptWork("small", tokens, parts, urgency), candidates, next(_TICKETS)
    )
    assert isinstance(placed, EnginePlacement)
    return placed


def test_without_candidates() -> None:
    _, ledger = _ledger()
    assert ledger.place(PromptWork("small", 1), [], 1) is core.Missing.UNSET


def test_requests_at_the_same_moment_go_to_different_engines() -> None:
    # Instances that place by the same reports all choose the same engine.
    _, ledger = _ledger()
    names = {_place(ledger, _candidates(8)).name for _ in range(8)}
    assert len(names) == 8


def test_long_prompt_counts_as_more_work_than_many_short_ones() -> None:
    _, ledger = _ledger()
    long = _place(ledger, _candidates(2), tokens=50_000).name
    placed = [_place(ledger, _candidates(2), tokens=500) for _ in range(8)]
    assert all(one.name != long for one in placed)


def test_work_is_done_as_time_passes() -> None:
    clock, ledger = _ledger()
    first = _place(ledger, _candidates(1), tokens=50_000)
    assert _place(ledger, _candidates(1)).wait_s == pytest.approx(first.read_s)
    clock.advance(first.read_s / 2)
    waited = _place(ledger, _candidates(1), urgency=0).wait_s
    assert waited < 0.8 * first.read_s


def test_answer_that_begins_ends_its_work() -> None:
    clock, ledger = _ledger()
    first = _place(ledger, _candidates(1), tokens=50_000)
    clock.advance(0.01)
    ledger.began(first.ticket)
    assert _place(ledger, _candidates(1)).wait_s == 0.0


def test_slow_engine_gets_less() -> None:
    clock, ledger = _ledger()
    fast, slow = candidates = _candidates(2)
    _place(ledger, [fast])
    _place(ledger, [slow])
    ledger.reported(fast.name, LoadReport(1, 0, 16, 0.6))
    ledger.reported(slow.name, LoadReport(1, 0, 16, 1.6))
    names = collections.Counter(
        _place(ledger, candidates).name for _ in range(110)
    )
    assert names[fast.name] / names[slow.name] == pytest.approx(
        1.6 / 0.6, rel=0.25
    )
    del clock


def test_slow_engine_is_used_again_after_a_bad_moment() -> None:
    # An upstream that gets nothing reports nothing: its last bad report must
    # not keep it out of use.
    clock, ledger = _ledger()
    candidates = _candidates(2)
    for candidate in candidates:
        for _ in range(9):
            _place(ledger, [candidate])
            ledger.reported(candidate.name, LoadReport(0, 0, 16, 1.0))
    clock.advance(40.0)
    ledger.reported("e0", LoadReport(0, 0, 16, 10.0))
    assert _place(ledger, candidates).name == "e1"
    clock.advance(3.0)
    names = {_place(ledger, candidates).name for _ in range(4)}
    assert names == {"e0", "e1"}


def test_urgent_request_does_not_wait_for_less_urgent_ones() -> None:
    _, ledger = _ledger()
    candidates = _candidates(1)
    first = _place(ledger, candidates, urgency=0)
    for _ in range(5):
        _place(ledger, candidates, urgency=4)
    urgent = _place(ledger, candidates, urgency=0)
    assert urgent.wait_s == pytest.approx(first.read_s)
    assert _place(ledger, candidates, urgency=4).wait_s > 5 * first.read_s


def test_prompt_goes_where_its_parts_are_kept_unless_that_is_busy() -> None:
    clock, ledger = _ledger()
    candidates = _candidates(6)
    parts = (PromptSize("system", 500), PromptSize("subject", 8_000))
    home = _place(ledger, candidates, 9_000, parts=parts)
    clock.advance(1.0)
    ledger.began(home.ticket)
    again = _place(ledger, candidates, 9_000, parts=parts)
    assert again.name == home.name
    assert again.read_s < home.read_s / 4
    # A subject with much of the traffic does not queue at one engine.
    names = {
        _place(ledger, candidates, 9_000, parts=parts).name for _ in range(40)
    }
    assert len(names) > 3


def test_full_engine_is_left_alone() -> None:
    _, ledger = _ledger()
    small, large = EngineCandidate("a", 1, 2), EngineCandidate("b", 1, 64)
    for _ in range(2):
        ledger.began(_place(ledger, [small]).ticket)
    assert _place(ledger, [small, large]).name == "b"


def test_report_of_a_queue_counts() -> None:
    # Instances that the scheduler does not know of use the engines too.
    clock, ledger = _ledger()
    candidates = _candidates(2)
    for candidate in candidates:
        _place(ledger, [candidate], 100)
    ledger.reported("e0", LoadReport(16, 9, 16))
    assert _place(ledger, candidates).name == "e1"
    clock.advance(30.0)
    assert {_place(ledger, candidates).name for _ in range(4)} == {"e0", "e1"}


def test_lost_instance_does_not_block_its_engines() -> None:
    # Nobody says that the answers of its requests began or ended.
    clock, ledger = _ledger()
    candidates = _candidates(1, slots=4)
    for _ in range(8):
        _place(ledger, candidates, 50_000)
    clock.advance(60.0)
    assert _place(ledger, candidates).wait_s == 0.0


def test_lost_ticket_of_a_false_token_count_ends() -> None:
    # The count is the caller's word, and nobody may be left to end the ticket.
    clock, ledger = _ledger()
    candidates = _candidates(2)
    lost = _place(ledger, candidates, 2**32 - 1).name
    clock.advance(60.0)
    assert lost in {_place(ledger, candidates).name for _ in range(20)}


def test_false_report_of_a_queue_passes() -> None:
    # An engine that gets nothing sends no report that could correct it.
    clock, ledger = _ledger()
    candidates = _candidates(2)
    for candidate in candidates:
        ledger.ended(_place(ledger, [candidate], 100).ticket)
    ledger.reported("e0", LoadReport(0, 1_000_000, 16, 1.0))
    names = set()
    for _ in range(50):
        clock.advance(0.1)
        names.add(_place(ledger, candidates).name)
    assert names == {"e0", "e1"}


def test_restarted_engine_begins_empty() -> None:
    _, ledger = _ledger()
    old, new = EngineCandidate("a", 1, 4), EngineCandidate("a", 2, 4)
    tickets = [_place(ledger, [old], 50_000).ticket for _ in range(4)]
    assert _place(ledger, [new]).wait_s == 0.0
    for ticket in tickets:
        ledger.began(ticket)
        ledger.ended(ticket)


def test_unknown_tickets_and_engines_are_ignored() -> None:
    # Progress may reach a scheduler that has restarted since.
    _, ledger = _ledger()
    ledger.began(12345)
    ledger.ended(12345)
    ledger.reported("e9", LoadReport(1, 1, 1, 1.0))
    ledger.keep_only(lambda name: False)
    assert ledger.paces() == {}


def _late_share(uses_ledger: bool) -> float:
    """Replays a load on 15 engines of three speeds; returns the late share.

    Prompts have a lognormal length, and the engines read them one after the
    other. Without the ledger, an instance chooses at random.
    """
    rng = random.Random(11)
    clock, ledger = _ledger()
    candidates = _candidates(15)
    pace = {c.name: rng.choice((0.6, 1.0, 1.6)) for c in candidates}
    free_s = dict.fromkeys(pace, 0.0)
    events: list[tuple[float, EnginePlacement]] = []
    late = total = 0
    for number in range(3_000):
        clock.advance(rng.expovariate(70.0))
        now_s = clock.now()
        while events and events[0][0] <= now_s:
            at_s, placed = heapq.heappop(events)
            ledger.began(placed.ticket, now_s - at_s)
            ledger.ended(placed.ticket, now_s - at_s)
            ledger.reported(
                placed.name,
                LoadReport(1, 0, 16, pace[placed.name]),
                now_s - at_s,
            )
        tokens = int(min(54_600, rng.lognormvariate(7.9, 1.2)))
        placed = _place(
            ledger,
            candidates if uses_ledger else [rng.choice(candidates)],
            tokens,
        )
        work_s = (0.016 + tokens * _TOKEN_S) * pace[placed.name]
        free_s[placed.name] = max(free_s[placed.name], now_s) + work_s
        heapq.heappush(
            events,
            (
                free_s[placed.name],
                EnginePlacement(placed.name, placed.ticket, number, 0.0),
            ),
        )
        total += 1
        late += free_s[placed.name] - now_s > 1.0
    return late / total


def test_fewer_requests_are_late_than_with_a_random_choice() -> None:
    assert _late_share(uses_ledger=False) > 0.05
    assert _late_share(uses_ledger=True) < 0.02
