"""Selects an upstream and reserves a slot on it for one attempt."""

import collections
import dataclasses
import socket
import threading
import time
import uuid
from collections.abc import Callable, Collection
from concurrent import futures

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
import mulberry_upstream as upstream
from mulberry_entry import _components, _demand

#: Selections per reservation; the slot of a chosen upstream may be taken by
#: another thread meanwhile.
_MAX_SELECTIONS = 4

#: Timeout of the probe whether an upstream still listens after its connection
#: broke.
_PROBE_TIMEOUT_S = 0.25

#: A run whose connection broke counts as in flight for this long, seconds.
#: The announcement of a restarted upstream arrives within it, and the request
#: then gets its strike.
_LOSS_DETECTION_S = 3.0

_CRASH_RECORD_TIMEOUT_S = 2.0

#: Time for all entries to record the loss of an upstream, seconds. They detect
#: it at the same moment, and a record takes a few milliseconds.
_CRASH_RECORDING_S = 0.1


@dataclasses.dataclass(frozen=True)
class Destination:
    """The model version or plain service that a request is for."""

    team: str
    #: Model name, or service name.
    model: str
    #: Empty for a plain service.
    version: str


class Reservation:
    """A slot on one upstream with the permit for one send."""

    def __init__(
        self,
        work: decisions.Work,
        chosen: decisions.UpstreamState,
        permit: upstream.SendPermit,
        started_s: float,
        on_end: Callable[["Reservation", decisions.Outcome], None],
    ) -> None:
        self.work = work
        self.chosen = chosen
        self.permit = permit
        self.started_s = started_s
        self._on_end = on_end
        self._lock = threading.Lock()
        self._ended = False

    def end(self, outcome: decisions.Outcome) -> None:
        """Releases the slot; further calls have no effect."""
        with self._lock:
            if self._ended:
                return
            self._ended = True
        self._on_end(self, outcome)


