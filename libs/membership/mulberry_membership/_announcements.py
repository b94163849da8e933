"""What upstreams say of themselves."""

import dataclasses
import enum

import mulberry_core as core


class UpstreamState(enum.Enum):
    """What an upstream says of itself."""

    READY = "ready"
    #: Completes what runs and takes no new work.
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, order=True)
class ServedVersion:
    """One version that an engine has loaded."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True)
class Announcement:
    """One announcement of an upstream."""

    name: str
    #: Base address for requests, for example `http://10.0.0.7:8000`.
    address: str
    #: Grows with each start of the upstream.
    incarnation: int
    #: Grows with each announcement of one incarnation.
    sequence: int
    state: UpstreamState
    #: Availability zone.
    zone: str
    #: Sorted; empty for a plain service.
    versions: tuple[ServedVersion, ...]
    #: Name of the plain service; unset for an engine.
    service: str | core.Missing
    #: Requests that it can run at once.
    capacity: int
    #: Requests that are running.
    running: int
    #: Requests that wait at the upstream.
    queued: int
    #: Whether it rejects orders with an outdated fencing number.
    checks_fencing: bool
    #: Seconds for which the announcement holds.
    valid_s: float
    #: Version of the software that the upstream runs; empty if not told.
    release: str = ""

    @property
    def order(self) -> tuple[int, int]:
        """Decides which of two announcements is newer."""
        return (self.incarnation, self.sequence)
