"""Faults that a test switches on in a stand-in."""

import dataclasses
import threading
import typing
from collections.abc import Mapping
from typing import Any

import mulberry_core as core

#: Value of fields that count chunks and are off.
OFF = -1
_SHARE_STEPS = 10_000


@dataclasses.dataclass(frozen=True)
class Faults:
    """What goes wrong; the defaults are a faultless stand-in."""

    #: Seconds between tokens in place of the usual rate; negative is off.
    token_s: float = -1.0
    #: Seconds until the first token or the answer; negative is off.
    first_token_s: float = -1.0
    #: Closes each connection after this many chunks.
    cut_after: int = OFF
    #: Chunks carry the id of this other request.
    cross_id: str = ""
    #: Repeats the chunk of this number, from 1.
    duplicate_at: int = OFF
    #: Leaves out the chunk of this number, from 1.
    drop_at: int = OFF
    #: Garbles the chunk of this number, from 1.
    garble_at: int = OFF
    #: Seconds between the last token and the end.
    delay_end_s: float = 0.0
    #: The process exits when a request contains this text.
    crash_marker: str = ""
    #: Answers 503 with `X-Not-Run: 1`.
    refuse: bool = False
    #: Quality of answers, 0 to 1, in place of the usual; negative is off.
    quality: float = -1.0
    #: Runs the request, then closes without an answer.
    close_without_answer: bool = False
    #: Bytes added to each answer, to pass the limits of the entry.
    oversize_bytes: int = 0
    #: Answers with this status in place of running; 0 is off.
    status: int = 0
    #: The rater answers 1 - score.
    wrong: bool = False
    #: The fault applies to this many requests, then goes away; negative is
    #: no limit.
    times: int = OFF
    #: Share of requests that meet the fault, chosen by request id.
    share: float = 1.0


NO_FAULTS = Faults()


def parse_faults(body: Mapping[str, Any]) -> Faults | str:
    """Returns the faults, or a sentence about the first wrong field."""
    types = typing.get_type_hints(Faults)
    for name, value in body.items():
        expected = types.get(name)
        if expected is None:
            return f"unknown fault {name}; known: {', '.join(types)}"
        accepted = (int, float) if expected is float else (expected,)
        is_bool = isinstance(value, bool)
        if not isinstance(value, accepted) or is_bool != (expected is bool):
            return f"fault {name} must be of type {expected.__name__}"
    return Faults(**body)


class FaultInjector:
    """Holds the faults in effect."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faults = NO_FAULTS
        self._remaining = OFF

    def set(self, faults: Faults) -> None:
        """Puts other faults in effect."""
        with self._lock:
            self._faults = faults
            self._remaining = faults.times

    def get(self) -> Faults:
        """Returns the faults in effect."""
        with self._lock:
            return self._faults

    def take(self, request_id: str) -> Faults:
        """Returns the faults for one request and counts it."""
        with self._lock:
            if self._faults is NO_FAULTS or self._remaining == 0:
                return NO_FAULTS
            step = core.bucket(request_id, "fault", _SHARE_STEPS)
            if step >= self._faults.share * _SHARE_STEPS:
                return NO_FAULTS
            if self._remaining > 0:
                self._remaining -= 1
            return self._faults
