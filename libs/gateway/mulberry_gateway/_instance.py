"""Wires the components of a gateway instance together."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Sequence
from concurrent import futures

import grpc
from absl import logging

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_routing as routing
import mulberry_state as state
from mulberry_gateway import (
    _bootstrap,
    _catalog,
    _cold_upstreams,
    _components,
    _connection_pool,
    _control,
    _dialect,
    _evacuations,
    _forwarder,
    _instance_rank,
    _limit_exchange,
    _link_recorder,
    _listener,
    _memory_gauges,
    _model_selection,
    _permits,
    _placements,
    _quarantine,
    _regions,
    _relay_server,
    _relays,
    _rollout_controller,
    _rollout_filter,
    _routing_table_store,
    _settings,
    _upstream_connector,
    _upstream_selection,
    _voter_gauges,
)

#: Longest wait for a routing table before callers are accepted, seconds.
#: Without a table their requests are refused with the reason.
_WAIT_FOR_ROUTING_S = 15.0
_POLL_PERIOD_S = 0.05
#: Interval between removals of state about removed upstreams, seconds.
_PRUNE_PERIOD_S = 60.0
#: Interval between checks for upstreams that ended after an incomplete run,
#: seconds; shorter than the interval between announcements of an upstream.
_STRIKE_CHECK_PERIOD_S = 0.5
#: Interval between updates of the voters' gauges, seconds.
_VOTER_GAUGES_PERIOD_S = 1.0
#: Maximum age of the upstream list while no upstream record changes, seconds.
#: The gateway does not use the ages of announced loads.
_MAX_SNAPSHOT_AGE_S = 1.0
#: Threads for gossip exchanges, in addition to those of a voter.
_PEER_THREADS = 24
#: Upper bound on the lifetime of an entry list as a share of the grace period.
#: Some callers use a list for three times its lifetime, and a stream that they
#: start then must still finish.
_ENTRY_LIST_SHARE = 0.125
#: Share of the grace period after which no new connection is accepted. Callers
#: use an entry list for up to three times its lifetime.
_ACCEPT_SHARE = 0.8
#: Longest wait for open connections to close at the end of a stop, seconds.
_CLOSE_TIMEOUT_S = 0.2
#: Longest wait for the announcement of the stop after the node has stopped,
#: seconds. Each peer that does not respond takes 0.5 s.
_LEAVE_TIMEOUT_S = 1.0
#: A view counts as current up to this share of the time within which a change
#: must be applied.
_CURRENT_VIEW_SHARE = 0.8
#: Share of the allowed retry ratio that is used, because the windows of the
#: instances are not aligned.
_RETRY_SHARE_USED = 0.8


class GatewayInstance:
    """Starts and stops the components so that no request is cut off."""

    def __init__(
        self,
        settings: _settings.GatewaySettings,
        dialect: _dialect.Dialect,
        parser: routing.RoutingParser,
        log: core.DecisionLog,
        clock: core.Clock,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._log = log
        self.counters = core.MemoryCounters()
        self.timers = core.TimerService(clock)
        self.connections = _connection_pool.ConnectionPool(
            settings.limits, clock
        )
        threads = _PEER_THREADS
        if not isinstance(settings.data_dir, core.Missing):
            threads += state.SERVER_THREADS
        self._grpc = grpc.server(
            futures.ThreadPoolExecutor(threads, "grpc"),
            options=membership.SERVER_OPTIONS,
        )
        self._transport = membership.GrpcTransport()
        timing = settings.timing
        self.membership = membership.Membership(
            settings.name,
            settings.grpc_address,
            settings.zone,
            settings.region,
            settings.seeds,
            self._transport,
            clock,
            self.counters,
            settings.exchange_timing,
        )
        membership.add_peers_service(self._grpc, self.membership)
        self.directory = membership.UpstreamDirectory(
            self.membership, clock, self.counters, _MAX_SNAPSHOT_AGE_S
        )
        self.client = state.RemoteStateClient(
            settings.name,
            settings.seeds,
            clock,
            timing,
            counters=self.counters,
        )
        self._node = self._open_node()
        self._bootstrap = _bootstrap.ClusterBootstrap(
            settings, self.membership, self._node, self.client, clock
        )
        self._routing = _routing_table_store.RoutingTableStore(
            self.client, parser, log
        )
        rules = _cold_upstreams.ColdRules(
            lambda: self._routing.table, settings.bounds
        )
        self.control = _control.Control(
            self.client,
            self.directory,
            self.membership,
            log,
            rules.may_apply,
        )
        self._catalog = catalog = _catalog.UpstreamCatalog(
            self.directory, self.membership, clock, log
        )
        self._links = _link_recorder.LinkRecorder(
            decisions.LinkHealth(clock), self.counters, log
        )
        self._links.on_cut_off_change = self._publish_entry
        self._watch = _rollout_controller.RolloutController(
            self.client,
            self._node,
            decisions.RolloutPlan(settings.bounds.exposure_share),
            clock,
            log,
        )
        rollout_filter = _rollout_filter.RolloutFilter(
            self.client,
            self._watch,
            self.membership,
            settings.bounds.session_s,
            settings.bounds.rollout_view_age_s,
            clock,
        )
        self._placements = _placements.Placements(
            settings, self.membership.members, clock, self.counters
        )
        self._placements.add_to(self._grpc)
        evacuations = _evacuations.Evacuations(
            self.client, clock, self.counters, log, catalog.by_service
        )
        regions = _regions.RegionPolicy(
            settings.region_by_zone, settings.zone, settings.region
        )
        upstream_selector = _upstream_selection.UpstreamSelector(
            settings.zone,
            catalog,
            rollout_filter,
            clock,
            lambda: _instance_rank.instance_rank(
                self.membership.members(), settings.zone, settings.name
            ),
            self._placements.scheduling,
            evacuations,
            regions,
        )
        self._permits = _permits.Permits(
            settings,
            rules,
            catalog,
            self.directory,
            self.membership.members,
            upstream_selector.named_rates,
            clock,
            self.counters,
            log,
            evacuations.ended_s,
        )
        self._permits.add_to(self._grpc)
        self.components = _components.GatewayComponents(
            clock=clock,
            counters=self.counters,
            log=log,
            state=self.client,
            routing=self._routing,
            upstream_selector=upstream_selector,
            model_selector=_model_selection.ModelSelector(
                decisions.ConfidenceCascade(),
                decisions.ResponseDelayMonitor(clock),
            ),
            dialect=dialect,
            retry_budget=decisions.WindowRetryBudget(
                clock,
                settings.bounds.retry_ratio * _RETRY_SHARE_USED,
                settings.bounds.retry_window_s,
                settings.bounds.retry_slack * _RETRY_SHARE_USED,
                # Counts dead members too: a partitioned instance still sends.
                lambda: len(self.membership.members()),
            ),
            drain=decisions.Drain(settings.bounds.grace_s, clock),
            retry_delays=decisions.RetryAfterJitter(),
            max_view_age_s=settings.bounds.apply_s * _CURRENT_VIEW_SHARE,
            rollout_controller=self._watch,
            rollout_filter=rollout_filter,
            quarantine=_quarantine.RequestQuarantine(
                self.membership,
                self.directory,
                self.client,
                clock,
                self.counters,
                log,
            ),
            connector=_upstream_connector.UpstreamConnector(
                _relays.PublishedRelays(self.membership, settings.zone),
                self._links,
            ),
            rate_gate=self._permits.rate_gate,
            regions=regions,
        )
        self._relay = self._open_relay()
        self._publishing = threading.Lock()
        self._limit_exchange = _limit_exchange.LimitExchange(
            self.membership, upstream_selector.rejection_limiter, log
        )
        self._entry = _listener.Listener(
            "entry",
            settings.entry_address,
            _forwarder.Forwarder(self.components),
            clock,
            self.connections,
        )
        self._tasks = core.TaskPool("instance", 1)
        self._serving = threading.Event()
        self._drain = self.components.drain

    @property
    def is_ready(self) -> bool:
        """Whether callers should send requests to this instance."""
        return self._serving.is_set() and not self._drain.has_begun

    @property
    def is_stopping(self) -> bool:
        """Whether the shutdown of the instance has begun."""
        return self._drain.has_begun

    def start(self) -> None:
        """Joins the other instances and begins to serve."""
        self.timers.start()
        self._grpc.add_insecure_port(self._settings.grpc_address)
        self._grpc.start()
        if not isinstance(self._node, core.Missing):
            self._node.start()
            gauges = _voter_gauges.VoterGauges(self._node, self.counters)
            self.timers.every(_VOTER_GAUGES_PERIOD_S, gauges.record, "voters")
        self.client.start()
        self.membership.start(self.timers)
        self._bootstrap.start(self.timers)
        self.directory.start(self.timers)
        self._watch.start()
        self._tasks.spawn("entry", self._open_entry)
        if not isinstance(self._relay, core.Missing):
            self._relay.start()
        self.timers.every(1.0, self._refresh_entry, "entry")
        self._permits.start(self.timers)
        _memory_gauges.MemoryGauges(
            self.connections.budget, self.counters, self._log
        ).start(self.timers)
        self.timers.every(
            _STRIKE_CHECK_PERIOD_S,
            self.components.quarantine.check_incomplete_runs,
            "suspects",
        )
        self._placements.start()
        self.timers.every(
            _PRUNE_PERIOD_S,
            self._prune_removed,
            "forget",
        )
        self._log.note(
            "started",
            keep=True,
            name=self._settings.name,
            zone=self._settings.zone,
            first_start=self._settings.is_first_start,
            votes=not isinstance(self._node, core.Missing),
            cpu_s=round(time.process_time(), 3),
        )

    def _open_entry(self, stop: threading.Event) -> None:
        """Accepts callers once the routing is known; runs as a task.

        Until then connections are refused, so that callers try another
        instance at once; an answer with a retry delay would make them wait.
        """
        until_s = self._clock.now() + _WAIT_FOR_ROUTING_S
        while not stop.wait(_POLL_PERIOD_S):
            known = not isinstance(self.components.routing.table, core.Missing)
            if known or self._clock.now() > until_s:
                break
        else:
            # The instance stops; callers find another one at once.
            return
        self._entry.start()
        self._serving.set()
        self._publish_entry()
        self._log.note(
            "serving", keep=True, revision=self.client.view().revision
        )

    def entries(self, zone: str) -> Sequence[membership.EntryState]:
        """Returns the entry addresses that callers of a zone should use."""
        found = membership.read_entries(self.membership, max_staleness_s=0.0)
        return membership.preferred_entries(found.values(), zone)

    def stop(self) -> None:
        """Drains the instance and stops it.

        Leaves the entry list, waits for running requests, then stops.
        """
        began_s = self._clock.now()
        self._log.note("stopping", keep=True, busy=self._entry.busy)
        self._drain.begin()
        self._entry.draining.set()
        if not isinstance(self._relay, core.Missing):
            self._relay.leave()
        self._tasks.stop()
        self._publish_entry()
        if self._serving.is_set():
            grace_s = self._settings.bounds.grace_s
            self._wait_until(
                began_s + min(3 * self.entry_list_s, grace_s * _ACCEPT_SHARE)
            )
        self._entry.stop_accepting()
        self._wait_until_idle()
        # Requests still arrive on open connections. A request accepted just
        # before this call counts as running.
        self._drain.end()
        self._wait_until_idle()
        busy = self._entry.busy
        if busy:
            # Their callers would wait for the end of the process and then
            # get no response.
            self.components.quarantine.withdraw_all()
        # The last steps may take longer than the rest of the grace period.
        # No request may be read and left without a response meanwhile.
        closed = self._entry.close(_CLOSE_TIMEOUT_S)
        self._log.note(
            "stopped",
            keep=True,
            busy=busy,
            relayed=self._relayed,
            closed=closed,
            took_s=round(self._clock.now() - began_s, 2),
        )
        self._log.stop()
        self._permits.close()
        self._placements.close()
        if not isinstance(self._relay, core.Missing):
            self._relay.stop()
        leave_beside(self.membership.leave, self._stop_node)

    def join(self) -> None:
        """Waits for the connections that are open after `stop`."""
        self.connections.join()
        if not isinstance(self._relay, core.Missing):
            self._relay.join()

    @property
    def entry_list_s(self) -> float:
        """How long callers may use an entry list, seconds."""
        bounds = self._settings.bounds
        return min(bounds.entry_list_s, bounds.grace_s * _ENTRY_LIST_SHARE)

    @property
    def _relayed(self) -> int:
        """Number of connections that are relayed for other instances."""
        if isinstance(self._relay, core.Missing):
            return 0
        return self._relay.open_connections

    def _stop_node(self) -> None:
        if not isinstance(self._node, core.Missing):
            self._node.stop(transfer_timeout_s=0.5)

    def _wait_until_idle(self) -> None:
        while self._entry.busy or self._relayed:
            if self._drain.remaining_s() <= 0.0:
                return
            time.sleep(0.02)

    def _wait_until(self, until_s: float) -> None:
        while (left_s := until_s - self._clock.now()) > 0:
            time.sleep(min(left_s, 0.25))

    def _refresh_entry(self) -> None:
        """Publishes the entry anew if it has changed, also with time."""
        self._links.check_cut_off()
        self._publish_entry()

    def _publish_entry(self) -> None:
        # Called from request threads as well; an older entry must not follow
        # a newer one.
        with self._publishing:
            self._publish_changed_entry()

    def _publish_changed_entry(self) -> None:
        entry = membership.EntryState(
            address=self._settings.entry_address,
            zone=self._settings.zone,
            leaving=not self.is_ready,
            load=0.0,
            relay_address=self._settings.relay_address,
            cut_off=self._links.is_cut_off,
            rejection_limits=self._limit_exchange.exchange(),
        )
        payload = entry.encode()
        current = self.membership.latest(
            membership.RecordKind.ENTRY, self._settings.name
        )
        if isinstance(current, core.Missing) or current.payload != payload:
            self.membership.publish(
                membership.RecordKind.ENTRY,
                self._settings.name,
                payload,
                urgent=True,
            )

    def _prune_removed(self) -> None:
        self.components.upstream_selector.prune_removed()
        self._permits.prune()
        self._links.health.keep_only(self._catalog.names())
        self._catalog.prune_departures()

    def _open_relay(self) -> _relay_server.RelayServer | core.Missing:
        if not self._settings.relay_address:
            return core.Missing.UNSET
        return _relay_server.RelayServer(
            self._settings.relay_address,
            self._catalog.find,
            self._links,
            self.counters,
            max_open=self._settings.limits.max_relayed,
        )

    def _open_node(self) -> state.StateNode | core.Missing:
        settings = self._settings
        if isinstance(settings.data_dir, core.Missing):
            return core.Missing.UNSET
        try:
            node = state.StateNode(
                settings.name,
                settings.grpc_address,
                {},
                settings.data_dir,
                self._clock,
                settings.timing,
            )
        except state.StorageError as error:
            logging.error("cannot open the data directory: %s", error)
            self._log.note("storage_failed", keep=True, reason=str(error))
            return core.Missing.UNSET
        node.add_to(self._grpc)
        return node


def leave_beside(
    leave: Callable[[], None], stop_node: Callable[[], None]
) -> None:
    """Announces the stop to the other instances while the node stops.

    The exchange with a peer that does not respond may use up the rest of the
    grace period, and SIGKILL would end a leader that has not handed over.
    """
    leaving = threading.Thread(target=leave, name="leave", daemon=True)
    leaving.start()
    stop_node()
    leaving.join(_LEAVE_TIMEOUT_S)
