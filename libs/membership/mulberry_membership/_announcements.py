"""Announcements that upstreams send about themselves."""

import dataclasses
import enum

import mulberry_core as core


class UpstreamState(enum.Enum):
    """State that an upstream announces."""

    READY = "ready"
    #: Completes its running requests and accepts no new ones.
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
    #: Increases with each start of the upstream.
    incarnation: int
    #: Increases with each announcement within an incarnation.
    sequence: int
    state: UpstreamState
    #: Availability zone.
    zone: str
    #: Sorted; empty for a plain service.
    versions: tuple[ServedVersion, ...]
    #: Name of the plain service; unset for an engine.
    service: str | core.Missing
    #: Maximum number of concurrent requests.
    capacity: int
    #: Requests that are running.
    running: int
    #: Requests that are queued at the upstream.
    queued: int
    #: Whether it rejects orders with an outdated fencing number.
    checks_fencing: bool
    #: Seconds for which the announcement is valid.
    valid_s: float
    #: Version of the software that the upstream runs; empty if not announced.
    release: str = ""
    #: Seconds for which the upstream is still cold; 0 if it is warm.
    cold_s: float = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """Sort key; the newer of two announcements has the higher one."""
        return (self.incarnation, self.sequence)
