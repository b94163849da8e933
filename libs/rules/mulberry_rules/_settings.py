"""Frozen data classes for the settings of one instance."""

import dataclasses
from collections.abc import Mapping

import mulberry_core as core


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on request sizes, concurrency and kept answers."""

    #: Maximum size of a request body in bytes.
    max_body_bytes: int = 1_048_576
    #: Maximum size of all request headers together in bytes.
    max_header_bytes: int = 32_768
    #: Time limit for receiving a complete request, seconds.
    read_timeout_s: float = 10.0
    #: Maximum number of concurrent requests at this entry.
    max_streams: int = 120
    #: Maximum number of queued requests at this entry.
    max_queue: int = 200
    #: Maximum size in bytes of an answer that is kept for replay.
    max_kept_answer_bytes: int = 65_536
    #: Memory of the process in millions of bytes. What the daemon leaves of it
    #: bounds what all requests take together.
    max_memory_mb: int = 200


@dataclasses.dataclass(frozen=True)
class Timing:
    """Periods, timeouts and lease terms, in seconds."""

    #: How long callers may cache the entry list.
    entries_keep_s: float = 5.0
    #: Interval between gossip exchanges with one peer.
    exchange_period_s: float = 0.25
    #: Time without a successful exchange until a member is suspected.
    suspect_after_s: float = 1.0
    #: Time under suspicion without refutation until a member is dead.
    dead_after_s: float = 3.0
    #: Interval between renewals of the rules lease.
    lease_renew_period_s: float = 1.0
    #: Term of the rules lease, counted from when its request was sent.
    lease_term_s: float = 8.0
    #: Interval between heartbeats of the leader.
    heartbeat_period_s: float = 0.1
    #: Minimum time without a heartbeat before an election.
    election_timeout_s: float = 0.5
    #: Interval between reads of a watched rule file.
    watch_period_s: float = 0.5


@dataclasses.dataclass(frozen=True)
class Policy:
    """The selected implementation of each decision."""

    model_chooser: str = "learned"
    upstream_chooser: str = "two_choices"
    admission: str = "priority"
    version_judge: str = "sequential"
    #: Plans orders to engines; with `none`, engines keep the state that
    #: they announce.
    load_planner: str = "none"


@dataclasses.dataclass(frozen=True)
class Tls:
    """Paths of the PEM files, which are reloaded when they change."""

    certificate_file: str
    key_file: str
    ca_file: str


@dataclasses.dataclass(frozen=True)
class Settings:
    """The complete settings of one instance."""

    #: Unique among the instances.
    name: str
    #: Availability zone.
    zone: str
    region: str
    #: `IP:PORT` to listen on for callers and upstream announcements.
    http_address: str
    #: `IP:PORT` to listen on for other instances and the command line.
    grpc_address: str
    #: gRPC addresses of the instances to contact when joining.
    peers: tuple[str, ...]
    #: Directory for durable state; unset on an instance without a disk.
    data_dir: str | core.Missing
    #: Whether this instance is a voter; requires `data_dir`.
    voter: bool
    #: Initial voters: gRPC address by instance name.
    voters_by_name: Mapping[str, str]
    #: Path of the rule file to watch; unset to watch none.
    rule_file: str | core.Missing
    #: SHA-256 in hex of the key that authenticates upstream announcements;
    #: unset if announcements need no key.
    announce_key_hash: str | core.Missing
    #: `IP:PORT` of a statsd server.
    statsd_address: str | core.Missing
    tls: Tls | core.Missing
    limits: Limits = Limits()
    timing: Timing = Timing()
    policy: Policy = Policy()
