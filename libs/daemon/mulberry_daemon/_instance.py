"""Assembles the components of one instance."""

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
    _daemon_backend,
    _decision_set,
    _drain,
    _engine_orders,
    _operator_service,
    _replicated_state,
    _rollouts,
    _rule_file_submitter,
    _rule_file_watcher,
    _soft_state_sync,
    _tls,
)
from mulberry_wire import operator_pb2_grpc

#: Largest number of long-running tasks, without those of peers, which have
#: their own pools.
_MAX_TASKS = 16

#: Largest number of idle connections to upstreams.
_MAX_IDLE_CONNECTIONS = 64

#: Threads for gossip exchanges and operator requests, plus those that
#: proposals and lease renewals block while they wait for a quorum.
_GRPC_THREADS = 24 + state.SERVER_THREADS


class Instance:
    """A running instance; stops without cutting off requests."""

    def __init__(self, settings: rules.Settings) -> None:
        self._settings = settings
        self._clock = core.SystemClock()
        self._counters = _build_counters(settings)
        self._timers = core.TimerService(self._clock)
        self._tls = (
            _tls.TlsFiles(settings.tls)
            if isinstance(settings.tls, rules.Tls)
            else core.Missing.UNSET
        )
        self._tasks = core.TaskPool("tasks", _MAX_TASKS)
        self._grpc = grpc.server(
            futures.ThreadPoolExecutor(_GRPC_THREADS, "grpc"),
            options=membership.SERVER_OPTIONS,
        )
        timing = settings.timing
        self._peer_transport = membership.GrpcTransport(
            self._channel_credentials()
        )
        self._membership = membership.Membership(
            settings.name,
            settings.grpc_address,
            settings.zone,
            settings.region,
            settings.peers,
            self._peer_transport,
            self._clock,
            self._counters,
            membership.Timing(
                exchange_period_s=timing.exchange_period_s,
                suspect_after_s=timing.suspect_after_s,
                dead_after_s=timing.dead_after_s,
            ),
        )
        membership.add_peers_service(self._grpc, self._membership)
        self._directory = membership.UpstreamDirectory(
            self._membership, self._clock, self._counters
        )
        self._replicated_state = _replicated_state.open_replicated_state(
            settings, self._clock, self._counters, self._open_channel
        )
        self._replicated_state.add_to(self._grpc)
        self._state = self._replicated_state.client
        self._parts = self._build_parts()
        self._app = entry.EntryApp(self._parts)
        self._http = entry.HttpServer(
            settings.http_address, self._app, settings.limits, self._timers
        )
        if isinstance(self._tls, _tls.TlsFiles):
            self._http.use_tls(self._tls.http_adapter())
        operator_pb2_grpc.add_OperatorServicer_to_server(  # type: ignore[no-untyped-call]
            _operator_service.OperatorService(
                _daemon_backend.DaemonBackend(
                    settings.name,
                    self._replicated_state,
                    self._membership,
                    self._directory,
                    self._parts.decisions,
                    self._clock,
                )
            ),
            self._grpc,
        )
        self._soft_state_sync = _soft_state_sync.SoftStateSync(
            self._parts, settings.http_address, self._app.demand
        )
        self._rollouts = _rollouts.RolloutController(
            self._state,
            self._parts.decisions,
            decisions.ROLLOUT_ADVANCERS["proven"](),
            self._clock,
            self._is_first_member,
        )

    def start(self) -> None:
        """Joins the deployment and begins to serve requests."""
        self._timers.start()
        self._bind_grpc()
        self._grpc.start()
        self._replicated_state.start()
        self._membership.start(self._timers)
        self._directory.start(self._timers)
        self._http.start()
        self._soft_state_sync.start(self._timers)
        self._rollouts.start(self._timers, self._tasks)
        self._watch_rule_file()
        self._start_engine_orders()

    def stop(self, forced: threading.Event) -> None:
        """Drains and stops the instance; `forced` ends the drain early."""
        self._soft_state_sync.leave()
        _drain.drain(self._app, self._settings.timing.entries_keep_s, forced)
        self._http.stop()
        self._parts.ratings.stop()
        self._tasks.stop()
        self._replicated_state.stop()
        self._membership.leave()
        self._membership.stop()
        self._peer_transport.close()
        self._timers.stop()
        self._grpc.stop(grace=0.5).wait()

    def _build_parts(self) -> entry.EntryComponents:
        decision_set = _decision_set.build_decisions(
            self._settings, self._clock
        )
        pool = upstream.HandlePool(_MAX_IDLE_CONNECTIONS)
        service = upstream.HttpServiceAdapter(pool)
        gate = upstream.SendGate(self._clock)
        rater = entry.ServiceRater(
            self._directory, gate, service, self._counters
        )
        return entry.EntryComponents(
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
            decisions=decision_set,
            engine=upstream.ChatEngineAdapter(pool),
            service=service,
            gate=gate,
            biller=entry.Biller(self._state, self._tasks, self._counters),
            pins=entry.SessionPins(self._state, self._counters),
            rater=rater,
            ratings=entry.RatingQueue(
                rater, decision_set.version_judge, self._counters
            ),
            announce_key_hash=self._settings.announce_key_hash,
        )

    def _bind_grpc(self) -> None:
        address = self._settings.grpc_address
        if isinstance(self._tls, _tls.TlsFiles):
            self._tls.start(self._timers)
            self._grpc.add_secure_port(address, self._tls.server_credentials())
        else:
            self._grpc.add_insecure_port(address)

    def _channel_credentials(
        self,
    ) -> grpc.ChannelCredentials | core.Missing:
        if isinstance(self._tls, _tls.TlsFiles):
            return self._tls.channel_credentials()
        return core.Missing.UNSET

    def _open_channel(self, address: str) -> grpc.Channel:
        if isinstance(self._tls, _tls.TlsFiles):
            return grpc.secure_channel(
                address,
                self._tls.channel_credentials(),
                options=state.CHANNEL_OPTIONS,
            )
        return state.open_insecure(address)

    def _watch_rule_file(self) -> None:
        path = self._settings.rule_file
        if isinstance(path, core.Missing):
            return
        submitter = _rule_file_submitter.RuleFileSubmitter(
            self._settings.name, self._replicated_state
        )
        _rule_file_watcher.RuleFileWatcher(
            path, submitter.submit, submitter.in_force(), self._tasks
        ).start(self._timers, self._settings.timing.watch_period_s)

    def _start_engine_orders(self) -> None:
        name = self._settings.policy.load_planner
        node = self._replicated_state.node
        if name == "none" or isinstance(node, core.Missing):
            return
        _engine_orders.EngineOrderController(
            self._parts, node, _engine_orders.PLANNERS[name]()
        ).start(self._tasks)

    def _is_first_member(self) -> bool:
        """Whether this is the first live instance in name order."""
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
