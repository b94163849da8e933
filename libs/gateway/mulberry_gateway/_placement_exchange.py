"""Placement over gRPC: one instance of a zone schedules its engines."""

import collections
import dataclasses
import threading
from collections.abc import Callable, Iterator, Mapping, Sequence

import grpc

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_wire import placement_pb2, placement_pb2_grpc

#: Time limit for asking a scheduler, seconds. It answers without waiting for
#: anything; a request that is placed without it loses little.
_PLACE_TIMEOUT_S = 0.15
#: Pause in asking a scheduler that did not answer, seconds. Meanwhile the next
#: instance of the zone takes its place.
_FAILURE_PAUSE_S = 2.0
#: Pause in asking an instance of a build without the service, seconds.
_UNSUPPORTED_S = 10.0
#: Schedulers that are tried for one request.
_MAX_TRIES = 2
#: Age at which progress is passed on without a request to place, seconds. A
#: scheduler assumes that engines go on as expected meanwhile.
_PROGRESS_AGE_S = 0.25
#: Progress that is kept for one scheduler; older one is dropped.
_MAX_PROGRESS = 64
#: Parts of a prompt that are passed on.
_MAX_PARTS = 8
_MAX_COUNT = 2**32 - 1


@dataclasses.dataclass(frozen=True)
class PlacementTicket:
    """A request that a scheduler has entered."""

    scheduler: str
    service: str
    upstream: str
    number: int
    #: Expected time until the engine begins to read the prompt, seconds.
    wait_s: float
    #: Expected time that it reads, seconds.
    read_s: float

    @property
    def expected_s(self) -> float:
        """Expected time until the answer begins, seconds."""
        return self.wait_s + self.read_s


@dataclasses.dataclass(frozen=True)
class _Progress:
    ticket: PlacementTicket
    ended: bool
    at_s: float
    report: decisions.LoadReport | core.Missing


class WorkLedgers:
    """The ledgers of this instance by service; thread-safe."""

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._ledger_by_service: dict[str, decisions.WorkLedger] = {}

    def find(self, service: str) -> decisions.WorkLedger:
        """Returns the ledger of a service; creates it at first use."""
        with self._lock:
            ledger = self._ledger_by_service.get(service)
            if ledger is None:
                ledger = decisions.WorkLedger(self._clock)
                self._ledger_by_service[service] = ledger
            return ledger

    def keep_only(self, is_known: Callable[[str], bool]) -> None:
        """Removes engines that are not known any more from all ledgers."""
        with self._lock:
            ledgers = list(self._ledger_by_service.values())
        for ledger in ledgers:
            ledger.keep_only(is_known)


