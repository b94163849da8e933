"""The command `trace`: collects one request's events from several logs."""

import json
import pathlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from mulberry_cli import _commands, _connection, _outcome

#: Events that record a state which a process makes its decisions from:
#: routing, rollouts, start and readiness.
_STATE_EVENTS = frozenset(
    {"routing_in_force", "rollouts", "rollout_decision", "started", "serving"}
)

Event = Mapping[str, Any]


def trace(
    command: _commands.Trace, connection: _connection.Connection
) -> _outcome.Outcome:
    """Prints a request's events and the state of the processes involved."""
    del connection
    events: list[Event] = []
    for name in command.files:
        path = pathlib.Path(name)
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            return _outcome.failed(f"{name}: {error.strerror}")
        events += read_events(text.splitlines(), path.stem)
    matching = select_events(events, command.request_id)
    if not matching:
        return _outcome.Outcome(
            _outcome.ExitCode.REFUSED,
            f"no log event has the request id {command.request_id}",
            {"request": command.request_id, "events": []},
        )
    return _outcome.Outcome(
        _outcome.ExitCode.DONE,
        "\n".join(_describe(event) for event in matching),
        {"request": command.request_id, "events": matching},
    )


def read_events(lines: Iterable[str], process: str) -> Iterator[Event]:
    """Parses the structured events of one log.

    The last word before the JSON object of a line is the process name.

    Args:
        lines: Lines of the log; those without an event are skipped.
        process: Process name for lines that have none.
    """
    for line in lines:
        start = line.find('{"at":')
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            # Truncated line of a process that was killed while writing it.
            continue
        prefix_words = line[:start].split()
        yield {
            "process": prefix_words[-1] if prefix_words else process,
            **event,
        }


def select_events(events: Iterable[Event], request_id: str) -> list[Event]:
    """Returns a request's events and their context, ordered by time.

    The context consists of these events up to the request's last one:

    - the last state event of each type from each process involved;
    - the events of those processes about the upstreams that were tried;
    - announcements of these upstreams, whichever process received them.
    """
    ordered = sorted(events, key=lambda event: event["at"])
    request_events = [
        event for event in ordered if event.get("id") == request_id
    ]
    tried_upstreams = {
        row[0] for event in request_events for row in event.get("tries", ())
    }
    processes = {event["process"] for event in request_events}
    ends_at = max((event["at"] for event in request_events), default=0.0)
    last_state_event: dict[tuple[str, str], Event] = {}
    selected = list(request_events)
    for event in ordered:
        if event["at"] > ends_at:
            break
        involved = event["process"] in processes
        if event["event"] in _STATE_EVENTS and involved:
            last_state_event[event["process"], event["event"]] = event
        if event.get("name") in tried_upstreams and (
            event["event"] == "announcement"
            or (event["event"] == "upstream" and involved)
        ):
            selected.append(event)
    selected += last_state_event.values()
    return sorted(selected, key=lambda event: event["at"])


def _describe(event: Event) -> str:
    fields = " ".join(
        f"{key}={json.dumps(value) if isinstance(value, dict | list) else value}"
        for key, value in event.items()
        if key not in ("at", "t", "event", "process")
    )
    return f"{event['at']:.3f} {event['process']} {event['event']} {fields}"
