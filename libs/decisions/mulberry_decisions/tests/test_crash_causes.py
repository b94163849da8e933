"""Replays crashes of upstreams: the part that causes them is found alone.

Guards against requests that crash one upstream after the other by a part that
they share, and against blocking the parts of requests that ran beside them.
"""

import random
from collections.abc import Mapping, Sequence

import pytest

import mulberry_decisions as decisions

#: Part, depth, contents in the order of the crashes (empty: not on the upstream
#: that crashed) and whether a run with it has recently completed.
_Row = tuple[str, int, Sequence[str], bool]


def _part(row: _Row, gap_s: float = 1.0) -> decisions.PartCrashes:
    part, depth, contents, was_sound = row
    return decisions.PartCrashes(
        part,
        depth,
        {
            f"crash{number}": decisions.CrashedRun(content, number * gap_s)
            for number, content in enumerate(contents)
            if content
        },
        was_sound,
    )


@pytest.mark.parametrize(
    ("rows", "causes"),
    [
        pytest.param([("d", 2, "ab", False)], set(), id="two crashes"),
        pytest.param([("d", 2, "aaaa", False)], set(), id="one request"),
        pytest.param([("d", 2, "aab", False)], {"d"}, id="two requests"),
        pytest.param(
            [("f", 0, "aab", False), ("d", 2, "aab", False)],
            {"d"},
            id="a part before it is in the same requests",
        ),
        pytest.param(
            [("f", 0, "aabcd", False), ("d", 2, ["", *"aabc"], False)],
            {"d"},
            id="a part before it is in more crashes",
        ),
        pytest.param(
            [("s", 2, ["", "x", "y", "x"], True), ("d", 1, "aabc", False)],
            {"d"},
            id="a part behind it has completed",
        ),
        pytest.param(
            [("s", 2, [*"xyx", *[""] * 5], False), ("d", 1, "aabcdefg", False)],
            {"d"},
            id="a part behind it is in few crashes",
        ),
        pytest.param(
            [("d", 2, [*"aab", "", "", ""], False), ("e", 2, "   xyz", False)],
            {"d", "e"},
            id="two causes",
        ),
        pytest.param([("f", 0, "abcde", True)], set(), id="has completed"),
        pytest.param([("f", 0, "abcdef", True)], {"f"}, id="and crashes on"),
    ],
)
def test_causes(rows: Sequence[_Row], causes: set[str]) -> None:
    found = decisions.crash_causes(
        _part((part, depth, [c.strip() for c in contents], done))
        for part, depth, contents, done in rows
    )
    assert set(found) == causes


@pytest.mark.parametrize(
    ("last", "causes"), [("", set()), ("b", {"f"})], ids=["one", "two"]
)
def test_a_content_that_crashes_upstreams_explains_its_crashes(
    last: str, causes: set[str]
) -> None:
    """Guards against blocking a route for one request at its start.

    The first part of the prompt is in all requests. None has been answered yet,
    and another one was lost in the first crash.
    """
    part = _part(("f", 0, ["b", "a", "a", last], False))
    content = decisions.ContentCrashes(
        frozenset({"crash0", "crash1", "crash2"}), frozenset({"f"})
    )
    assert set(decisions.crash_causes([part], [content])) == causes


def test_a_content_explains_no_crashes_of_parts_that_it_lacks() -> None:
    """Guards against more crashes because a request beside them is retried."""
    part = _part(("d", 2, "abc", False))
    content = decisions.ContentCrashes(
        frozenset({"crash0", "crash1", "crash2"}), frozenset({"f"})
    )
    assert set(decisions.crash_causes([part], [content])) == {"d"}


def test_a_cause_found_too_soon_hides_no_other() -> None:
    """Replays a day: the part of a harmless request was found at first.

    It was in the first crashes; while it was blocked, others followed.
    """
    found = decisions.PartCrashes(
        "s",
        2,
        {f"crash{n}": decisions.CrashedRun(str(n), float(n)) for n in range(3)},
        was_cause=True,
    )
    deadly = _part(("d", 1, "aabcd", False))
    assert "d" in decisions.crash_causes([found, deadly])


def test_a_part_in_one_crash_more_than_a_cause_is_none() -> None:
    """Guards against blocking a route for one crash with another reason."""
    first = _part(("f", 0, "xyzw", False))
    deadly = _part(("d", 1, "xyz", False))
    assert set(decisions.crash_causes([first, deadly])) == {"d"}


