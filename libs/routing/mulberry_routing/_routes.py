"""Routes, which map a host and path prefix to services."""

import dataclasses
import enum
from collections.abc import Mapping

import mulberry_core as core

#: Result of a lookup that found no route.
NO_ROUTE = core.Missing.UNSET


class RouteKind(enum.Enum):
    """Idempotency and response type of the requests of a route."""

    #: Idempotent: may run more than once.
    SAFE = "safe"
    #: Runs at most once for each request.
    UNSAFE = "unsafe"
    #: The response is a stream of events.
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class Route:
    """A host and path prefix with the services that handle it."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    kind: RouteKind
    #: Maximum time until the caller gets an answer, seconds.
    timeout_s: float
    #: Latency up to which an answer has its full value, seconds.
    target_latency_s: float
    #: Relative share of the traffic for each service.
    weight_by_service: Mapping[str, int]
    #: 0 is the most urgent.
    priority: int = 0
    #: Maximum number of upstreams that one request is sent to.
    max_attempts: int = 1
    #: Whether callers need no key.
    is_public: bool = False
    #: Whether requests of one session prefer the same upstream.
    is_sticky: bool = False
    #: Whether a stream can be resumed at another upstream.
    is_resumable: bool = False
    #: Maximum interval between two events of a timely stream, seconds.
    max_event_gap_s: float = 1.0
    #: Models to choose from, smallest first; empty if the caller chooses.
    model_names: tuple[str, ...] = ()
    #: Regions whose upstreams may get requests; empty for any.
    regions: frozenset[str] = frozenset()

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )
