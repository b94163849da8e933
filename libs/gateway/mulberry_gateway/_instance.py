"""One instance of the gateway: all parts, wired together."""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from concurrent import futures

import grpc
from absl import logging

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_routing as routing
import mulberry_state as state
from mulberry_gateway import (
    _catalog,
    _control,
    _dialect,
    _forwarder,
    _founding,
    _listener,
    _model_choice,
    _parts,
    _placing,
    _releases,
    _rollout_watch,
    _routing_book,
    _settings,
    _suspects,
)

#: Longest wait for a routing table before callers are accepted, seconds; from
#: then on they get answers that say why they are not served.
_WAIT_FOR_ROUTING_S = 15.0
_LOOK_PERIOD_S = 0.05
#: Between looks for upstreams that are gone for good, seconds.
_FORGET_PERIOD_S = 60.0
#: Between looks for upstreams that ended after a run broke off, seconds; a
#: part of the time between two announcements of an upstream.
_SUSPECTS_PERIOD_S = 0.5
#: Age of the list of all upstreams while no record of one changes, seconds;
#: nothing here goes by the ages of announced loads.
_SNAPSHOT_S = 1.0
#: Threads for exchanges of peers, beside those of a voter.
_PEER_THREADS = 24
#: Part of the grace period that is left for the last steps of a stop, so that
#: the process has ended before it is killed.
_STOP_SHARE = 0.94
#: Part of the grace period for which callers may use an entry list. Some use
#: it three times as long, and a stream that they send then must still end.
_LIST_SHARE = 0.125
#: Part of the grace period after which no new connection is accepted. Callers
#: keep a list for up to three times its term.
_ACCEPT_SHARE = 0.8
#: Part of the time in which a change must be in force during which a view
#: counts as newest.
_FINAL_VIEW_SHARE = 0.8
#: Part of the allowed ratio of retries that is used; the instances' windows
#: do not line up.
_RETRY_SHARE_USED = 0.8


class GatewayInstance:
    """Starts, serves and stops in the order that cuts no request."""

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
            self.membership, clock, self.counters, _SNAPSHOT_S
        )
        self.client = state.RemoteStateClient(
            settings.name,
            settings.seeds,
            clock,
            timing,
            counters=self.counters,
        )
        self._node = self._open_node()
        self._founding = _founding.Founding(
            settings, self.membership, self._node, self.client, clock
        )
        self.control = _control.Control(
            self.client, self.directory, self.membership, log
        )
        catalog = _catalog.Catalog(self.directory, self.membership, clock, log)
        self._watch = _rollout_watch.RolloutWatch(
            self.client,
            self._node,
            decisions.RolloutPlan(settings.bounds.exposure_share),
            clock,
            log,
        )
        releases = _releases.Releases(
            self.client,
            self._watch,
            self.membership,
            settings.bounds.session_s,
            clock,
        )
        placer = _placing.Placer(settings.zone, catalog, releases, clock)
        self.parts = _parts.GatewayParts(
            clock=clock,
            counters=self.counters,
            log=log,
            state=self.client,
            routing=_routing_book.RoutingBook(self.client, parser, log),
            placer=placer,
            models=_model_choice.ModelChoice(
                decisions.ConfidenceLadder(), decisions.DelayGauge(clock)
            ),
            dialect=dialect,
            retries=decisions.WindowRetryBudget(
                clock,
                settings.bounds.retry_ratio * _RETRY_SHARE_USED,
                settings.bounds.retry_window_s,
                settings.bounds.retry_slack * _RETRY_SHARE_USED,
                # Dead members too: a part that is cut off still sends.
                lambda: len(self.membership.members()),
            ),
            drain=decisions.Drain(settings.bounds.grace_s, clock),
            returns=decisions.ReturnTimes(),
            max_view_age_s=settings.bounds.apply_s * _FINAL_VIEW_SHARE,
            watch=self._watch,
            releases=releases,
            suspects=_suspects.Suspects(
                self.membership,
                self.directory,
                self.client,
                clock,
                self.counters,
                log,
            ),
        )
        self._entry = _listener.Listener(
            "entry",
            settings.entry_address,
            _forwarder.Forwarder(self.parts),
            clock,
        )
        self._tasks = core.TaskPool("instance", 1)
        self._serving = threading.Event()
        self._drain = self.parts.drain

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this instance."""
        return self._serving.is_set() and not self._drain.has_begun

    @property
    def is_stopping(self) -> bool:
        """Whether the instance was told to stop."""
        return self._drain.has_begun

    def start(self) -> None:
        """Joins the others and begins to serve."""
        self.timers.start()
        self._grpc.add_insecure_port(self._settings.grpc_address)
        self._grpc.start()
        if not isinstance(self._node, core.Missing):
            self._node.start()
        self.client.start()
        self.membership.start(self.timers)
        self._founding.start(self.timers)
        self.directory.start(self.timers)
        self._watch.start()
        self._tasks.spawn("entry", self._open_entry)
        self.timers.every(1.0, self._publish_entry, "entry")
        self.timers.every(
            _SUSPECTS_PERIOD_S, self.parts.suspects.look, "suspects"
        )
        self.timers.every(
            _FORGET_PERIOD_S, self.parts.placer.forget_lost, "forget"
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
        """Task: accepts callers once the routing is known.

        Until then a refused connection sends them to another instance at
        once, which an answer that asks them to come back would not.
        """
        until_s = self._clock.now() + _WAIT_FOR_ROUTING_S
        while not stop.wait(_LOOK_PERIOD_S):
            known = not isinstance(self.parts.routing.table, core.Missing)
            if known or self._clock.now() > until_s:
                break
        self._entry.start()
        self._serving.set()
        self._publish_entry()
        self._log.note(
            "serving", keep=True, revision=self.client.view().revision
        )

    def entries(self, zone: str) -> Sequence[membership.EntryState]:
        """Returns the entries that callers of a zone should use."""
        found = [
            membership.EntryState.decode(record.payload)
            for record in self.membership.records(
                membership.RecordKind.ENTRY
            ).values()
            if self.membership.staleness_s(record.owner) <= 0.0
        ]
        return membership.preferred_entries(found, zone)

    def stop(self) -> None:
        """Leaves the entry list, waits for running requests, then stops."""
        began_s = self._clock.now()
        self._log.note("stopping", keep=True, busy=self._entry.busy)
        self._drain.begin()
        self._entry.draining.set()
        self._publish_entry()
        grace_s = self._settings.bounds.grace_s
        listed_s = began_s + min(3 * self.entry_list_s, grace_s * _ACCEPT_SHARE)
        last_s = began_s + grace_s * _STOP_SHARE
        self._wait_until(listed_s)
        self._entry.stop_accepting()
        self._wait_until_idle(last_s)
        # Requests keep coming on open connections. One that was taken just
        # before this is counted as running.
        self._drain.end()
        self._wait_until_idle(last_s)
        self._log.note(
            "stopped",
            keep=True,
            busy=self._entry.busy,
            took_s=round(self._clock.now() - began_s, 2),
        )
        self._log.stop()
        self.membership.leave()
        if not isinstance(self._node, core.Missing):
            self._node.stop(transfer_timeout_s=0.5)

    @property
    def entry_list_s(self) -> float:
        """How long callers may use an entry list, seconds."""
        bounds = self._settings.bounds
        return min(bounds.entry_list_s, bounds.grace_s * _LIST_SHARE)

    def _wait_until_idle(self, until_s: float) -> None:
        while self._entry.busy and self._clock.now() < until_s:
            time.sleep(0.02)

    def _wait_until(self, until_s: float) -> None:
        while (left_s := until_s - self._clock.now()) > 0:
            time.sleep(min(left_s, 0.25))

    def _publish_entry(self) -> None:
        entry = membership.EntryState(
            address=self._settings.entry_address,
            zone=self._settings.zone,
            leaving=not self.is_ready,
            load=0.0,
        )
        payload = entry.encode()
        held = self.membership.latest(
            membership.RecordKind.ENTRY, self._settings.name
        )
        if isinstance(held, core.Missing) or held.payload != payload:
            self.membership.publish(
                membership.RecordKind.ENTRY,
                self._settings.name,
                payload,
                urgent=True,
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
            logging.error("the data folder cannot be used: %s", error)
            self._log.note("storage_failed", keep=True, reason=str(error))
            return core.Missing.UNSET
        node.add_to(self._grpc)
        return node
