"""The client by which every instance reaches the replicated state."""

import threading
import uuid
from collections.abc import Callable, Iterable

from absl import logging

import mulberry_core as core
import mulberry_rules as rules
from mulberry_state import (
    _caller,
    _channels,
    _client,
    _codec,
    _commands,
    _parser,
    _peers,
    _rules_leases,
    _view,
    _view_codec,
)
from mulberry_wire import state_pb2

#: After a failed renewal, so that a new leader is found soon. Seconds.
_RETRY_S = 0.2

#: A refusal of these kinds is final; others are tried at another voter.
_FINAL_KINDS = (core.ErrorKind.REQUEST_TOO_LARGE,)


class RemoteStateClient(_client.StateClient):
    """Proposes through the leader and keeps the rules lease renewed."""

    def __init__(
        self,
        instance: str,
        addresses: Iterable[str],
        clock: core.Clock,
        timing: rules.Timing | None = None,
        parser: _parser.RulesParser | None = None,
        open_channel: _channels.OpenChannel = _channels.open_insecure,
        counters: core.Counters | None = None,
    ) -> None:
        """Creates a client; it has no lease before `start`.

        Args:
            instance: Name of this instance.
            addresses: gRPC addresses of voters to begin with.
            clock: For leases and timeouts.
            timing: Periods and terms.
            parser: How rule files are read.
            open_channel: Opens a channel to a voter.
            counters: Told of renewals and proposals.
        """
        self._instance = instance
        self._clock = clock
        self._timing = timing or rules.Timing()
        self._parser = parser or _parser.FileRulesParser()
        self._counters = counters or core.MemoryCounters()
        self._channels = _channels.Channels(open_channel)
        self.caller = _caller.VoterCaller(addresses, self._channels, clock)
        self._lock = threading.Lock()
        self._view = _view.EMPTY_VIEW
        self._lease_ends_s = float("-inf")
        #: When the last granted renewal was sent, by `Clock.now`.
        self._renewed_s = float("-inf")
        self._callbacks: list[Callable[[_view.View], None]] = []
        self._process = uuid.uuid4().hex[:8]
        self._report: Callable[[], bytes] = bytes
        self._pool = core.TaskPool(f"state-client-{instance}", 1)

    def start(self) -> None:
        """Starts to renew the lease."""
        self._pool.spawn("renew rules lease", self._run_renewals)

    def stop(self) -> None:
        """Ends the renewals and closes all channels."""
        self._pool.stopping.set()
        # Ends a renewal that waits for a voter.
        self._channels.close()
        self._pool.stop()

    def propose(
        self, command: _commands.Command, timeout_s: float
    ) -> _commands.Result | core.Refusal:
        """Applies a command through the leader.

        A lost reply is asked for again under the same command id, at the
        leader of that moment, until `timeout_s` has passed.
        """
        started_s = self._clock.now()
        request = state_pb2.ProposeRequest()
        request.command.ParseFromString(_codec.encode_command(command))
        reason = "no voter is known"
        kind = core.ErrorKind.QUORUM_UNAVAILABLE
        for address, attempt_s in self.caller.attempts(started_s + timeout_s):
            request.timeout_s = attempt_s
            reply = self.caller.call(address, "Propose", request, attempt_s)
            if isinstance(reply, _peers.Unreachable):
                reason = f"{address}: {reply.reason}"
                kind = core.ErrorKind.QUORUM_UNAVAILABLE
            elif reply.HasField("result"):
                took_s = self._clock.now() - started_s
                self._counters.timing("state.propose", took_s * 1000)
                return _codec.read_result(reply.result)
            else:
                reason = f"{address}: {reply.refusal.reason}"
                kind = core.ErrorKind(reply.refusal.kind)
                if kind in _FINAL_KINDS:
                    break
        self._counters.increment("state.propose_failed")
        return core.Refusal(kind, core.RunState.NOT_RUN, reason)

    def view(self) -> _view.View:
        """Returns the newest view known here."""
        return self._view

    def lease_remaining_s(self) -> float:
        """Returns how long the view may be trusted, seconds."""
        with self._lock:
            return max(0.0, self._lease_ends_s - self._clock.now())

    def view_age_s(self) -> float:
        """Returns for how long the view may have been outdated, seconds."""
        with self._lock:
            return self._clock.now() - self._renewed_s

    def refresh(self, timeout_s: float) -> bool:
        """Renews the lease, which brings the newest view."""
        return self.renew_once(timeout_s)

    def report_with(self, source: Callable[[], bytes]) -> None:
        """Tells the leader what `source` returns with each renewal."""
        self._report = source

    def subscribe(self, callback: Callable[[_view.View], None]) -> None:
        """Calls back with each new view, on the renewing task."""
        with self._lock:
            self._callbacks.append(callback)

    def renew_once(self, timeout_s: float) -> bool:
        """Renews the lease; returns whether it was granted."""
        deadline_s = self._clock.now() + timeout_s
        for address, attempt_s in self.caller.attempts(deadline_s):
            view = self._view
            sent_s = self._clock.now()
            reply = self.caller.call(
                address,
                "Renew",
                state_pb2.RenewRequest(
                    instance=self._instance,
                    revision=view.revision,
                    rules_number=view.rules_number,
                    routing_version=view.routing.version,
                    report=self._report(),
                    process=self._process,
                ),
                attempt_s,
            )
            if not isinstance(reply, _peers.Unreachable) and reply.granted:
                self._counters.increment("state.renewed")
                return self._take(reply, view, sent_s)
        self._counters.increment("state.renew_failed")
        return False

    def _run_renewals(self, stop: threading.Event) -> None:
        held = False
        while not stop.is_set():
            before = self._view.revision
            begun_s = self._clock.now()
            granted = self.renew_once(self._timing.lease_renew_period_s)
            if self._view.revision != before:
                # Tells the leader at once that the new view is held here.
                continue
            if held != (self.lease_remaining_s() > 0):
                held = not held
                logging.info(
                    "rules lease of %s %s",
                    self._instance,
                    "is held" if held else "has expired",
                )
            period_s = self._timing.lease_renew_period_s
            took_s = self._clock.now() - begun_s
            stop.wait(max(0.0, period_s - took_s) if granted else _RETRY_S)

    def _take(
        self, reply: state_pb2.RenewReply, known: _view.View, sent_s: float
    ) -> bool:
        """Takes the view and prolongs the lease; the view never goes back."""
        new = known
        if reply.HasField("view"):
            if reply.view.revision < known.revision:
                logging.error(
                    "the leader offers view %d, older than %d held here",
                    reply.view.revision,
                    known.revision,
                )
                return False
            try:
                new = _view_codec.decode_view(reply.view, known, self._parser)
            except ValueError:
                logging.exception("the view of the leader is not understood")
                return False
        term_s = self._timing.lease_term_s * (1 - _rules_leases.MAX_CLOCK_DRIFT)
        with self._lock:
            if new.revision < self._view.revision:
                # A renewal on another thread has brought a later view.
                new = known = self._view
            # The view first: a lease is trust in the view held here.
            self._view = new
            self._lease_ends_s = max(self._lease_ends_s, sent_s + term_s)
            self._renewed_s = max(self._renewed_s, sent_s)
            callbacks = tuple(self._callbacks)
        if new is not known:
            self.caller.set_voters(new.voters_by_name)
            for callback in callbacks:
                callback(new)
        return True


def new_command_id() -> str:
    """Returns an id for a new command."""
    return uuid.uuid4().hex
