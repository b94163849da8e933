"""`trace`: one request's story out of the logs of many processes."""

import json
import pathlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from mulberry_cli import _commands, _connection, _outcome

#: Events that say what a process believed, with the field that a request's
#: line names them by.
_BELIEFS = frozenset(
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
    story = select(events, command.request_id)
    if not story:
        return _outcome.Outcome(
            _outcome.ExitCode.REFUSED,
            f"no line names request {command.request_id}",
            {"request": command.request_id, "events": []},
        )
    return _outcome.Outcome(
        _outcome.ExitCode.DONE,
        "\n".join(_describe(event) for event in story),
        {"request": command.request_id, "events": story},
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
        words = line[:start].split()
        yield {"process": words[-1] if words else process, **event}


def select(events: Iterable[Event], request_id: str) -> list[Event]:
    """Returns the events of a request and the beliefs behind them, in order.

    Of the beliefs of each process concerned, the last ones before the
    request count, and what it held of the upstreams that were tried. What
    upstreams announced counts at whatever process it arrived.
    """
    ordered = sorted(events, key=lambda event: event["at"])
    own = [event for event in ordered if event.get("id") == request_id]
    tried = {row[0] for event in own for row in event.get("tries", ())}
    processes = {event["process"] for event in own}
    ends_at = max((event["at"] for event in own), default=0.0)
    last_belief: dict[tuple[str, str], Event] = {}
    found = list(own)
    for event in ordered:
        if event["at"] > ends_at:
            break
        concerned = event["process"] in processes
        if event["event"] in _BELIEFS and concerned:
            last_belief[event["process"], event["event"]] = event
        if event.get("name") in tried and (
            event["event"] == "announcement"
            or (event["event"] == "upstream" and concerned)
        ):
            found.append(event)
    found += last_belief.values()
    return sorted(found, key=lambda event: event["at"])


def _describe(event: Event) -> str:
    fields = " ".join(
        f"{key}={json.dumps(value) if isinstance(value, dict | list) else value}"
        for key, value in event.items()
        if key not in ("at", "t", "event", "process")
    )
    return f"{event['at']:.3f} {event['process']} {event['event']} {fields}"
