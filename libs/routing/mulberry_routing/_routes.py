"""One route: what answers a host and path, and how."""

import dataclasses
import enum
from collections.abc import Mapping

import mulberry_core as core

#: Result of a look-up that found no route.
NO_ROUTE = core.Missing.UNSET


class RouteKind(enum.Enum):
    """What may be repeated, and how the answer travels."""

    #: Idempotent: may run more than once.
    SAFE = "safe"
    #: Runs at most once for each request.
    UNSAFE = "unsafe"
    #: A stream of events.
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class Route:
    """A host and path prefix with the service that answers it."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    kind: RouteKind
    #: Longest time for which a caller is kept waiting, seconds.
    timeout_s: float
    #: Within this time an answer is of full use to its caller, seconds.
    target_latency_s: float
    #: Share of the traffic of each service, in proportion.
    weight_by_service: Mapping[str, int]
    #: 0 is the most urgent.
    priority: int = 0
    #: Upstreams to which one request may be sent.
    max_attempts: int = 1
    #: Whether callers need no key.
    is_public: bool = False
    #: Whether requests of one session should meet the same upstream.
    is_sticky: bool = False
    #: Whether a stream may go on at another upstream.
    is_resumable: bool = False
    #: Longest pause between two events of a stream in time, seconds.
    max_event_gap_s: float = 1.0
    #: Models to choose from, the smallest first; empty where callers choose.
    model_names: tuple[str, ...] = ()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )
