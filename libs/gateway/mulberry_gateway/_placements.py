"""Wires what places requests on engines together with other instances."""

import threading
from collections.abc import Callable, Mapping

import grpc

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import (
    _engine_scheduling,
    _placement_exchange,
    _settings,
)

#: Interval between checks for progress that schedulers wait for, seconds.
_PROGRESS_PERIOD_S = 0.5


class Placements:
    """The parts of one instance that schedule engines."""

    def __init__(
        self,
        settings: _settings.GatewaySettings,
        members: Callable[[], Mapping[str, membership.Member]],
        clock: core.Clock,
        counters: core.Counters,
    ) -> None:
        self._clock = clock
        self._channels = state.Channels(state.open_insecure)
        self._tasks = core.TaskPool("placements", 1)
        self._ledgers = _placement_exchange.WorkLedgers(clock)
        self._client = _placement_exchange.PlacementClient(
            settings.name,
            members,
            self._ledgers,
            self._channels,
            clock,
            counters,
        )
        self.scheduling = _engine_scheduling.EngineScheduling(
            settings.zone,
            self._client,
            self._ledgers,
            settings.schedules_engines,
        )

    def add_to(self, server: grpc.Server) -> None:
        """Registers the service for other instances on a server."""
        _placement_exchange.add_placements_service(
            server,
            _placement_exchange.PlacementsServicer(self._ledgers, self._clock),
        )

    def start(self) -> None:
        """Starts to pass on the progress of requests."""
        self._tasks.spawn("placements", self._pass_on)

    def _pass_on(self, stop: threading.Event) -> None:
        """Passes on progress; a task, as the calls would delay the timer."""
        while not stop.wait(_PROGRESS_PERIOD_S):
            self._client.flush()

    def close(self) -> None:
        """Closes the connections to other instances."""
        self._channels.close()
        self._tasks.stop()
