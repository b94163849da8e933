"""Placement over gRPC: one instance of a zone schedules its engines."""

import collections
import dataclasses
import random
import threading
from collections.abc import Callable, Iterator, Mapping, Sequence

import grpc
from absl import logging

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import _placement_messages
from mulberry_wire import placement_pb2, placement_pb2_grpc

#: Time limit for asking a scheduler, seconds. It answers without waiting for
#: anything; a request that is placed without it loses little.
_PLACE_TIMEOUT_S = 0.15
#: Least time worth waiting for a scheduler, seconds. Repeated shorter limits
#: would close the channel to a healthy one.
_MIN_TIMEOUT_S = 0.02
#: Pause in asking a scheduler that did not answer, seconds. Meanwhile the next
#: instance of the zone takes its place.
_FAILURE_PAUSE_S = 2.0
#: Pause in asking an instance of a build without the service, seconds.
_UNSUPPORTED_S = 10.0
#: Schedulers that are tried for one request.
_MAX_TRIES = 2
#: Age at which progress is passed on without a request to place, seconds. A
#: scheduler assumes that engines go on as expected meanwhile. At 0.25 s a
#: quarter of all calls carried progress alone.
_PROGRESS_AGE_S = 0.6
#: Progress that is kept for one scheduler; older one is dropped.
_MAX_PROGRESS = 64
_TICKET_BITS = 63
_MAX_LOGGED_NAME = 80


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
            ledgers = list(self._ledger_by_service.items())
        for service, ledger in ledgers:
            ledger.keep_only(is_known)
            if not len(ledger):
                with self._lock:
                    self._ledger_by_service.pop(service, None)


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
        self._progress: dict[
            tuple[str, str], collections.deque[_placement_messages.Progress]
        ] = {}

    def place(
        self,
        service: str,
        zone: str,
        work: decisions.PromptWork,
        candidates: Sequence[decisions.EngineCandidate],
        deadline_s: float,
    ) -> PlacementTicket | core.Missing:
        """Returns the engine of a request; unset if no scheduler answers.

        Args:
            service: Service of the request.
            zone: Availability zone of the candidates.
            work: The request.
            candidates: Engines that may run the request.
            deadline_s: `Clock.now` by which the request must be answered.
        """
        members = self._members()
        for tries, name in enumerate(self._schedulers(service, zone, members)):
            timeout_s = min(_PLACE_TIMEOUT_S, deadline_s - self._clock.now())
            if tries >= _MAX_TRIES or timeout_s < _MIN_TIMEOUT_S:
                break
            number = random.getrandbits(_TICKET_BITS)
            if name == self._own_name:
                ledger = self._ledgers.find(service)
                placed = ledger.place(work, candidates, number)
                if isinstance(placed, core.Missing):
                    return core.Missing.UNSET
                self._counters.increment("gateway.placements.local")
                return PlacementTicket(
                    name,
                    service,
                    placed.name,
                    number,
                    placed.wait_s,
                    placed.read_s,
                )
            request = _placement_messages.encode_request(
                service, work, candidates, number
            )
            ticket = self._ask(name, members[name], request, timeout_s)
            if not isinstance(ticket, core.Missing):
                return ticket
        self._counters.increment("gateway.placements.failed")
        return core.Missing.UNSET

    def began(self, ticket: PlacementTicket) -> None:
        """Records that the answer to a request has begun."""
        self._add(ticket, _placement_messages.Event.BEGAN)

    def ended(self, ticket: PlacementTicket) -> None:
        """Records that a request has ended, or was not sent."""
        self._add(ticket, _placement_messages.Event.ENDED)

    def reported(
        self, ticket: PlacementTicket, report: decisions.LoadReport
    ) -> None:
        """Records the load that an engine reported in a response."""
        self._add(ticket, _placement_messages.Event.REPORTED, report)

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
            taken = self._take_progress(name, service)
            member = members.get(name)
            if (
                member is None
                or member.state is not membership.MemberState.ALIVE
                or self._is_paused(name)
            ):
                # Its ledger counts the requests as read once they are overdue.
                continue
            reply = self._channels.call(
                member.address,
                placement_pb2_grpc.PlacementsStub,
                "Progress",
                placement_pb2.ProgressRequest(
                    service=service, progress=self._encode(taken)
                ),
                _PLACE_TIMEOUT_S,
            )
            if isinstance(reply, state.Unreachable):
                self._pause(name, reply)
                self._return_progress(name, service, taken)

    def _ask(
        self,
        name: str,
        member: membership.Member,
        request: placement_pb2.PlaceRequest,
        timeout_s: float,
    ) -> PlacementTicket | core.Missing:
        service = request.service
        taken = self._take_progress(name, service)
        request.progress.extend(self._encode(taken))
        reply = self._channels.call(
            member.address,
            placement_pb2_grpc.PlacementsStub,
            "Place",
            request,
            timeout_s,
        )
        if isinstance(reply, state.Unreachable):
            self._pause(name, reply)
            # The request may have been entered all the same.
            unknown = _placement_messages.Progress(
                _placement_messages.Event.ENDED,
                request.ticket,
                "",
                self._clock.now(),
            )
            self._return_progress(name, service, (*taken, unknown))
            return core.Missing.UNSET
        ticket = PlacementTicket(
            name,
            service,
            reply.upstream,
            request.ticket,
            reply.wait_us / 1e6,
            reply.read_us / 1e6,
        )
        if all(c.name != ticket.upstream for c in request.candidates):
            logging.warning(
                "scheduler %s chose %r, which was no candidate",
                name,
                ticket.upstream[:_MAX_LOGGED_NAME],
            )
            self.ended(ticket)
            return core.Missing.UNSET
        self._counters.increment("gateway.placements.remote")
        return ticket

    def _pause(self, name: str, reply: state.Unreachable) -> None:
        """Lets the next instance take the place of a scheduler for a time."""
        now_s = self._clock.now()
        pause_s = _UNSUPPORTED_S if reply.is_unimplemented else _FAILURE_PAUSE_S
        with self._lock:
            self._paused_until_s = {
                other: until_s
                for other, until_s in self._paused_until_s.items()
                if until_s > now_s
            }
            self._paused_until_s[name] = now_s + pause_s

    def _is_paused(self, name: str) -> bool:
        now_s = self._clock.now()
        with self._lock:
            return self._paused_until_s.get(name, now_s) > now_s

    def _schedulers(
        self,
        service: str,
        zone: str,
        members: Mapping[str, membership.Member],
    ) -> Iterator[str]:
        """Yields the instances to ask, in the same order on all of them."""
        yield from sorted(
            (
                name
                for name, member in members.items()
                if member.zone == zone
                and member.state is membership.MemberState.ALIVE
                and not self._is_paused(name)
            ),
            key=lambda name: core.ring_position(f"{service}\x00{name}"),
        )

    def _add(
        self,
        ticket: PlacementTicket,
        event: _placement_messages.Event,
        report: decisions.LoadReport | core.Missing = core.Missing.UNSET,
    ) -> None:
        now_s = self._clock.now()
        progress = _placement_messages.Progress(
            event, ticket.number, ticket.upstream, now_s, report
        )
        if ticket.scheduler == self._own_name:
            _apply(self._ledgers.find(ticket.service), progress, now_s)
            return
        with self._lock:
            self._queue(ticket.scheduler, ticket.service).append(progress)

    def _queue(
        self, name: str, service: str
    ) -> collections.deque[_placement_messages.Progress]:
        """Returns the progress for a scheduler; called with the lock held."""
        return self._progress.setdefault(
            (name, service), collections.deque(maxlen=_MAX_PROGRESS)
        )

    def _take_progress(
        self, name: str, service: str
    ) -> Sequence[_placement_messages.Progress]:
        with self._lock:
            return tuple(self._progress.pop((name, service), ()))

    def _return_progress(
        self,
        name: str,
        service: str,
        taken: Sequence[_placement_messages.Progress],
    ) -> None:
        """Keeps progress for a later call; repeating it does no harm."""
        with self._lock:
            queue = self._queue(name, service)
            newer = tuple(queue)
            queue.clear()
            queue.extend((*taken, *newer))

    def _encode(
        self, taken: Sequence[_placement_messages.Progress]
    ) -> list[placement_pb2.PlacementProgress]:
        now_s = self._clock.now()
        return [
            _placement_messages.encode_progress(progress, now_s)
            for progress in taken
        ]


