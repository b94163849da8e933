"""Settings of a gateway instance, fixed at its start."""

import dataclasses
import pathlib
from collections.abc import Mapping

import mulberry_core as core
import mulberry_membership as membership
import mulberry_rules as rules

#: Lease renewal period as a share of the bound on applying a change. An
#: instance learns of changes when it renews its lease; at this share a second
#: renewal still fits into the bound if the first fails. Each renewal costs the
#: leader one call per instance, so the period is not shorter.
_RENEW_SHARE = 0.3
#: Interval between gossip exchanges with the ring neighbors while there is
#: nothing new, seconds. At 0.5 s, instances of a fleet of 69 spent a third of
#: their idle processor time on these exchanges.
_IDLE_EXCHANGE_S = 1.0
#: Age of the view up to which the target of a rollout gets requests, as a share
#: of the bound on rolling back. The rest covers the time from the first bad
#: answers to the leader's decision, and the way of a request to the upstream.
_ROLLOUT_VIEW_AGE_SHARE = 0.6
#: Lease term as a share of the bound on revoking a key. The rest covers the
#: time from checking the lease to sending the request, and clock drift.
_LEASE_SHARE = 0.9


#: Relayed connections, if descriptors do not allow fewer. Each takes a thread
#: and up to 128 KiB.
_MAX_RELAYED = 256
#: Part of the descriptors that relayed connections may take is twice the
#: inverse of this.
_RELAY_DIVISOR = 16
#: Connections of callers and others, if descriptors do not allow fewer. Each
#: takes a thread.
_MAX_CONNECTIONS = 1_024
#: With fewer the process could not serve callers and workers at one time.
_MIN_CONNECTIONS = 16
#: Descriptors of the process without these connections: files, and connections
#: to other instances and to relays that are being opened.
_DAEMON_DESCRIPTORS = 160
#: A request takes the connection of its caller and one to the upstream.
_DESCRIPTORS_OF_CONNECTION = 2


@dataclasses.dataclass(frozen=True)
class GatewayBounds:
    """Bounds that the deployment must meet; timings are derived from them."""

    #: Longest time that callers may use an entry list, seconds.
    entry_list_s: float = 5.0
    #: Time from SIGTERM to SIGKILL, seconds.
    grace_s: float = 8.0
    #: Interval between announcements of an upstream, seconds.
    announce_period_s: float = 1.2
    #: Time from confirming the removal of a key until every instance must
    #: reject it, seconds.
    revoke_s: float = 5.0
    #: Time from confirming a change until every instance applies it, seconds.
    apply_s: float = 2.0
    #: Retries allowed per request of a service.
    retry_ratio: float = 0.1
    #: Length of the retry budget's windows, seconds.
    retry_window_s: float = 10.0
    #: Retries of all instances beyond that ratio, per window and service.
    retry_slack: float = 20.0
    #: Share of a service's requests that a bad version may receive, 0 to 1.
    exposure_share: float = 0.1
    #: Requests allowed beyond that share.
    exposure_slack: int = 30
    #: Time from the first bad answers until a version must get no more
    #: requests, seconds.
    rollback_s: float = 5.0
    #: A session is idle after this time without a request, seconds.
    session_s: float = 5.0
    #: Requests that may arrive at a cold upstream in any second, from all
    #: instances together: this factor of the rate that it tolerates,
    cold_overage: float = 1.5
    #: and this number beyond it.
    cold_slack: float = 5.0

    @property
    def timing(self) -> rules.Timing:
        """Timing of the replicated state, derived from the bounds."""
        return rules.Timing(
            entries_keep_s=self.entry_list_s,
            lease_renew_period_s=self.apply_s * _RENEW_SHARE,
            lease_term_s=self.revoke_s * _LEASE_SHARE,
        )

    @property
    def rollout_view_age_s(self) -> float:
        """Age of the view up to which a rollout's target is used, seconds."""
        return self.rollback_s * _ROLLOUT_VIEW_AGE_SHARE


@dataclasses.dataclass(frozen=True)
class ProcessLimits:
    """What the machine allows the process to take."""

    #: Resident memory, millions of bytes.
    memory_mb: float = 200.0
    #: Open file descriptors.
    max_fds: int = 4_096

    @property
    def max_relayed(self) -> int:
        """Connections that are relayed for other instances at one time."""
        return max(1, min(_MAX_RELAYED, self.max_fds // _RELAY_DIVISOR))

    @property
    def max_connections(self) -> int:
        """Connections of callers, workers and operators at one time."""
        left = (
            self.max_fds
            - _DAEMON_DESCRIPTORS
            - _DESCRIPTORS_OF_CONNECTION * self.max_relayed
        )
        return max(
            _MIN_CONNECTIONS,
            min(_MAX_CONNECTIONS, left // _DESCRIPTORS_OF_CONNECTION),
        )


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Addresses, location and bounds of one instance."""

    name: str
    zone: str
    region: str
    #: gRPC address at which the other instances reach this one.
    grpc_address: str
    #: Address for callers.
    entry_address: str
    #: Unset on an instance without a data directory.
    data_dir: pathlib.Path | core.Missing
    #: gRPC addresses of the instances to join through.
    seeds: tuple[str, ...]
    #: Whether the deployment starts for the first time and has no voters yet.
    is_first_start: bool
    #: Minimum number of voters that must remain until lost ones are replaced.
    min_voters: int
    bounds: GatewayBounds = GatewayBounds()
    limits: ProcessLimits = ProcessLimits()
    #: Address at which this instance relays connections to upstreams for other
    #: instances; empty if it does not.
    relay_address: str = ""
    #: Whether all services with engines are scheduled; otherwise only those
    #: whose upstreams report how long work takes.
    schedules_engines: bool = False
    #: Region of each zone; one that is not listed is in no allowed region.
    region_by_zone: Mapping[str, str] = dataclasses.field(default_factory=dict)

    @property
    def timing(self) -> rules.Timing:
        """Timing of the replicated state, derived from the bounds."""
        return self.bounds.timing

    @property
    def exchange_timing(self) -> membership.Timing:
        """Timing of the gossip exchanges and of failure detection."""
        return membership.Timing(
            exchange_period_s=self.timing.exchange_period_s,
            near_idle_period_s=_IDLE_EXCHANGE_S,
            suspect_after_s=self.timing.suspect_after_s,
            dead_after_s=self.timing.dead_after_s,
        )
