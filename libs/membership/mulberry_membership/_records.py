"""Records of the soft state and their order."""

import dataclasses
import enum


class RecordKind(enum.Enum):
    """Kinds of soft-state records."""

    MEMBER = "member"
    UPSTREAM = "upstream"
    ENTRY = "entry"
    #: Demand of one team at one instance; the id is `INSTANCE/TEAM`.
    DEMAND = "demand"
    #: Counts of one version at one instance; the id is
    #: `INSTANCE/MODEL/VERSION`.
    EVIDENCE = "evidence"
    SUSPICION = "suspicion"
    #: An instance with a data directory, which may become a voter; the id is
    #: its name.
    STORAGE = "storage"
    #: Instances that form the initial group of voters.
    FOUNDING = "founding"
    #: A session that is pinned to the old version during a rollout; the id is
    #: `SERVICE/ROLLOUT/SESSION`.
    SESSION = "session"
    #: A request content that was being run when an upstream was lost. The id is
    #: `CONTENT/UPSTREAM.INCARNATION`; the sequence tells how much is known
    #: about the loss.
    STRIKE = "strike"


#: Kinds that describe something other than their owner. Their records stay
#: valid after the owner has stopped, until they expire.
OUTLIVES_OWNER = frozenset({RecordKind.SESSION, RecordKind.STRIKE})
#: Kinds whose (incarnation, sequence) is not assigned by the owner.
EXTERNALLY_ORDERED = frozenset(
    {RecordKind.UPSTREAM, RecordKind.SUSPICION, RecordKind.STRIKE}
)
#: Sequence of the record of an upstream that has left. It exceeds the sequence
#: of every earlier announcement.
LEFT_SEQUENCE = 2**62


@dataclasses.dataclass(frozen=True)
class Record:
    """A record published by one instance; ids are unique within a kind."""

    kind: RecordKind
    id: str
    #: Name of the instance that published the record.
    owner: str
    #: Epoch of the owner's process that published the record. Records of an
    #: earlier process are orphaned by a restart of the owner.
    epoch: int
    #: Decides, together with `sequence`, which of two records is newer.
    incarnation: int
    sequence: int
    payload: bytes
    #: Whether the record is a tombstone. Tombstones are kept for a limited
    #: time, so that a delayed copy of an earlier record does not revive the id.
    removed: bool = False
    #: Whether instances forward the record without waiting for their period.
    urgent: bool = False

    @property
    def key(self) -> tuple[RecordKind, str]:
        """Key under which only the newest record is stored."""
        return (self.kind, self.id)

    @property
    def order(self) -> tuple[int, int, bool, str, int, bytes]:
        """Total order of the records of one key; the highest wins.

        Records are ordered by (incarnation, sequence). The remaining elements
        break ties, so that all instances choose the same record; a removal wins
        over the record that it removes.
        """
        return (
            self.incarnation,
            self.sequence,
            self.removed,
            self.owner,
            self.epoch,
            self.payload,
        )
