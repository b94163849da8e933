"""Members: the instances of the deployment."""

import dataclasses
import enum


class MemberState(enum.Enum):
    """What is held of a member."""

    ALIVE = "alive"
    #: Exchanges with it failed; it can still refute.
    SUSPECT = "suspect"
    #: Did not refute in time; its records are no longer listed.
    DEAD = "dead"


@dataclasses.dataclass(frozen=True)
class Member:
    """One instance as its own record describes it."""

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
