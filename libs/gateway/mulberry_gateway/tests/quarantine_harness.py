"""The quarantine of one instance, with upstreams that announce."""

import dataclasses
import itertools
import threading
import time
from collections.abc import Sequence

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import (
    _dialect,
    _exchange,
    _quarantine,
    _running_requests,
    _strike_records,
)

CONTENT = "00c0"
ANNOUNCEMENT_TTL_S = 3.0


@dataclasses.dataclass
class _Metadata:
    request_id: str = "r1"
    prompt: tuple[_dialect.PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[_dialect.PromptPart, ...]:
        return self.prompt


@dataclasses.dataclass
class _Route:
    name: str = "chat"


@dataclasses.dataclass
class _Exchange:
    """The fields of an exchange that the quarantine reads."""

    content_digest: str = CONTENT
    part_digests: tuple[str, ...] = ()
    metadata: _Metadata = dataclasses.field(default_factory=_Metadata)
    route: _Route = dataclasses.field(default_factory=_Route)
    trial_digests: frozenset[str] = frozenset()


def exchange(content: str, *parts: str) -> _exchange.Exchange:
    """Returns a request with this content and these shared parts."""
    prompt = tuple(_dialect.PromptPart(part, 100) for part in parts)
    return _Exchange(  # type: ignore[return-value]
        content,
        tuple(_strike_records.part_digest(part) for part in parts),
        _Metadata("r1", prompt),
    )


def _address(upstream: str) -> str:
    """Returns the address of an upstream, the same on all instances."""
    digest = core.digest32(upstream.encode())
    return f"10.{digest >> 16 & 255}.{digest >> 8 & 255}.{digest & 255}:80"


class BlockingClient(state.LocalStateClient):
    """Blocks proposals until `has_quorum` is set."""

    def __init__(self) -> None:
        super().__init__(state.FileRulesParser(), core.ManualClock(1_000.0))
        self.has_quorum = threading.Event()

    def propose(
        self, command: state.Command, timeout_s: float
    ) -> state.Result | core.Refusal:
        assert self.has_quorum.wait(timeout=10.0)
        return super().propose(command, timeout_s)


class Instance:
    """The quarantine of one instance, with upstreams that announce."""

    def __init__(
        self,
        client: state.StateClient | None = None,
        soft_state: membership.SoftState | None = None,
        clock: core.ManualClock | None = None,
    ) -> None:
        self.clock = clock or core.ManualClock(1_000.0)
        #: Contents of the requests that were withdrawn.
        self.withdrawn: list[str] = []
        self._sequence = itertools.count(1)
        self.client = client or state.LocalStateClient(
            state.FileRulesParser(), self.clock
        )
        self.soft_state = soft_state or membership.LocalSoftState(
            "here", self.clock
        )
        counters = core.MemoryCounters()
        self.directory = membership.UpstreamDirectory(
            self.soft_state, self.clock, counters, 0.0
        )
        self.quarantine = _quarantine.RequestQuarantine(
            self.soft_state,
            self.directory,
            self.client,
            self.clock,
            counters,
            core.DecisionLog(self.clock),
        )

    def announce(
        self, name: str, incarnation: int, address: str = ""
    ) -> membership.Upstream:
        self.directory.announce(
            membership.Announcement(
                name=name,
                address=address or _address(name),
                incarnation=incarnation,
                sequence=next(self._sequence),
                state=membership.UpstreamState.READY,
                zone="gent",
                versions=(),
                service="s",
                capacity=4,
                running=0,
                queued=0,
                checks_fencing=False,
                valid_s=ANNOUNCEMENT_TTL_S,
            )
        )
        found = self.directory.find(name)
        assert isinstance(found, membership.Upstream)
        return found

    def run(
        self,
        upstream: membership.Upstream,
        outcome: str,
        is_lost: bool = False,
        request: _exchange.Exchange | None = None,
    ) -> None:
        """Runs a request, even if it is blocked."""
        request = request or exchange(CONTENT)
        attempt = self.begin(upstream, request)
        attempt.outcome = outcome
        self.quarantine.run_ended(request, attempt, upstream, is_lost)
        self.quarantine.run_left(attempt)

    def begin(
        self, upstream: membership.Upstream, request: _exchange.Exchange
    ) -> _exchange.Attempt:
        """Begins a run, as a trial if the request is blocked."""
        attempt = _exchange.Attempt(upstream.name, 0.0)
        self.quarantine.run_begins(
            _running_requests.RunningRequest(
                request,
                attempt,
                lambda: self.withdrawn.append(request.content_digest),
            ),
            upstream,
        )
        return attempt

    def stream(
        self,
        upstream: membership.Upstream,
        request: _exchange.Exchange,
        event_times_s: Sequence[float],
        outcome: str,
    ) -> None:
        """Runs a stream whose events come after these times from now."""
        attempt = self.begin(upstream, request)
        attempt.outcome = outcome
        began_s = self.clock.now()
        for time_s in event_times_s:
            self.clock.advance(began_s + time_s - self.clock.now())
            attempt.first_event_s = attempt.first_event_s or self.clock.now()
            attempt.events += 1
            self.quarantine.answer_continues(request, attempt)
        self.quarantine.run_ended(request, attempt, upstream, is_lost=True)
        self.quarantine.run_left(attempt)

    def elapse(self, duration_s: float) -> None:
        self.clock.advance(duration_s)
        self.directory.tick()
        # Reading the records expires old ones.
        self.soft_state.records(membership.RecordKind.STRIKE)
        self.quarantine.check_incomplete_runs()

    @property
    def strikes(self) -> int:
        return self.quarantine.strikes(CONTENT)


def recorded(instance: Instance, digest: str = CONTENT) -> int:
    """Returns the recorded strikes after all proposals have completed."""
    recorder = instance.quarantine._recorder
    while recorder.waiting():
        time.sleep(0.001)
    return instance.client.view().strikes_by_digest.get(digest, 0)
