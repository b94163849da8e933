"""What an instance of the gateway is told at its start."""

import dataclasses
import pathlib

import mulberry_core as core
import mulberry_membership as membership
import mulberry_rules as rules

#: A change reaches every instance with its next renewal; one that fails is
#: followed by a second one within the bound. Each renewal costs the leader a
#: call from every instance.
_RENEW_SHARE = 0.3
#: Between exchanges with the next instances on the ring while nothing is new,
#: seconds. With 0.5 s, instances of a fleet of 69 spent a third of their idle
#: processor time on them.
_IDLE_EXCHANGE_S = 1.0
#: The rest of the bound covers the way from the check of the lease to the
#: upstream, and clocks that drift.
_LEASE_SHARE = 0.9


@dataclasses.dataclass(frozen=True)
class GatewayBounds:
    """Bounds that the deployment must keep; terms are derived from them."""

    #: Longest time that a directory answer is used, seconds.
    entry_list_s: float = 5.0
    #: From SIGTERM to SIGKILL, seconds.
    grace_s: float = 8.0
    #: Between announcements of an upstream, seconds.
    announce_period_s: float = 1.2
    #: From the confirmation of a change until a key that it took away must be
    #: of no use on any instance, seconds.
    revoke_s: float = 5.0
    #: From the confirmation of a change until it is in force, seconds.
    apply_s: float = 2.0
    #: Retries that a service may get for each request.
    retry_ratio: float = 0.1
    #: Length of the windows in which retries are counted, seconds.
    retry_window_s: float = 10.0
    #: Retries of all instances beyond that ratio, in a window, by service.
    retry_slack: float = 20.0
    #: Share of a service's requests that a bad version may get, 0 to 1.
    exposure_share: float = 0.1
    #: Requests beyond that share.
    exposure_slack: int = 30
    #: Bad answers after which a version must get nothing more soon, seconds.
    rollback_s: float = 5.0
    #: Requests of a session that follow within this time belong together.
    session_s: float = 5.0

    @property
    def timing(self) -> rules.Timing:
        """Periods and terms of the replicated state that keep the bounds."""
        return rules.Timing(
            entries_keep_s=self.entry_list_s,
            lease_renew_period_s=self.apply_s * _RENEW_SHARE,
            lease_term_s=self.revoke_s * _LEASE_SHARE,
        )


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Addresses, place and bounds of one instance."""

    name: str
    zone: str
    region: str
    #: gRPC address, by which the other instances reach this one.
    grpc_address: str
    #: For callers.
    entry_address: str
    #: Unset on an instance without a data folder.
    data_dir: pathlib.Path | core.Missing
    #: gRPC addresses of instances to join by.
    seeds: tuple[str, ...]
    #: Whether the deployment starts for the first time.
    is_first_start: bool
    #: Voters that must remain while lost ones are not replaced.
    min_voters: int
    bounds: GatewayBounds = GatewayBounds()

    @property
    def timing(self) -> rules.Timing:
        """Periods and terms, derived from the bounds."""
        return self.bounds.timing

    @property
    def exchange_timing(self) -> membership.Timing:
        """Periods of the exchanges of soft state."""
        return membership.Timing(
            exchange_period_s=self.timing.exchange_period_s,
            near_idle_period_s=_IDLE_EXCHANGE_S,
            suspect_after_s=self.timing.suspect_after_s,
            dead_after_s=self.timing.dead_after_s,
        )
