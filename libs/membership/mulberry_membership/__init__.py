"""Members, failure detection and soft state."""

from mulberry_membership._announcements import (
    MAX_ANNOUNCEMENT_BYTES,
    Announcement,
    ServedVersion,
    UpstreamState,
    parse_announcement,
)
from mulberry_membership._directory import AnnounceOutcome, UpstreamDirectory
from mulberry_membership._entry_list import (
    EntryState,
    entry_list_body,
    preferred_entries,
)
from mulberry_membership._fake_network import FakeNetwork, Faults
from mulberry_membership._grpc_transport import (
    SERVER_OPTIONS,
    GrpcTransport,
    add_peers_service,
)
from mulberry_membership._local import LocalSoftState
from mulberry_membership._members import Member, MemberState
from mulberry_membership._membership import Membership
from mulberry_membership._peers import Timing
from mulberry_membership._records import Record, RecordKind
from mulberry_membership._simulation import Simulation
from mulberry_membership._soft_state import Callback, SoftState
from mulberry_membership._transport import PeerHandler, PeerTransport
from mulberry_membership._upstreams import Upstream

__all__ = [
    "MAX_ANNOUNCEMENT_BYTES",
    "SERVER_OPTIONS",
    "AnnounceOutcome",
    "Announcement",
    "Callback",
    "EntryState",
    "FakeNetwork",
    "Faults",
    "GrpcTransport",
    "LocalSoftState",
    "Member",
    "MemberState",
    "Membership",
    "PeerHandler",
    "PeerTransport",
    "Record",
    "RecordKind",
    "ServedVersion",
    "Simulation",
    "SoftState",
    "Timing",
    "Upstream",
    "UpstreamDirectory",
    "UpstreamState",
    "add_peers_service",
    "entry_list_body",
    "parse_announcement",
    "preferred_entries",
]
