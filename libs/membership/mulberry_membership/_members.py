"""Members of the cluster and their states."""

import dataclasses
import enum


class MemberState(enum.Enum):
    """Liveness of a member as this instance sees it."""

    ALIVE = "alive"
    #: Exchanges with it failed; it can still refute the suspicion.
    SUSPECT = "suspect"
    #: Did not refute the suspicion in time; its records are no longer listed.
    DEAD = "dead"


@dataclasses.dataclass(frozen=True)
class Member:
    """One instance, as described by the member record it publishes."""

    #: Unique among the instances.
    name: str
    #: gRPC address, `IP:PORT`.
    address: str
    #: Availability zone.
    zone: str
    region: str
    #: Raised by the member to refute a suspicion.
    incarnation: int
    #: Incarnation at the start of its process.
    epoch: int
    state: MemberState
