"""The settings of one instance as frozen data classes."""

import dataclasses
from collections.abc import Mapping

import mulberry_core as core


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds on what a caller may send and hold."""

    #: Bytes of a request body.
    max_body_bytes: int = 1_048_576
    #: Bytes of all request headers together.
    max_header_bytes: int = 32_768
    #: Seconds until a request must have arrived completely.
    read_timeout_s: float = 10.0
    #: Requests served at once by this entry.
    max_streams: int = 120
    #: Requests waiting at this entry.
    max_queue: int = 200
    #: Bytes of an answer that is kept for replay.
    max_kept_answer_bytes: int = 65_536


@dataclasses.dataclass(frozen=True)
class Timing:
    """Periods and terms, in seconds."""

    #: How long callers may keep the entry list.
    entries_keep_s: float = 5.0
    #: Between exchanges of soft state with one peer.
    exchange_period_s: float = 0.25
    #: Without a good exchange until a member is suspected.
    suspect_after_s: float = 1.0
    #: Suspected without refutation until a member is dead.
    dead_after_s: float = 3.0
    #: Between renewals of the rules lease.
    lease_renew_period_s: float = 1.0
    #: Term of the rules lease, from the moment the request was sent.
    lease_term_s: float = 8.0
    #: Between heartbeats of the leader.
    heartbeat_period_s: float = 0.1
    #: Shortest time without a heartbeat until an election.
    election_timeout_s: float = 0.5
    #: Between reads of a watched rule file.
    watch_period_s: float = 0.5


@dataclasses.dataclass(frozen=True)
class Policy:
    """Which implementation of each decision is used."""

    model_chooser: str = "learned"
    upstream_chooser: str = "two_choices"
    admission: str = "priority"
    version_judge: str = "sequential"
    #: Gives orders to engines; `none` leaves them as they announce
    #: themselves.
    load_planner: str = "none"


@dataclasses.dataclass(frozen=True)
class Tls:
    """Key files in PEM; they are read again when they change."""

    certificate_file: str
    key_file: str
    ca_file: str


@dataclasses.dataclass(frozen=True)
class Settings:
    """Everything that one daemon is told at its start."""

    #: Unique among the instances.
    name: str
    #: Availability zone.
    zone: str
    region: str
    #: `IP:PORT` for callers and announcements.
    http_address: str
    #: `IP:PORT` for the other instances and the command line.
    grpc_address: str
    #: gRPC addresses of instances to join by.
    peers: tuple[str, ...]
    #: Folder for durable state; unset on an instance without a disk.
    data_dir: str | core.Missing
    #: Whether this instance votes; needs a data folder.
    voter: bool
    #: The first voters: gRPC address by instance name.
    voters_by_name: Mapping[str, str]
    #: Watched rule file; unset if this instance watches none.
    rule_file: str | core.Missing
    #: SHA-256 in hex of the key that upstreams announce themselves with;
    #: unset if announcements need no key.
    announce_key_hash: str | core.Missing
    #: `IP:PORT` of a statsd server.
    statsd_address: str | core.Missing
    tls: Tls | core.Missing
    limits: Limits = Limits()
    timing: Timing = Timing()
    policy: Policy = Policy()
