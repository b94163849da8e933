"""Cluster membership, failure detection and replicated soft state."""

import typing

import mulberry_core as core

if typing.TYPE_CHECKING:
    from mulberry_membership._addresses import (
        is_endpoint,
        is_ipv4_endpoint,
    )
    from mulberry_membership._announcement_body import (
        MAX_ANNOUNCEMENT_BYTES,
        parse_announcement,
    )
    from mulberry_membership._announcements import (
        Announcement,
        ServedVersion,
        UpstreamState,
    )
    from mulberry_membership._codec import (
        MAX_NAME_LENGTH,
    )
    from mulberry_membership._directory import (
        AnnounceOutcome,
        UpstreamDirectory,
    )
    from mulberry_membership._entry_list import (
        EntryState,
        entry_list_body,
        preferred_entries,
        read_entries,
    )
    from mulberry_membership._fake_network import (
        FakeNetwork,
        Faults,
    )
    from mulberry_membership._grpc_transport import (
        SERVER_OPTIONS,
        GrpcTransport,
        add_peers_service,
    )
    from mulberry_membership._local import (
        LocalSoftState,
    )
    from mulberry_membership._members import (
        Member,
        MemberState,
    )
    from mulberry_membership._membership import (
        Membership,
    )
    from mulberry_membership._peers import (
        Timing,
    )
    from mulberry_membership._record_reader import (
        parse_json,
        read_records,
    )
    from mulberry_membership._records import (
        LEFT_SEQUENCE,
        Record,
        RecordKind,
    )
    from mulberry_membership._simulation import (
        Simulation,
    )
    from mulberry_membership._soft_state import (
        RecordCallback,
        SoftState,
    )
    from mulberry_membership._transport import (
        PeerHandler,
        PeerTransport,
    )
    from mulberry_membership._upstreams import (
        Upstream,
        check_size,
        is_upstream_name,
        says_departed,
        says_leaving,
    )
else:
    __getattr__ = core.import_on_demand(
        __name__,
        {
            "_addresses": (
                "is_endpoint",
                "is_ipv4_endpoint",
            ),
            "_announcement_body": (
                "MAX_ANNOUNCEMENT_BYTES",
                "parse_announcement",
            ),
            "_announcements": (
                "Announcement",
                "ServedVersion",
                "UpstreamState",
            ),
            "_codec": ("MAX_NAME_LENGTH",),
            "_directory": (
                "AnnounceOutcome",
                "UpstreamDirectory",
            ),
            "_entry_list": (
                "EntryState",
                "entry_list_body",
                "preferred_entries",
                "read_entries",
            ),
            "_fake_network": (
                "FakeNetwork",
                "Faults",
            ),
            "_grpc_transport": (
                "SERVER_OPTIONS",
                "GrpcTransport",
                "add_peers_service",
            ),
            "_local": ("LocalSoftState",),
            "_members": (
                "Member",
                "MemberState",
            ),
            "_membership": ("Membership",),
            "_peers": ("Timing",),
            "_record_reader": (
                "parse_json",
                "read_records",
            ),
            "_records": (
                "LEFT_SEQUENCE",
                "Record",
                "RecordKind",
            ),
            "_simulation": ("Simulation",),
            "_soft_state": (
                "RecordCallback",
                "SoftState",
            ),
            "_transport": (
                "PeerHandler",
                "PeerTransport",
            ),
            "_upstreams": (
                "Upstream",
                "check_size",
                "is_upstream_name",
                "says_departed",
                "says_leaving",
            ),
        },
    )

__all__ = [
    "LEFT_SEQUENCE",
    "MAX_ANNOUNCEMENT_BYTES",
    "MAX_NAME_LENGTH",
    "SERVER_OPTIONS",
    "AnnounceOutcome",
    "Announcement",
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
    "RecordCallback",
    "RecordKind",
    "ServedVersion",
    "Simulation",
    "SoftState",
    "Timing",
    "Upstream",
    "UpstreamDirectory",
    "UpstreamState",
    "add_peers_service",
    "check_size",
    "entry_list_body",
    "is_endpoint",
    "is_ipv4_endpoint",
    "is_upstream_name",
    "parse_announcement",
    "parse_json",
    "preferred_entries",
    "read_entries",
    "read_records",
    "says_departed",
    "says_leaving",
]
