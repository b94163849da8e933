"""Messages of the placement between instances."""

import dataclasses
import enum
from collections.abc import Sequence

import mulberry_core as core
import mulberry_decisions as decisions
from mulberry_wire import placement_pb2

_MAX_COUNT = 2**32 - 1


class Event(enum.Enum):
    """What became of a request that was placed."""

    BEGAN = placement_pb2.PLACEMENT_EVENT_BEGAN
    ENDED = placement_pb2.PLACEMENT_EVENT_ENDED
    REPORTED = placement_pb2.PLACEMENT_EVENT_REPORTED


@dataclasses.dataclass(frozen=True)
class Progress:
    """What became of a request, or what its engine reported."""

    event: Event
    ticket: int
    #: Engine that sent the report; empty without one.
    upstream: str
    at_s: float
    report: decisions.LoadReport | core.Missing = core.Missing.UNSET


def encode_request(
    service: str,
    work: decisions.PromptWork,
    candidates: Sequence[decisions.EngineCandidate],
    ticket: int,
) -> placement_pb2.PlaceRequest:
    """Returns the message that asks for the engine of a request."""
    return placement_pb2.PlaceRequest(
        service=service,
        model=work.model,
        prompt_tokens=min(work.prompt_tokens, _MAX_COUNT),
        urgency=work.urgency,
        shared_parts=[
            placement_pb2.SharedPartMessage(
                id=part.id, tokens=min(part.tokens, _MAX_COUNT)
            )
            for part in work.shared_parts
        ],
        candidates=[
            placement_pb2.EngineCandidateMessage(
                name=candidate.name,
                incarnation=candidate.incarnation,
                slots=candidate.slots,
            )
            for candidate in candidates
        ],
        ticket=ticket,
    )


def encode_progress(
    progress: Progress, now_s: float
) -> placement_pb2.PlacementProgress:
    """Returns the message; times in it are relative to `now_s`."""
    message = placement_pb2.PlacementProgress(
        ticket=progress.ticket,
        event=progress.event.value,
        age_ms=min(max(0, int((now_s - progress.at_s) * 1000)), _MAX_COUNT),
    )
    report = progress.report
    if not isinstance(report, core.Missing):
        message.has_load = True
        message.upstream = progress.upstream
        message.running = report.running
        message.waiting = report.waiting
        message.slots = report.slots
        if not isinstance(report.pace, core.Missing):
            message.pace_percent = max(1, round(report.pace * 100))
    return message


def decode_progress(
    message: placement_pb2.PlacementProgress, now_s: float
) -> Progress | core.Missing:
    """Decodes progress; unset if a later version added the event."""
    try:
        event = Event(message.event)
    except ValueError:
        return core.Missing.UNSET
    report: decisions.LoadReport | core.Missing = core.Missing.UNSET
    if message.has_load:
        report = decisions.LoadReport(
            message.running,
            message.waiting,
            message.slots,
            message.pace_percent / 100
            if message.pace_percent
            else core.Missing.UNSET,
        )
    return Progress(
        event,
        message.ticket,
        message.upstream,
        now_s - message.age_ms / 1000,
        report,
    )


def microseconds(seconds: float) -> int:
    """Returns a time as a count that fits into a message."""
    return min(round(seconds * 1e6), _MAX_COUNT)
