"""Members, failure detection and soft state."""

from mulberry_membership._local import LocalSoftState
from mulberry_membership._members import Member, MemberState
from mulberry_membership._records import Record, RecordKind
from mulberry_membership._soft_state import Callback, SoftState

__all__ = [
    "Callback",
    "LocalSoftState",
    "Member",
    "MemberState",
    "Record",
    "RecordKind",
    "SoftState",
]
