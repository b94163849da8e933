"""Opens connections to upstreams over the best path."""

import math
from collections.abc import Callable, Iterator, Sequence

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
from mulberry_gateway import (
    _connection,
    _link_recorder,
    _path_race,
    _relayed_connection,
    _relays,
    _upstream_paths,
)

#: Time for all paths together, seconds.
CONNECT_TIMEOUT_S = 0.6
#: Time for a test connection over one path, seconds. An upstream in the same
#: region accepts within milliseconds.
TEST_TIMEOUT_S = 0.4
_MAX_RELAYS = 3


class UpstreamConnector:
    """Opens connections, each in the thread that needs it."""

    def __init__(
        self,
        relays: _relays.RelaySource,
        recorder: _link_recorder.LinkRecorder,
        start_connecting: _connection.ConnectionStarter = (
            _connection.Connection.start_connecting
        ),
    ) -> None:
        """Creates a connector.

        Args:
            relays: Candidates for relays.
            recorder: Told how connections went; says which path comes first.
            start_connecting: Starts direct connections to upstreams; replaced
                by tests, to cut links.
        """
        self._relays = relays
        self._recorder = recorder
        self._start_connecting = start_connecting

    def connect(
        self,
        upstream: membership.Upstream,
        timeout_s: float = math.inf,
        *,
        may_relay: Callable[[_relays.Relay], bool] = lambda relay: True,
    ) -> _upstream_paths.UpstreamConnection | _connection.ConnectionFailure:
        """Opens a connection to an upstream over any path.

        Args:
            upstream: The upstream.
            timeout_s: Time left, seconds; less than this may be used.
            may_relay: Whether the connection may go over a relay.

        Returns:
            The connection, or `TIMEOUT` or `RESET`; no byte has been sent to
            the upstream then.
        """
        health = self._recorder.health
        if health.is_known_down(upstream.name) and all(
            health.has_relay_failed(relay.name)
            for relay in self._candidates(may_relay)
        ):
            return _connection.ConnectionFailure.TIMEOUT
        order = health.choose_order(upstream.name)
        race = self._begin_race(upstream, min(timeout_s, CONNECT_TIMEOUT_S))
        return race.run(
            self._paths(race, order, may_relay),
            is_trial=order is decisions.PathOrder.RELAYS_AND_DIRECT,
        )

    def is_reachable(self, upstream: membership.Upstream) -> bool:
        """Whether an upstream accepts a connection over any path."""
        return _close_opened(self.connect(upstream, TEST_TIMEOUT_S))

    def accepts_connections(
        self,
        upstream: membership.Upstream,
        connection: _upstream_paths.UpstreamConnection,
    ) -> bool:
        """Whether the path of an open connection opens another one."""
        race = self._begin_race(upstream, TEST_TIMEOUT_S)
        path = (
            race.start_relay(connection.relay)
            if isinstance(connection, _relayed_connection.RelayedConnection)
            else race.start_direct()
        )
        return _close_opened(race.run(iter([path])))

    def _begin_race(
        self, upstream: membership.Upstream, timeout_s: float
    ) -> _path_race.PathRace:
        return _path_race.PathRace(
            upstream, self._recorder, self._start_connecting, timeout_s
        )

    def _paths(
        self,
        race: _path_race.PathRace,
        order: decisions.PathOrder,
        may_relay: Callable[[_relays.Relay], bool],
    ) -> Iterator[_upstream_paths.Path | core.Missing]:
        """Starts one path after the other, whenever the next is asked for."""
        is_direct_last = order is decisions.PathOrder.RELAYS_FIRST
        if not is_direct_last:
            yield race.start_direct()
        for relay in self._candidates(may_relay)[:_MAX_RELAYS]:
            yield race.start_relay(relay)
        if is_direct_last:
            yield race.start_direct()

    def _candidates(
        self, may_relay: Callable[[_relays.Relay], bool]
    ) -> Sequence[_relays.Relay]:
        """Returns the permitted relays, those that failed lately last."""
        relay_by_name = {
            relay.name: relay
            for relay in self._relays.relays()
            if may_relay(relay)
        }
        names = self._recorder.health.order_relays(relay_by_name)
        return [relay_by_name[name] for name in names]


def _close_opened(
    opened: _upstream_paths.UpstreamConnection | _connection.ConnectionFailure,
) -> bool:
    """Closes a test connection; returns whether it had opened."""
    if isinstance(opened, _connection.ConnectionFailure):
        return False
    opened.close()
    return True
