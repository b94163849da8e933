"""Records of the soft state and the order between them."""

import dataclasses
import enum


class RecordKind(enum.Enum):
    """The closed list of record kinds."""

    MEMBER = "member"
    UPSTREAM = "upstream"
    ENTRY = "entry"
    #: Demand of one team at one instance; ids are `INSTANCE/TEAM`.
    DEMAND = "demand"
    #: Counts of one version at one instance; ids are `INSTANCE/MODEL/VERSION`.
    EVIDENCE = "evidence"
    SUSPICION = "suspicion"
    #: An instance with a data folder, which may vote; ids are its name.
    STORAGE = "storage"
    #: Which instances form the first group of voters.
    FOUNDING = "founding"
    #: A session that keeps to the old version during a rollout; ids are
    #: `SERVICE/ROLLOUT/SESSION`.
    SESSION = "session"
    #: A content whose run was under way when an upstream was lost; ids are
    #: `CONTENT/UPSTREAM.INCARNATION`, the sequence is what is known of it.
    STRIKE = "strike"


#: Kinds that are about something else than their owner. What it saw stays
#: true after its end, until the record expires.
OUTLIVES_OWNER = frozenset({RecordKind.SESSION, RecordKind.STRIKE})
#: Kinds whose (incarnation, sequence) is not counted by the owner.
EXTERNALLY_ORDERED = frozenset(
    {RecordKind.UPSTREAM, RecordKind.SUSPICION, RecordKind.STRIKE}
)
#: Sequence of a record that says that an upstream has left: none that it
#: sent before can be newer.
LEFT_SEQUENCE = 2**62


@dataclasses.dataclass(frozen=True)
class Record:
    """One published fact; ids are unique within a kind."""

    kind: RecordKind
    id: str
    #: Name of the instance that published the record.
    owner: str
    #: Incarnation of the owner's process when it published the record; a
    #: record of an earlier process of the owner does not outlive its restart.
    epoch: int
    #: Together with `sequence` decides which of two records is newer.
    incarnation: int
    sequence: int
    payload: bytes
    #: A removed record stays for a bounded time, so that a late copy of an
    #: earlier record does not bring the id back.
    removed: bool = False
    #: Whether instances pass the record on without waiting for their period.
    urgent: bool = False

    @property
    def key(self) -> tuple[RecordKind, str]:
        """What the record is about."""
        return (self.kind, self.id)

    @property
    def order(self) -> tuple[int, int, bool, str, int, bytes]:
        """Total order of the records of one key; the highest wins.

        The page orders by (incarnation, sequence). The other parts only make
        all instances choose the same record where these are equal; a removal
        wins over the record that it removes.
        """
        return (
            self.incarnation,
            self.sequence,
            self.removed,
            self.owner,
            self.epoch,
            self.payload,
        )
