"""Tests of what an instance knows and logs of evacuated zones."""

import dataclasses
from collections.abc import Sequence
from typing import Any

import pytest

import mulberry_core as core
import mulberry_gateway as gateway
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway.tests import test_catalog


class _Client(state.LocalStateClient):
    """Returns given results of evacuation orders before real ones."""

    def __init__(self, clock: core.Clock) -> None:
        super().__init__(state.FileRulesParser(), clock)
        self.first_results: list[state.Result | core.Refusal] = []
        self.commands: list[state.Command] = []

    def propose(
        self, command: state.Command, timeout_s: float
    ) -> state.Result | core.Refusal:
        self.commands.append(command)
        if self.first_results:
            return self.first_results.pop(0)
        return super().propose(command, timeout_s)


class _Instance:
    """The evacuations and the control of an instance with local state."""

    def __init__(self) -> None:
        self.clock = core.ManualClock(1_000.0)
        self.client = _Client(self.clock)
        self.counters = core.MemoryCounters()
        self.log = test_catalog.RecordingLog(self.clock)
        self.upstreams: dict[str, Sequence[membership.Upstream]] = {}
        soft_state = membership.LocalSoftState("a", self.clock)
        self.directory = membership.UpstreamDirectory(
            soft_state, self.clock, self.counters
        )
        self.control = gateway.Control(
            self.client, self.directory, soft_state, self.log
        )

    def create(self) -> gateway.Evacuations:
        return gateway.Evacuations(
            self.client,
            self.clock,
            self.counters,
            self.log,
            lambda: self.upstreams,
        )

    def order(self, zone: str, is_evacuated: bool) -> None:
        result = self.control.change_evacuation(zone, is_evacuated, "operator")
        assert isinstance(result, state.EvacuationChanged)
        assert result.is_evacuated is is_evacuated

    def lines(self) -> list[dict[str, Any]]:
        return [e for e in self.log.events if e["event"] == "evacuation"]

    def gauge(self) -> float:
        return self.counters.snapshot()["gateway.evacuated_zones"]


def _view(revision: int, **evacuations: state.Evacuation) -> state.View:
    return dataclasses.replace(
        state.EMPTY_VIEW, revision=revision, evacuations_by_zone=evacuations
    )


def _upstream(
    name: str,
    zone: str,
    upstream_state: membership.UpstreamState = membership.UpstreamState.READY,
) -> membership.Upstream:
    clock = core.ManualClock(1_000.0)
    soft_state = membership.LocalSoftState("a", clock)
    directory = membership.UpstreamDirectory(
        soft_state, clock, core.MemoryCounters()
    )
    directory.announce(
        dataclasses.replace(
            test_catalog.UPSTREAM, name=name, zone=zone, state=upstream_state
        )
    )
    return directory.upstreams()[name]


def test_a_zone_is_evacuated_until_the_end_is_known() -> None:
    """Guards against requests to a zone under maintenance."""
    instance = _Instance()
    evacuations = instance.create()
    assert instance.gauge() == 0
    instance.order("gent", True)
    assert evacuations.is_evacuated("gent")
    assert not evacuations.is_evacuated("leuven")
    assert evacuations.ended_s("gent") is core.Missing.UNSET
    assert instance.gauge() == 1
    instance.clock.advance(60.0)
    instance.order("gent", False)
    assert not evacuations.is_evacuated("gent")
    assert evacuations.ended_s("gent") == 1_060.0
    assert evacuations.ended_s("leuven") is core.Missing.UNSET
    assert instance.gauge() == 0
    instance.clock.advance(60.0)
    instance.order("gent", True)
    assert evacuations.is_evacuated("gent")
    instance.order("gent", False)
    assert evacuations.ended_s("gent") == 1_120.0


def test_a_process_started_during_an_evacuation_knows_it() -> None:
    """Guards against requests to an evacuated zone after a restart."""
    instance = _Instance()
    instance.order("gent", True)
    instance.order("leuven", True)
    instance.order("leuven", False)
    evacuations = instance.create()
    assert evacuations.is_evacuated("gent")
    assert not evacuations.is_evacuated("leuven")
    # It ended before the start of this process.
    assert evacuations.ended_s("leuven") is core.Missing.UNSET
    assert [line["zone"] for line in instance.lines()] == ["gent"]
    assert instance.gauge() == 1


def test_an_evacuation_between_two_views_has_ended() -> None:
    """Guards against full load on upstreams that became cold meanwhile."""
    instance = _Instance()
    evacuations = instance.create()
    evacuations.apply_view(_view(3))
    instance.clock.advance(1.0)
    evacuations.apply_view(_view(5, gent=state.Evacuation(2, False, 9.0)))
    assert not evacuations.is_evacuated("gent")
    assert evacuations.ended_s("gent") == 1_001.0


def test_an_older_view_changes_nothing() -> None:
    """Guards against an evacuation that is undone by a late view."""
    instance = _Instance()
    evacuations = instance.create()
    evacuations.apply_view(_view(5, gent=state.Evacuation(1, True, 9.0)))
    evacuations.apply_view(_view(4))
    assert evacuations.is_evacuated("gent")


def test_the_log_names_services_left_without_upstreams() -> None:
    """Guards against an outage of a service that nobody can explain."""
    instance = _Instance()
    leaving = membership.UpstreamState.LEAVING
    instance.upstreams = {
        "app": (_upstream("a1", "gent"), _upstream("a2", "leuven", leaving)),
        "pool": (_upstream("p1", "gent"), _upstream("p2", "leuven")),
        "gone": (_upstream("g1", "gent", leaving),),
    }
    instance.create()
    instance.order("gent", True)
    instance.order("gent", True)
    instance.order("leuven", True)
    instance.order("gent", False)
    assert [
        (line["zone"], line["evacuated"], line["services_without_upstreams"])
        for line in instance.lines()
    ] == [
        ("gent", True, ["app"]),
        ("leuven", True, ["app", "pool"]),
        ("gent", False, []),
    ]


@pytest.mark.parametrize("is_evacuated", [True, False])
def test_an_order_is_based_on_the_newest_state(is_evacuated: bool) -> None:
    """Guards against orders that an instance with an old view refuses."""
    instance = _Instance()
    instance.client.first_results = [
        state.EvacuationChanged(False, 7, not is_evacuated),
        state.EvacuationChanged(True, 8, is_evacuated),
    ]
    instance.order("gent", is_evacuated)
    numbers = [
        command.after_number
        for command in instance.client.commands
        if isinstance(command, state.ChangeEvacuation)
    ]
    assert numbers == [0, 7]
    assert len({c.command_id for c in instance.client.commands}) == 2


def test_an_order_without_effect_is_not_confirmed() -> None:
    """Guards against an acknowledged order that was never in effect."""
    instance = _Instance()
    instance.client.first_results = [
        state.EvacuationChanged(False, number, False) for number in range(2, 9)
    ]
    result = instance.control.change_evacuation("gent", True, "operator")
    assert isinstance(result, core.Refusal)
    assert result.run is core.RunState.NOT_RUN
    assert len(instance.client.commands) < 7


def test_an_end_without_an_evacuation_is_confirmed() -> None:
    """Guards against an operator whose second `End` is never confirmed."""
    instance = _Instance()
    instance.create()
    result = instance.control.change_evacuation("gent", False, "operator")
    assert result == state.EvacuationChanged(False, 0, False)
    assert instance.control.evacuations() == {}
    assert not instance.lines()