class PlacementsServicer(placement_pb2_grpc.PlacementsServicer):
    """Schedules the engines of this zone for other instances."""

    def __init__(self, ledgers: WorkLedgers, clock: core.Clock) -> None:
        self._ledgers = ledgers
        self._clock = clock

    def Place(  # noqa: N802 (name of the gRPC method)
        self, request: placement_pb2.PlaceRequest, context: grpc.ServicerContext
    ) -> placement_pb2.PlaceReply:
        """Chooses the engine of a request of another instance."""
        del context
        ledger = self._ledgers.find(request.service)
        self._apply_all(ledger, request.progress)
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
            request.ticket,
        )
        if isinstance(placed, core.Missing):
            return placement_pb2.PlaceReply()
        return placement_pb2.PlaceReply(
            upstream=placed.name,
            wait_us=_placement_messages.microseconds(placed.wait_s),
            read_us=_placement_messages.microseconds(placed.read_s),
        )

    def Progress(  # noqa: N802 (name of the gRPC method)
        self,
        request: placement_pb2.ProgressRequest,
        context: grpc.ServicerContext,
    ) -> placement_pb2.ProgressReply:
        """Takes the progress of requests of another instance."""
        del context
        self._apply_all(self._ledgers.find(request.service), request.progress)
        return placement_pb2.ProgressReply()

    def _apply_all(
        self,
        ledger: decisions.WorkLedger,
        messages: Sequence[placement_pb2.PlacementProgress],
    ) -> None:
        now_s = self._clock.now()
        for message in messages:
            progress = _placement_messages.decode_progress(message, now_s)
            if isinstance(progress, _placement_messages.Progress):
                _apply(ledger, progress, now_s)


def add_placements_service(
    server: grpc.Server, servicer: PlacementsServicer
) -> None:
    """Registers the service on a server that is not yet started."""
    placement_pb2_grpc.add_PlacementsServicer_to_server(servicer, server)  # type: ignore[no-untyped-call]


def _apply(
    ledger: decisions.WorkLedger,
    progress: _placement_messages.Progress,
    now_s: float,
) -> None:
    age_s = max(0.0, now_s - progress.at_s)
    if progress.event is _placement_messages.Event.BEGAN:
        ledger.began(progress.ticket, age_s)
    elif progress.event is _placement_messages.Event.ENDED:
        ledger.ended(progress.ticket, age_s)
    if not isinstance(progress.report, core.Missing):
        ledger.reported(progress.upstream, progress.report, age_s)
