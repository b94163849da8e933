"""Members, failure detection and soft state."""

from mulberry_membership._announcements import (
    MAX_ANNOUNCEMENT_BYTES,
    Announcement,
    ServedVersion,
    UpstreamState,
    parse_announcement,
)
from mulberry_membership._directory import AnnounceOutcome, UpstreamDirectory
from mulberry_membership._local import LocalSoftState
from mulberry_membership._members import Member, MemberState
from mulberry_membership._records import Record, RecordKind
from mulberry_membership._soft_state import Callback, SoftState
from mulberry_membership._upstreams import Upstream

__all__ = [
    "MAX_ANNOUNCEMENT_BYTES",
    "AnnounceOutcome",
    "Announcement",
    "Callback",
    "LocalSoftState",
    "Member",
    "MemberState",
    "Record",
    "RecordKind",
    "ServedVersion",
    "SoftState",
    "Upstream",
    "UpstreamDirectory",
    "UpstreamState",
    "parse_announcement",
]