class Dispatcher:
    """Reserves upstreams using the directory, decisions and send gate."""

    def __init__(self, components: _components.EntryComponents) -> None:
        self._components = components
        self._lock = threading.Lock()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._demand_counter = _demand.DemandCounter(components.clock)
        self._first_seen: dict[tuple[str, int], float] = {}
        self._loss_lock = threading.Lock()
        # Recording a crash waits for a quorum, so it must not block the threads
        # that run timers and deliver soft state.
        self._background = futures.ThreadPoolExecutor(
            max_workers=2, thread_name_prefix="crash records"
        )
        components.soft_state.subscribe(
            membership.RecordKind.UPSTREAM, self._upstream_changed
        )
        components.state.subscribe(
            lambda view: components.decisions.crash_guard.strikes_changed(
                view.strikes_by_digest, view.crash_times_by_digest()
            )
        )

    def reserve(
        self,
        work: decisions.Work,
        destination: Destination,
        run: core.RunState,
        exclude: Collection[str] = (),
    ) -> Reservation | core.Refusal:
        """Chooses an upstream, checks the send gate and reserves a slot.

        Args:
            work: The request.
            destination: Model and version, or service.
            run: Run state of the request so far, for refusals.
            exclude: Upstreams that the request was sent to before; used again
                only if there is no other.
        """
        refusal: core.Refusal | core.Missing = core.Missing.UNSET
        self._demand_counter.record(destination.model, destination.version)
        for _ in range(_MAX_SELECTIONS):
            chosen = self._choose(work, destination, exclude)
            if isinstance(chosen, core.Refusal):
                return dataclasses.replace(chosen, run=run)
            permit = self._check_gate(destination, chosen, run)
            if isinstance(permit, core.Refusal):
                refusal = permit
                if permit.kind is not core.ErrorKind.NO_UPSTREAM:
                    return permit
                continue
            if self._components.decisions.crash_guard.started(work, chosen):
                return self._start(work, chosen, permit)
        if isinstance(refusal, core.Refusal):
            return refusal
        return core.Refusal(
            core.ErrorKind.NO_UPSTREAM, run, "no upstream slot became free"
        )

    def reserve_for_resume(
        self,
        previous: Reservation,
        destination: Destination,
        run: core.RunState,
    ) -> Reservation | core.Refusal:
        """Reserves a slot on the upstream of an earlier send, to resume."""
        listed = self._components.directory.find(previous.chosen.name)
        if not _is_same_process(listed, previous.chosen):
            return core.Refusal(
                core.ErrorKind.NO_UPSTREAM, run, "the upstream was lost"
            )
        permit = self._check_gate(destination, previous.chosen, run)
        if isinstance(permit, core.Refusal):
            return permit
        if not self._components.decisions.crash_guard.started(
            previous.work, previous.chosen
        ):
            return core.Refusal(
                core.ErrorKind.NO_UPSTREAM, run, "no upstream slot became free"
            )
        return self._start(previous.work, previous.chosen, permit)

    def handle_connect_failure(self, reservation: Reservation) -> None:
        """Ends a send that could not connect; the upstream may be lost.

        The same request may have crashed it through another entry, so the
        latest strikes are fetched before the next selection.
        """
        reservation.end(decisions.Outcome.FAILED)
        self._components.state.refresh(_CRASH_RECORD_TIMEOUT_S)

    def handle_broken_connection(self, reservation: Reservation) -> None:
        """Ends a send whose connection broke before the answer was complete.

        If the upstream is lost, a strike for every request in flight on it is
        recorded before this returns; otherwise a retry, or a resend by the
        caller, could be sent before the strike takes effect.
        """
        chosen = reservation.chosen
        if not _is_listening(chosen.address):
            self._upstream_lost(chosen.name, chosen.incarnation)
            # Other entries record their own requests on the upstream; which
            # upstreams a request may use depends on the strikes of all.
            time.sleep(_CRASH_RECORDING_S)
            self._components.state.refresh(_CRASH_RECORD_TIMEOUT_S)
            reservation.end(decisions.Outcome.CRASHED)
            return
        self._components.timers.after(
            _LOSS_DETECTION_S,
            lambda: self._run_in_background(
                reservation.end, decisions.Outcome.TRUNCATED
            ),
            "in flight after a broken connection",
        )

    def demand(self) -> tuple[tuple[str, str, int], ...]:
        """Returns recent requests as (model, version, count) rows."""
        return self._demand_counter.snapshot()

    def _choose(
        self,
        work: decisions.Work,
        destination: Destination,
        exclude: Collection[str],
    ) -> decisions.UpstreamState | core.Refusal:
        candidates = [
            self._candidate_state(listed)
            for listed in self._components.directory.upstreams().values()
            if _serves(listed, destination)
        ]
        untried = [item for item in candidates if item.name not in exclude]
        allowed = self._components.decisions.crash_guard.filter(
            work, untried or candidates
        )
        if isinstance(allowed, core.Refusal):
            return allowed
        return self._components.decisions.upstream_chooser.choose(work, allowed)

    def _candidate_state(
        self, listed: membership.Upstream
    ) -> decisions.UpstreamState:
        now_s = self._components.clock.now()
        with self._lock:
            in_flight = self._in_flight[listed.name]
            first_seen_s = self._first_seen.setdefault(
                (listed.name, listed.incarnation), now_s
            )
        return decisions.UpstreamState(
            name=listed.name,
            address=listed.address,
            zone=listed.zone,
            incarnation=listed.incarnation,
            serves=frozenset(
                (served.model, served.version) for served in listed.versions
            ),
            service=listed.service,
            capacity=listed.capacity,
            running=listed.running,
            queued=listed.queued,
            report_age_s=listed.load_age_s,
            own_in_flight=in_flight,
            since_start_s=now_s - first_seen_s,
            leaving=listed.state is membership.UpstreamState.LEAVING,
        )

    def _check_gate(
        self,
        destination: Destination,
        chosen: decisions.UpstreamState,
        run: core.RunState,
    ) -> upstream.SendPermit | core.Refusal:
        listed = self._components.directory.find(chosen.name)
        target = upstream.UpstreamTarget(
            name=chosen.name,
            address=chosen.address,
            incarnation=chosen.incarnation,
            leaving=not _is_same_process(listed, chosen) or _is_leaving(listed),
            valid_until_s=core.Missing.UNSET,
            serves=chosen.serves,
            service=""
            if isinstance(chosen.service, core.Missing)
            else chosen.service,
        )
        client = self._components.state
        # The lease vouches for a view that is read after it.
        lease_s = client.lease_remaining_s()
        view = client.view()
        if destination.version:
            return self._components.gate.check(
                view,
                destination.team,
                destination.model,
                destination.version,
                target,
                lease_s,
                run,
            )
        return self._components.gate.check_service(
            view, destination.team, destination.model, target, lease_s, run
        )

    def _start(
        self,
        work: decisions.Work,
        chosen: decisions.UpstreamState,
        permit: upstream.SendPermit,
    ) -> Reservation:
        with self._lock:
            self._in_flight[chosen.name] += 1
        self._components.decisions.upstream_chooser.started(work, chosen)
        return Reservation(
            work,
            chosen,
            permit,
            self._components.clock.now(),
            self._reservation_ended,
        )

    def _reservation_ended(
        self, reservation: Reservation, outcome: decisions.Outcome
    ) -> None:
        chosen = reservation.chosen
        with self._lock:
            self._in_flight[chosen.name] -= 1
        latency_s = self._components.clock.now() - reservation.started_s
        policies = self._components.decisions
        policies.upstream_chooser.finished(
            reservation.work, chosen, outcome, latency_s
        )
        cleared = policies.crash_guard.finished(
            reservation.work, chosen, outcome
        )
        if cleared:
            self._components.state.propose(
                state.ClearStrikes(uuid.uuid4().hex, cleared),
                _CRASH_RECORD_TIMEOUT_S,
            )

    def _upstream_changed(self, record: membership.Record) -> None:
        """Detects upstreams that disappeared or restarted without leaving."""
        name = record.id
        with self._lock:
            seen = [key for key in self._first_seen if key[0] == name]
            lost = [
                key
                for key in seen
                if record.removed or key[1] < record.incarnation
            ]
            for key in lost:
                del self._first_seen[key]
        for _, incarnation in lost:
            self._run_in_background(self._upstream_lost, name, incarnation)

    def _run_in_background(
        self, function: Callable[..., None], *arguments: object
    ) -> None:
        self._background.submit(function, *arguments)

    def _upstream_lost(self, name: str, incarnation: int) -> None:
        # Every request that was in flight on the upstream waits for this lock
        # until the crash is recorded, whichever of them reports it.
        with self._loss_lock:
            report = self._components.decisions.crash_guard.upstream_lost(
                name, incarnation
            )
            if isinstance(report, core.Missing):
                return
            self._components.counters.increment("entry.upstreams_lost")
            self._components.state.propose(
                state.RecordCrash(
                    uuid.uuid4().hex,
                    report.upstream,
                    report.incarnation,
                    report.digests,
                ),
                _CRASH_RECORD_TIMEOUT_S,
            )


def _is_same_process(
    listed: membership.Upstream | core.Missing, chosen: decisions.UpstreamState
) -> bool:
    """Returns whether the upstream is still listed and has not restarted."""
    return (
        not isinstance(listed, core.Missing)
        and listed.incarnation == chosen.incarnation
    )


def _is_leaving(listed: membership.Upstream | core.Missing) -> bool:
    return (
        not isinstance(listed, core.Missing)
        and listed.state is membership.UpstreamState.LEAVING
    )


def _serves(listed: membership.Upstream, destination: Destination) -> bool:
    if destination.version:
        return listed.serves(destination.model, destination.version)
    return listed.service == destination.model


def _is_listening(address: str) -> bool:
    host, port = address.split("://")[-1].rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), _PROBE_TIMEOUT_S):
            return True
    except ConnectionRefusedError:
        return False
    except OSError:
        # An unreachable upstream has not necessarily crashed; a network fault
        # must not add strikes to harmless requests.
        return True
