"""Guards against a group that stops without a line that says why."""

from collections.abc import Callable

import pytest

from mulberry_state.tests import conftest

MakeCluster = Callable[..., conftest.Cluster]


def test_voter_logs_why_it_has_no_leader(
    make_cluster: MakeCluster, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("WARNING")
    cluster = make_cluster("abc")
    cluster.wait_for_leader()
    for name in "ab":
        cluster.crash(name)

    def lines() -> list[str]:
        # The second one to crash may have lost the first for long enough too.
        return [
            line
            for line in caplog.messages
            if line.startswith("c (") and "no leader" in line
        ]

    cluster.wait_for(lines, "the line")
    line = lines()[0]
    assert "voters ['a', 'b', 'c']" in line
    assert "'a': 'unreachable" in line


def test_group_status_shows_lost_tolerance(make_cluster: MakeCluster) -> None:
    cluster = make_cluster("abc")
    leader = cluster.wait_for_leader()
    assert leader.raft.leaderless_s() < 1.0
    for name in set("abc") - {leader.raft.name}:
        cluster.crash(name)
    cluster.wait_for(
        lambda: leader.raft.leaderless_s() > 1.0, "no confirmed leader"
    )
