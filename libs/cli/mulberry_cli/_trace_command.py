"""`trace`: one request's story out of the logs of many processes."""

import json
import pathlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from mulberry_cli import _commands, _connection, _outcome

#: Events that say what a process believed, with the field that a request's
#: line names them by.
_STATE_EVENTS = frozenset(
    {"routing_in_force", "rollouts", "rollout_decision", "started", "serving"}
)

Event = Mapping[str, Any]


def trace(
    command: _commands.Trace, connection: _connection.Connection
) -> _outcome.Outcome:
    """Joins the lines about a request with what its instances believed."""
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
            f"no line names request {command.request_id}",
            {"request": command.request_id, "events": []},
        )
    return _outcome.Outcome(
        _outcome.ExitCode.DONE,
        "\n".join(_describe(event) for event in matching),
        {"request": command.request_id, "events": matching},
    )


def read_events(lines: Iterable[str], process: str) -> Iterator[Event]:
    """Yields the structured lines; text before the object names the process.

    Args:
        lines: Of one log; other lines are passed over.
        process: Name of the process where a line does not say it.
    """
    for line in lines:
        start = line.find('{"at":')
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            # A line that was cut when its process was killed.
            continue
        prefix_words = line[:start].split()
        yield {
            "process": prefix_words[-1] if prefix_words else process,
            **event,
        }


def select_events(events: Iterable[Event], request_id: str) -> list[Event]:
    """Returns the events of a request and the beliefs behind them, in order.

    Of the beliefs of each process concerned, the last ones before the
    request count, and what it held of the upstreams that were tried. What
    upstreams announced counts at whatever process it arrived.
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
