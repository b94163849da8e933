"""Faults that tests inject into a stand-in."""

import dataclasses
import threading
import typing
from collections.abc import Mapping
from typing import Any

import mulberry_core as core

#: Value of disabled integer fields; no limit for `times`.
OFF = -1
_SHARE_STEPS = 10_000


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults to inject; by default none."""

    #: Overrides the seconds between tokens; disabled if negative.
    token_s: float = -1.0
    #: Overrides the seconds until the first token or the answer; disabled if
    #: negative.
    first_token_s: float = -1.0
    #: Closes the connection after this many chunks.
    cut_after: int = OFF
    #: Uses the id of this other request in the answer.
    cross_id: str = ""
    #: Repeats the chunk of this number, from 1.
    duplicate_at: int = OFF
    #: Omits the chunk of this number, from 1.
    drop_at: int = OFF
    #: Garbles the chunk of this number, from 1.
    garble_at: int = OFF
    #: Seconds between the last token and the end of the stream.
    delay_end_s: float = 0.0
    #: Exits the process when a request body contains this text.
    crash_marker: str = ""
    #: Answers 503 with `X-Not-Run: 1`.
    refuse: bool = False
    #: Overrides the mean quality of answers, 0 to 1; disabled if negative.
    quality: float = -1.0
    #: Runs the request, then closes the connection without an answer.
    close_without_answer: bool = False
    #: Bytes added to each answer, to exceed the entry's limits.
    oversize_bytes: int = 0
    #: Answers with this status without running the request; disabled if 0.
    status: int = 0
    #: Makes the rater answer 1 - score.
    wrong: bool = False
    #: Number of requests that the faults apply to; negative for no limit.
    times: int = OFF
    #: Share of requests that the faults apply to, selected by request id.
    share: float = 1.0


NO_FAULTS = Faults()


def parse_faults(body: Mapping[str, Any]) -> Faults | str:
    """Returns the faults, or an error message for the first invalid field."""
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
    """Thread-safe holder of the faults to inject."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faults = NO_FAULTS
        self._remaining = OFF

    def set(self, faults: Faults) -> None:
        """Replaces the faults and restarts the count of `times`."""
        with self._lock:
            self._faults = faults
            self._remaining = faults.times

    def get(self) -> Faults:
        """Returns the faults in effect."""
        with self._lock:
            return self._faults

    def take(self, request_id: str) -> Faults:
        """Returns the faults that apply to a request and counts it."""
        with self._lock:
            if self._faults is NO_FAULTS or self._remaining == 0:
                return NO_FAULTS
            step = core.bucket(request_id, "fault", _SHARE_STEPS)
            if step >= self._faults.share * _SHARE_STEPS:
                return NO_FAULTS
            if self._remaining > 0:
                self._remaining -= 1
            return self._faults
