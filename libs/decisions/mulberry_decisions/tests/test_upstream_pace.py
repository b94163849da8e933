"""Tests of the pace of upstreams."""

import pytest

from mulberry_decisions import UpstreamPace


def _reported(*paces: float, period_s: float = 0.15) -> UpstreamPace:
    pace = UpstreamPace()
    for number, value in enumerate(paces):
        pace.reported(value, number * period_s)
    return pace


def test_unknown_pace_is_usual() -> None:
    pace = UpstreamPace()
    assert not pace.is_reported
    assert pace.at(100.0) == 1.0


@pytest.mark.parametrize(
    ("paces", "usual"),
    [
        # Guards against believing one false report for long.
        ((1.6,) * 8 + (0.2,), 1.6),
        ((0.6,) * 5 + (9.0,), 0.6),
        # A slow span of half a second is not the usual pace.
        ((1.0, 1.0, 1.0, 1.0, 2.5, 2.5, 2.5), 1.0),
        # A lasting change is.
        ((1.0,) * 9 + (2.5,) * 5, 2.5),
    ],
)
def test_usual_pace_is_the_median(
    paces: tuple[float, ...], usual: float
) -> None:
    assert _reported(*paces).usual == usual


def test_newest_report_counts_for_a_moment() -> None:
    pace = _reported(1.0, 1.0, 1.0, 2.5)
    assert pace.at(0.45) == pytest.approx(2.5)
    # Half a second later the slow span has probably ended.
    assert pace.at(0.45 + 0.6) == pytest.approx(1.375)
    assert pace.at(60.0) == pytest.approx(1.0)


def test_late_report_does_not_replace_a_newer_one() -> None:
    pace = UpstreamPace()
    pace.reported(1.0, 10.0)
    pace.reported(4.0, 9.0)
    assert pace.at(10.0) == 1.0


@pytest.mark.parametrize("value", [0.0, 1e9])
def test_absurd_report_is_cut(value: float) -> None:
    # An upstream that reports nonsense must neither get everything nor starve.
    assert 0.1 < _reported(value).at(0.0) <= 10.0