class PlacementClient:
    """Asks the scheduler of a zone for the engine of a request; thread-safe.

    All instances derive the scheduler of a service and zone from the members,
    without an election: while they disagree, or if it does not answer, requests
    are placed less well, but nothing depends on it. Its ledger is soft state.
    """

    def __init__(
        self,
        own_name: str,
        members: Callable[[], Mapping[str, membership.Member]],
        ledgers: WorkLedgers,
        channels: state.Channels,
        clock: core.Clock,
        counters: core.Counters,
    ) -> None:
        self._own_name = own_name
        self._members = members
        self._ledgers = ledgers
        self._channels = channels
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        #: `Clock.now` until which each instance is not asked, seconds.
        self._paused_until_s: dict[str, float] = {}
        #: By scheduler and service, oldest first.
        self._progress: dict[tuple[str, str], collections.deque[_Progress]] = {}

    def place(
        self,
        service: str,
        zone: str,
        work: decisions.PromptWork,
        candidates: Sequence[decisions.EngineCandidate],
    ) -> PlacementTicket | core.Missing:
        """Returns the engine of a request; unset if no scheduler answers.

        Args:
            service: Service of the request.
            zone: Availability zone of the candidates.
            work: The request.
            candidates: Engines that may run the request.
        """
        members = self._members()
        for tries, name in enumerate(self._schedulers(service, zone, members)):
            if tries >= _MAX_TRIES:
                break
            if name == self._own_name:
                placed = self._ledgers.find(service).place(work, candidates)
                if isinstance(placed, core.Missing):
                    return core.Missing.UNSET
                self._counters.increment("gateway.placements.local")
                return PlacementTicket(
                    name,
                    service,
                    placed.name,
                    placed.ticket,
                    placed.wait_s,
                    placed.read_s,
                )
            ticket = self._ask(name, members[name], service, work, candidates)
            if not isinstance(ticket, core.Missing):
                return ticket
        self._counters.increment("gateway.placements.failed")
        return core.Missing.UNSET

    def began(
        self,
        ticket: PlacementTicket,
        report: decisions.LoadReport | core.Missing,
    ) -> None:
        """Records that the answer to a request has begun."""
        self._add(_Progress(ticket, False, self._clock.now(), report))

    def ended(self, ticket: PlacementTicket) -> None:
        """Records that a request has ended, or was not sent."""
        self._add(
            _Progress(ticket, True, self._clock.now(), core.Missing.UNSET)
        )

    def flush(self) -> None:
        """Passes on progress that has waited for long enough."""
        before_s = self._clock.now() - _PROGRESS_AGE_S
        with self._lock:
            due = [
                key
                for key, progress in self._progress.items()
                if progress and progress[0].at_s <= before_s
            ]
        members = self._members()
        for name, service in due:
            messages = self._take_progress(name, service)
            member = members.get(name)
            if not messages or member is None:
                continue
            self._channels.call(
                member.address,
                placement_pb2_grpc.PlacementsStub,
                "Progress",
                placement_pb2.ProgressRequest(
                    service=service, progress=messages
                ),
                _PLACE_TIMEOUT_S,
            )

    def _ask(
        self,
        name: str,
        member: membership.Member,
        service: str,
        work: decisions.PromptWork,
        candidates: Sequence[decisions.EngineCandidate],
    ) -> PlacementTicket | core.Missing:
        reply = self._channels.call(
            member.address,
            placement_pb2_grpc.PlacementsStub,
            "Place",
            placement_pb2.PlaceRequest(
                service=service,
                model=work.model,
                prompt_tokens=min(work.prompt_tokens, _MAX_COUNT),
                urgency=work.urgency,
                shared_parts=[
                    placement_pb2.SharedPartMessage(
                        id=part.id, tokens=min(part.tokens, _MAX_COUNT)
                    )
                    for part in work.shared_parts[:_MAX_PARTS]
                ],
                candidates=[
                    placement_pb2.EngineCandidateMessage(
                        name=candidate.name,
                        incarnation=candidate.incarnation,
                        slots=candidate.slots,
                    )
                    for candidate in candidates
                ],
                progress=self._take_progress(name, service),
            ),
            _PLACE_TIMEOUT_S,
        )
        if isinstance(reply, state.Unreachable):
            pause_s = (
                _UNSUPPORTED_S if reply.is_unimplemented else _FAILURE_PAUSE_S
            )
            with self._lock:
                self._paused_until_s[name] = self._clock.now() + pause_s
            return core.Missing.UNSET
        if not reply.upstream:
            return core.Missing.UNSET
        self._counters.increment("gateway.placements.remote")
        return PlacementTicket(
            name,
            service,
            reply.upstream,
            reply.ticket,
            reply.wait_us / 1e6,
            reply.read_us / 1e6,
        )

    def _schedulers(
        self,
        service: str,
        zone: str,
        members: Mapping[str, membership.Member],
    ) -> Iterator[str]:
        """Yields the instances to ask, in the same order on all of them."""
        now_s = self._clock.now()
        with self._lock:
            paused = {
                name
                for name, until_s in self._paused_until_s.items()
                if until_s > now_s
            }
        yield from sorted(
            (
                name
                for name, member in members.items()
                if member.zone == zone
                and member.state is membership.MemberState.ALIVE
                and name not in paused
            ),
            key=lambda name: core.ring_position(f"{service}\x00{name}"),
        )

    def _add(self, progress: _Progress) -> None:
        ticket = progress.ticket
        if ticket.scheduler == self._own_name:
            ledger = self._ledgers.find(ticket.service)
            if progress.ended:
                ledger.ended(ticket.number)
                return
            ledger.began(ticket.number)
            if not isinstance(progress.report, core.Missing):
                ledger.reported(ticket.upstream, progress.report)
            return
        with self._lock:
            self._progress.setdefault(
                (ticket.scheduler, ticket.service),
                collections.deque(maxlen=_MAX_PROGRESS),
            ).append(progress)

    def _take_progress(
        self, name: str, service: str
    ) -> list[placement_pb2.PlacementProgress]:
        with self._lock:
            taken = self._progress.pop((name, service), ())
        now_s = self._clock.now()
        return [_encode_progress(progress, now_s) for progress in taken]


