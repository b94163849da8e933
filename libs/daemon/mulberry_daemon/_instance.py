"""One instance: all parts of the daemon, wired together."""

import threading
from concurrent import futures

import grpc

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
import mulberry_membership as membership
import mulberry_rules as rules
import mulberry_state as state
import mulberry_upstream as upstream
from mulberry_daemon import (
    _decision_set,
    _drain,
    _local_state,
    _rollouts,
    _sharing,
)

#: Long-running tasks of the daemon itself; peers have their own pools.
_MAX_TASKS = 16

#: Connections to upstreams kept open between requests.
_KEPT_CONNECTIONS = 64

#: Each peer and each tool holds at most one worker for a moment, a streaming
#: call holds one for as long as it lasts.
_GRPC_THREADS = 24


class Instance:
    """Starts, serves and stops in the order that cuts no request."""

    def __init__(self, settings: rules.Settings) -> None:
        self._settings = settings
        self._clock = core.SystemClock()
        self._counters = _build_counters(settings)
        self._timers = core.TimerService(self._clock)
        self._tasks = core.TaskPool("tasks", _MAX_TASKS)
        self._grpc = grpc.server(
            futures.ThreadPoolExecutor(_GRPC_THREADS, "grpc"),
            options=(("grpc.so_reuseport", 0),),
        )
        self._membership = membership.Membership(
            settings.name,
            settings.grpc_address,
            settings.zone,
            settings.region,
            settings.peers,
            membership.GrpcTransport(),
            self._clock,
            self._counters,
        )
        membership.add_peers_service(self._grpc, self._membership)
        self._directory = membership.UpstreamDirectory(
            self._membership, self._clock, self._counters
        )
        self._state: state.StateClient = _local_state.open_state(
            settings, self._clock
        )
        self._parts = self._build_parts()
        self._app = entry.EntryApp(self._parts)
        self._http = entry.HttpServer(
            settings.http_address, self._app, settings.limits, self._timers
        )
        self._sharing = _sharing.Sharing(self._parts, settings.http_address)
        self._rollouts = _rollouts.RolloutController(
            self._state,
            self._parts.decisions,
            decisions.ROLLOUT_ADVANCERS["proven"](),
            self._clock,
            self._is_first_member,
        )

    def start(self) -> None:
        """Joins the others and begins to serve."""
        self._timers.start()
        self._grpc.add_insecure_port(self._settings.grpc_address)
        self._grpc.start()
        self._membership.start(self._timers)
        self._directory.start(self._timers)
        self._http.start()
        self._sharing.start(self._timers)
        self._rollouts.start(self._timers, self._tasks)

    def stop(self, forced: threading.Event) -> None:
        """Drains and stops; `forced` ends the drain early."""
        self._sharing.leave()
        _drain.drain(self._app, self._settings.timing.entries_keep_s, forced)
        self._http.stop()
        self._parts.ratings.stop()
        self._tasks.stop()
        self._membership.leave()
        self._membership.stop()
        self._timers.stop()
        self._grpc.stop(grace=0.5).wait()

    def _build_parts(self) -> entry.EntryParts:
        made = _decision_set.build_decisions(self._settings, self._clock)
        pool = upstream.HandlePool(_KEPT_CONNECTIONS)
        service = upstream.HttpServiceAdapter(pool)
        gate = upstream.SendGate(self._clock)
        rater = entry.ServiceRater(
            self._directory, gate, service, self._counters
        )
        return entry.EntryParts(
            instance=self._settings.name,
            zone=self._settings.zone,
            limits=self._settings.limits,
            timing=self._settings.timing,
            clock=self._clock,
            timers=self._timers,
            counters=self._counters,
            state=self._state,
            soft_state=self._membership,
            directory=self._directory,
            decisions=made,
            engine=upstream.ChatEngineAdapter(pool),
            service=service,
            gate=gate,
            biller=entry.Biller(
                self._state, self._timers, self._tasks, self._counters
            ),
            pins=entry.SessionPins(self._state, self._counters),
            rater=rater,
            ratings=entry.RatingSampler(
                rater, made.version_judge, self._counters
            ),
            announce_key_hash=self._settings.announce_key_hash,
        )

    def _is_first_member(self) -> bool:
        """Whether this instance comes first among the live ones."""
        alive = [
            name
            for name, member in self._membership.members().items()
            if member.state is membership.MemberState.ALIVE
        ]
        return not alive or self._settings.name <= min(alive)


def _build_counters(settings: rules.Settings) -> core.Counters:
    address = settings.statsd_address
    if isinstance(address, core.Missing):
        return core.MemoryCounters()
    host, port = address.rsplit(":", 1)
    return core.StatsdCounters(host, int(port), f"mulberry.{settings.name}")