def test_causes_that_meet_at_the_start_of_a_route_are_not_its_first_part() -> (
    None
):
    """Replays a soak: three workers crash within 0.4 s by two causes.

    No request of the route has been answered yet.
    """
    first = _part(("f", 0, "xyz", False), gap_s=0.2)
    deadly = _part(("d", 1, ["x", "", "z"], False), gap_s=0.2)
    assert not decisions.crash_causes([first, deadly])


@pytest.mark.parametrize("was_sound", [True, False])
def test_many_upstreams_lost_at_once_are_no_evidence(was_sound: bool) -> None:
    """Guards against blocking a route when a rack of upstreams loses power.

    An instance that has just started has seen no sound run of its first part.
    """
    contents = [str(number) for number in range(20)]
    part = _part(("f", 0, contents, was_sound), gap_s=0.02)
    assert not decisions.crash_causes([part])


def test_a_cause_found_before_a_restart_needs_no_contents() -> None:
    """Guards against further crashes after all instances have restarted.

    The replicated state has the crashes, but not which requests ran.
    """
    recorded = decisions.PartCrashes(
        "d",
        0,
        {f"crash{n}": decisions.CrashedRun("", 0.0) for n in range(3)},
        was_cause=True,
    )
    assert set(decisions.crash_causes([recorded])) == {"d"}


def test_a_known_cause_stays_one_if_another_is_in_the_same_crashes() -> None:
    """Guards against unblocking one of two parts that crash upstreams."""
    known = decisions.PartCrashes(
        "d",
        1,
        {f"crash{n}": decisions.CrashedRun("a", float(n)) for n in range(4)},
        was_cause=True,
    )
    other = _part(("e", 2, "xyxyzyx", False))
    assert set(decisions.crash_causes([known, other])) == {"d", "e"}


class _Pool:
    """Upstreams under load, with requests that crash them by one part."""

    def __init__(self, seed: int, attempts: int) -> None:
        self._rng = random.Random(seed)
        self._attempts = attempts
        self._now_s = 0.0
        self._crashes = 0
        self._completed: set[str] = set()
        self._run_by_crash: dict[str, dict[str, decisions.CrashedRun]] = {}
        self._depths = {"first": 0, "deadly": 2}

    def run(self, max_crashes: int) -> Mapping[str, frozenset[str]]:
        """Sends deadly requests until a cause is found."""
        number = 0
        while not self.causes() and self._crashes < max_crashes:
            number += 1
            for _ in range(self._attempts):
                self._crash(f"deadly{number}")
                if self.causes():
                    break
            for _ in range(self._rng.randrange(6)):
                self._complete(self._sound_parts())
        return self.causes()

    def causes(self) -> Mapping[str, frozenset[str]]:
        return decisions.crash_causes(
            decisions.PartCrashes(
                part, self._depths[part], runs, part in self._completed
            )
            for part, runs in self._run_by_crash.items()
        )

    def _sound_parts(self) -> tuple[str, ...]:
        subject = f"subject{min(int(self._rng.expovariate(0.3)), 30)}"
        self._depths[subject] = 1
        return "first", subject

    def _crash(self, content: str) -> None:
        """Loses an upstream with a deadly request and up to 30 others."""
        self._now_s += self._rng.uniform(0.1, 1.5)
        crash = f"crash{self._crashes}"
        self._crashes += 1
        lost = {content: (*self._sound_parts(), "deadly")}
        for number in range(self._rng.randrange(30)):
            lost[f"{crash} {number}"] = self._sound_parts()
        for name, parts in lost.items():
            for part in parts:
                self._run_by_crash.setdefault(part, {}).setdefault(
                    crash, decisions.CrashedRun(name, self._now_s)
                )

    def _complete(self, parts: tuple[str, ...]) -> None:
        for part in parts:
            self._completed.add(part)
            self._run_by_crash.pop(part, None)


@pytest.mark.parametrize("attempts", [1, 3])
def test_the_cause_is_found_within_five_crashes_under_load(
    attempts: int,
) -> None:
    """Guards against blame of the parts that deadly requests share."""
    wrong = 0
    for seed in range(200):
        causes = _Pool(seed, attempts).run(max_crashes=5)
        assert causes, f"seed {seed}"
        wrong += "deadly" not in causes
    assert wrong <= 2