class PlacementsServicer(placement_pb2_grpc.PlacementsServicer):
    """Schedules the engines of this zone for other instances."""

    def __init__(self, ledgers: WorkLedgers) -> None:
        self._ledgers = ledgers

    def Place(  # noqa: N802 (name of the gRPC method)
        self, request: placement_pb2.PlaceRequest, context: grpc.ServicerContext
    ) -> placement_pb2.PlaceReply:
        """Chooses the engine of a request of another instance."""
        del context
        ledger = self._ledgers.find(request.service)
        _apply_progress(ledger, request.progress)
        placed = ledger.place(
            decisions.PromptWork(
                request.model,
                request.prompt_tokens,
                tuple(
                    decisions.PromptSize(part.id, part.tokens)
                    for part in request.shared_parts
                ),
                request.urgency,
            ),
            [
                decisions.EngineCandidate(
                    candidate.name,
                    candidate.incarnation,
                    max(1, candidate.slots),
                )
                for candidate in request.candidates
            ],
        )
        if isinstance(placed, core.Missing):
            return placement_pb2.PlaceReply()
        return placement_pb2.PlaceReply(
            upstream=placed.name,
            ticket=placed.ticket,
            wait_us=_microseconds(placed.wait_s),
            read_us=_microseconds(placed.read_s),
        )

    def Progress(  # noqa: N802 (name of the gRPC method)
        self,
        request: placement_pb2.ProgressRequest,
        context: grpc.ServicerContext,
    ) -> placement_pb2.ProgressReply:
        """Takes the progress of requests of another instance."""
        del context
        _apply_progress(self._ledgers.find(request.service), request.progress)
        return placement_pb2.ProgressReply()


def add_placements_service(
    server: grpc.Server, servicer: PlacementsServicer
) -> None:
    """Registers the service on a server that is not yet started."""
    placement_pb2_grpc.add_PlacementsServicer_to_server(servicer, server)  # type: ignore[no-untyped-call]


def _encode_progress(
    progress: _Progress, now_s: float
) -> placement_pb2.PlacementProgress:
    message = placement_pb2.PlacementProgress(
        ticket=progress.ticket.number,
        ended=progress.ended,
        age_ms=min(max(0, int((now_s - progress.at_s) * 1000)), _MAX_COUNT),
    )
    report = progress.report
    if not isinstance(report, core.Missing):
        message.has_load = True
        message.upstream = progress.ticket.upstream
        message.running = report.running
        message.waiting = report.waiting
        message.slots = report.slots
        if not isinstance(report.pace, core.Missing):
            message.pace_percent = max(1, round(report.pace * 100))
    return message


def _apply_progress(
    ledger: decisions.WorkLedger,
    messages: Sequence[placement_pb2.PlacementProgress],
) -> None:
    for message in messages:
        age_s = message.age_ms / 1000
        if message.ended:
            ledger.ended(message.ticket, age_s)
            continue
        ledger.began(message.ticket, age_s)
        if message.has_load:
            ledger.reported(
                message.upstream,
                decisions.LoadReport(
                    message.running,
                    message.waiting,
                    message.slots,
                    message.pace_percent / 100
                    if message.pace_percent
                    else core.Missing.UNSET,
                ),
                age_s,
            )


def _microseconds(seconds: float) -> int:
    return min(round(seconds * 1e6), _MAX_COUNT)
