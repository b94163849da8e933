"""Tests of when a run without progress is given up."""

import dataclasses

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_gateway import _stall_detector, _upstream_call

_SILENT = _upstream_call.Fault.SILENT
_LOST = _upstream_call.Fault.LOST
_TRUNCATED = _upstream_call.Fault.TRUNCATED


@dataclasses.dataclass
class _Call:
    """A call whose upstream accepts no other connection."""

    last_received_s: float = 0.0

    def accepts_connections(self) -> bool:
        return False


@dataclasses.dataclass
class _Replacement:
    """Becomes available with the given try."""

    available_at_try: int
    tries: int = 0
    is_discarded: bool = False

    def secure(self) -> bool:
        self.tries += 1
        return self.tries >= self.available_at_try

    def discard(self) -> None:
        self.is_discarded = True


@dataclasses.dataclass
class _Reads:
    """Returns the given results, one for each read, then silence."""

    clock: core.ManualClock
    results: list[bytes | _upstream_call.Fault]

    def __call__(self, timeout_s: float) -> bytes | _upstream_call.Fault:
        self.clock.advance(timeout_s)
        return self.results.pop(0) if self.results else _SILENT


@pytest.mark.parametrize(
    ("available_at_try", "results", "expected", "discarded"),
    [
        (1, [_SILENT], _LOST, False),
        # Tried again until another upstream can be reached.
        (4, [], _LOST, False),
        # Never available: the wait ends at the deadline.
        (99, [], _SILENT, False),
        # The answer goes on before, or while, the replacement is connected.
        (99, [_SILENT, _SILENT, b"event"], b"event", False),
        (1, [_SILENT, b"event"], b"event", True),
        # The run ends meanwhile: the replacement is used at once.
        (1, [_SILENT, _TRUNCATED], _TRUNCATED, False),
    ],
)
def test_a_run_is_given_up_only_for_a_connected_replacement(
    available_at_try: int,
    results: list[bytes | _upstream_call.Fault],
    expected: bytes | _upstream_call.Fault,
    discarded: bool,
) -> None:
    """Guards against ending a run that nothing can replace."""
    clock = core.ManualClock()
    replacement = _Replacement(available_at_try)
    detector = _stall_detector.StallDetector(
        _Call(),  # type: ignore[arg-type]
        "w1",
        decisions.UpstreamHealth(clock),
        clock,
        replacement,  # type: ignore[arg-type]
    )
    result = detector.read(
        _Reads(clock, results),
        clock.now() + 20.0,
        decisions.InactivityPolicy(1.5),
    )
    assert result == expected
    assert replacement.is_discarded is discarded
    is_abandoned = isinstance(
        detector.abandon_reason, _stall_detector.AbandonReason
    )
    assert is_abandoned is (expected is _LOST)
