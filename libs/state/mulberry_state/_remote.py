"""State client that reaches the voters over gRPC."""

import threading
import uuid
from collections.abc import Callable, Iterable

from absl import logging

import mulberry_core as core
import mulberry_rules as rules
from mulberry_state import (
    _channels,
    _client,
    _codec,
    _commands,
    _parser,
    _peers,
    _rules_leases,
    _view,
    _view_codec,
    _voter_client,
)
from mulberry_wire import state_pb2

#: Delay after a failed renewal; short, so that a new leader is found soon.
#: Seconds.
_RETRY_DELAY_S = 0.2

#: Refusals of these kinds are final; after others the next voter is tried.
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
            addresses: gRPC addresses of the initial voters.
            clock: For leases and timeouts.
            timing: Renewal period and lease term.
            parser: Parses the rules of a view.
            open_channel: Opens a channel to a voter.
            counters: Counts renewals and proposals.
        """
        self._instance = instance
        self._clock = clock
        self._timing = timing or rules.Timing()
        self._parser = parser or _parser.FileRulesParser()
        self._counters = counters or core.MemoryCounters()
        self._channels = _channels.Channels(open_channel)
        self.voter_client = _voter_client.VoterClient(
            addresses, self._channels, clock
        )
        self._lock = threading.Lock()
        #: Held while the callbacks install a new view. No renewal is sent and
        #: no lease extended meanwhile: both vouch for the view.
        self._install_lock = threading.Lock()
        self._view = _view.EMPTY_VIEW
        self._lease_ends_s = float("-inf")
        #: `Clock.now` when the last granted renewal was sent.
        self._last_renewal_s = float("-inf")
        self._callbacks: list[Callable[[_view.View], None]] = []
        #: Revision of the last view that could not be decoded, 0 for none.
        self._undecodable_revision = 0
        #: Why the last attempt to renew the lease failed.
        self._renewal_failure = ""
        self._process_id = uuid.uuid4().hex[:8]
        self._report_source: Callable[[], bytes] = bytes
        self._pool = core.TaskPool(f"state-client-{instance}", 1)

    def start(self) -> None:
        """Starts renewing the lease in the background."""
        self._pool.spawn("renew rules lease", self._run_renewals)

    def stop(self) -> None:
        """Stops the renewals and closes all channels."""
        self._pool.stopping.set()
        # Unblocks a renewal that waits for a voter.
        self._channels.close()
        self._pool.stop()

    def propose(
        self, command: _commands.Command, timeout_s: float
    ) -> _commands.Result | core.Refusal:
        """Applies a command through the leader.

        Retries under the same command id, at the current leader, until
        `timeout_s` has passed.
        """
        started_s = self._clock.now()
        request = state_pb2.ProposeRequest()
        request.command.ParseFromString(_codec.encode_command(command))
        reason = "no voter is known"
        kind = core.ErrorKind.QUORUM_UNAVAILABLE
        for address, attempt_s in self.voter_client.attempts(
            started_s + timeout_s
        ):
            request.timeout_s = attempt_s
            reply = self.voter_client.call(
                address, "Propose", request, attempt_s
            )
            if isinstance(reply, _peers.Unreachable):
                reason = f"{address}: {reply.reason}"
                kind = core.ErrorKind.QUORUM_UNAVAILABLE
            elif reply.HasField("result"):
                took_s = self._clock.now() - started_s
                self._counters.timing("state.propose", took_s * 1000)
                return _codec.read_result(reply.result)
            else:
                reason = f"{address}: {reply.refusal.reason}"
                kind = _read_kind(reply.refusal.kind)
                if kind in _FINAL_KINDS:
                    break
        self._counters.increment("state.propose_failed")
        return core.Refusal(kind, core.RunState.NOT_RUN, reason)

    def view(self) -> _view.View:
        """Returns the latest view received."""
        return self._view

    def lease_remaining_s(self) -> float:
        """Returns the remaining time of the rules lease, seconds."""
        with self._lock:
            return max(0.0, self._lease_ends_s - self._clock.now())

    def view_age_s(self) -> float:
        """Returns the maximum age of the view, seconds."""
        with self._lock:
            return self._clock.now() - self._last_renewal_s

    def refresh(self, timeout_s: float) -> bool:
        """Renews the lease, which also fetches the latest view."""
        return self.renew_once(timeout_s)

    def set_report_source(self, source: Callable[[], bytes]) -> None:
        """Attaches what `source` returns to each lease renewal."""
        self._report_source = source

    def subscribe(self, callback: Callable[[_view.View], None]) -> None:
        """Registers a callback for new views, run on the renewing thread."""
        with self._lock:
            self._callbacks.append(callback)

    def renew_once(self, timeout_s: float) -> bool:
        """Renews the lease; returns whether it was granted."""
        deadline_s = self._clock.now() + timeout_s
        for address, attempt_s in self.voter_client.attempts(deadline_s):
            with self._install_lock:
                view = self._view
            sent_s = self._clock.now()
            reply = self.voter_client.call(
                address,
                "Renew",
                state_pb2.RenewRequest(
                    instance=self._instance,
                    revision=view.revision,
                    rules_number=view.rules_number,
                    routing_version=view.routing.version,
                    report=self._report_source(),
                    process=self._process_id,
                ),
                attempt_s,
            )
            if isinstance(reply, _peers.Unreachable):
                self._renewal_failure = f"{address}: {reply.reason}"
            elif not reply.granted:
                self._renewal_failure = f"{address}: {reply.refusal.reason}"
            else:
                self._counters.increment("state.renewed")
                return self._accept_reply(reply, view, sent_s)
        self._counters.increment("state.renew_failed")
        return False

    def _run_renewals(self, stop: threading.Event) -> None:
        is_held = False
        while not stop.is_set():
            before = self._view.revision
            started_s = self._clock.now()
            granted = self._renew_logged()
            if self._view.revision != before:
                # Renew at once, so that the leader learns that this instance
                # has the new view.
                continue
            if is_held != (self.lease_remaining_s() > 0):
                is_held = not is_held
                logging.info(
                    "rules lease of %s %s",
                    self._instance,
                    "is held"
                    if is_held
                    else f"has expired: {self._renewal_failure}",
                )
            period_s = self._timing.lease_renew_period_s
            took_s = self._clock.now() - started_s
            stop.wait(
                max(0.0, period_s - took_s) if granted else _RETRY_DELAY_S
            )

    def _renew_logged(self) -> bool:
        """Renews the lease; an error counts as a renewal that was refused.

        Without renewals this instance would serve no request with a key until
        its next start.
        """
        try:
            return self.renew_once(self._timing.lease_renew_period_s)
        except Exception:
            logging.exception("renewing the rules lease failed")
            self._counters.increment("state.renew_failed")
            return False

    def _accept_reply(
        self, reply: state_pb2.RenewReply, previous: _view.View, sent_s: float
    ) -> bool:
        """Applies a granted renewal: updates the view and extends the lease.

        A view older than the current one is rejected. The lease is extended
        only after the callbacks have installed the view: until then parts of
        this instance still act on the one before.
        """
        new = previous
        if reply.HasField("view"):
            if reply.view.revision < previous.revision:
                logging.error(
                    "rejected view %d from the leader, older than current %d",
                    reply.view.revision,
                    previous.revision,
                )
                return False
            try:
                new = _view_codec.decode_view(
                    reply.view, previous, self._parser
                )
            except Exception:
                # Another version may have encoded it. Without the newest view
                # the lease is not extended.
                if reply.view.revision != self._undecodable_revision:
                    logging.exception(
                        "could not decode view %d from the leader",
                        reply.view.revision,
                    )
                self._undecodable_revision = reply.view.revision
                return False
        term_s = self._timing.lease_term_s * (1 - _rules_leases.MAX_CLOCK_DRIFT)
        with self._install_lock:
            with self._lock:
                if new.revision < self._view.revision:
                    # A renewal on another thread has fetched a later view.
                    new = previous = self._view
                self._view = new
                callbacks = tuple(self._callbacks)
            if new is not previous:
                self.voter_client.set_voters(new.voters_by_name)
                _view.notify(callbacks, new)
            with self._lock:
                self._lease_ends_s = max(self._lease_ends_s, sent_s + term_s)
                self._last_renewal_s = max(self._last_renewal_s, sent_s)
        return True


def _read_kind(text: str) -> core.ErrorKind:
    """Returns the kind of a refusal; a later version may have other kinds."""
    try:
        return core.ErrorKind(text)
    except ValueError:
        logging.warning("a voter refused a command for %r", text)
        return core.ErrorKind.INTERNAL


def new_command_id() -> str:
    """Returns a random id for a new command."""
    return uuid.uuid4().hex
