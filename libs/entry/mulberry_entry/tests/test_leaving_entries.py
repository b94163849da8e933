"""Tests of entries whose peers stop as planned."""

import dataclasses
from collections.abc import Iterator

import pytest

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_entry import _dispatch as dispatch
from mulberry_entry.tests import harness

#: Less than the period of announcements, which is 1 s.
_SOON_S = 0.75
_SPREAD_S = 3.0
_DESTINATION = dispatch.Destination("equipo", "m", "v1")
_WORK = decisions.Work("equipo", "plan", 1, 1e9, content="c1")


@pytest.fixture
def entry() -> Iterator[harness.Harness]:
    started = harness.Harness()
    yield started
    started.stop()


def _announcement() -> membership.Announcement:
    return membership.Announcement(
        name="engine-1",
        address="http://127.0.0.1:9",
        incarnation=1,
        sequence=1,
        state=membership.UpstreamState.READY,
        zone="z",
        versions=(membership.ServedVersion("m", "v1"),),
        service=core.Missing.UNSET,
        capacity=8,
        running=0,
        queued=0,
        checks_fencing=False,
        valid_s=3.0,
    )


def test_upstreams_of_an_entry_that_leaves_stay_in_use(
    entry: harness.Harness,
) -> None:
    """Guards against refusals and strikes while an entry is restarted.

    An upstream notices that its home has stopped with its next announcement.
    """
    simulation = membership.Simulation(4)
    simulation.seconds(_SPREAD_S)
    home = simulation.instances_by_name["i1"]
    other = simulation.instances_by_name["i2"]
    membership.UpstreamDirectory(
        home, simulation.clock, entry.counters
    ).announce(_announcement())
    simulation.seconds(_SPREAD_S)
    dispatcher = dispatch.Dispatcher(
        dataclasses.replace(
            entry.components,
            soft_state=other,
            directory=membership.UpstreamDirectory(
                other, simulation.clock, entry.counters
            ),
        )
    )
    lost: list[membership.Record] = []
    other.subscribe(
        membership.RecordKind.UPSTREAM,
        lambda record: lost.append(record) if record.removed else None,
    )
    run = core.RunState.NOT_RUN
    assert isinstance(
        dispatcher.reserve(_WORK, _DESTINATION, run), dispatch.Reservation
    )
    home.leave()
    simulation.crash("i1")
    simulation.seconds(_SOON_S)
    # The dispatcher gives a strike to each request that runs on a lost one.
    assert not lost
    assert isinstance(
        dispatcher.reserve(_WORK, _DESTINATION, run), dispatch.Reservation
    )
