"""Tells which upstreams are cold, and how many requests they may get."""

import dataclasses
import enum
import math
from collections.abc import Callable, Mapping

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_routing as routing
from mulberry_gateway import _catalog, _settings

#: Announcement periods after which an upstream that is still listed has
#: announced itself again. An announcement is valid for four periods.
_VALID_PERIODS = 5.0
#: Announcement periods within which the home of a cold upstream must have heard
#: from it to grant permits. The upstream announces itself to another instance
#: one period after its last announcement to a home that is cut off from it.
_OWNER_PERIODS = 1.4
#: Shortest time for which the upstreams of a zone count as cold after the end
#: of its evacuation, seconds. They report it up to an announcement period late.
_MIN_EVACUATED_S = 3.0


class ColdReason(enum.Enum):
    """Why an upstream counts as cold."""

    ANNOUNCED = "announced"
    #: It said so in an answer, or its connection did not open or broke.
    SEEN = "seen"
    #: The instance that published its record is lost.
    RETAINED = "retained"
    EVACUATED = "evacuated"


@dataclasses.dataclass(frozen=True)
class _Rule:
    limit: decisions.ColdLimit
    #: For how long upstreams are cold after their zone was evacuated, seconds.
    evacuated_s: float


class ColdRules:
    """Limits of the services whose cold upstreams tolerate few requests."""

    def __init__(
        self,
        table: Callable[[], routing.RoutingTable | core.Missing],
        bounds: _settings.GatewayBounds,
    ) -> None:
        """Creates rules that follow the routing table.

        Args:
            table: Returns the current table, unset before the first.
            bounds: The bounds of the deployment.
        """
        self._get_table = table
        self._bounds = bounds
        self._table: routing.RoutingTable | core.Missing = core.Missing.UNSET
        self._by_service: Mapping[str, _Rule] = {}

    def by_service(self) -> Mapping[str, _Rule]:
        """Returns the rules; empty in a deployment without cold upstreams."""
        table = self._get_table()
        if table is not self._table and not isinstance(table, core.Missing):
            self._by_service = {
                name: self._rule(service.cold_rate_per_s, service.cold_s)
                for name, service in table.services_by_name.items()
                if not isinstance(service.cold_rate_per_s, core.Missing)
            }
            self._table = table
        return self._by_service

    def may_apply(self, service: str | core.Missing) -> bool:
        """Whether it matters that an upstream of a service is cold.

        Also true while the routing table is unknown.
        """
        rules = self.by_service()
        return isinstance(self._table, core.Missing) or service in rules

    def _rule(self, per_s: float, cold_s: float) -> _Rule:
        bounds = self._bounds
        return _Rule(
            decisions.cold_limit(per_s, bounds.cold_overage, bounds.cold_slack),
            max(cold_s, _MIN_EVACUATED_S),
        )


def never_evacuated(zone: str) -> core.Missing:
    """Returns unset: no zone has been evacuated."""
    del zone
    return core.Missing.UNSET


class ColdUpstreams:
    """Decides whether an upstream counts as cold; thread-safe.

    Does nothing for services that name no rate for cold upstreams.
    """

    def __init__(
        self,
        rules: ColdRules,
        catalog: _catalog.UpstreamCatalog,
        clock: core.Clock,
        announce_period_s: float,
        evacuation_ended_s: Callable[[str], float | core.Missing] = (
            never_evacuated
        ),
    ) -> None:
        """Creates an object without marks.

        Args:
            rules: Limits by service.
            catalog: Lists the upstreams.
            clock: Source of time.
            announce_period_s: Interval between announcements of an upstream,
                seconds.
            evacuation_ended_s: Returns `Clock.now` when this instance learned
                that the evacuation of a zone had ended; unset if there was none
                or it goes on.
        """
        self._rules = rules
        self._catalog = catalog
        self._clock = clock
        self._evacuation_ended_s = evacuation_ended_s
        self._owner_age_s = announce_period_s * _OWNER_PERIODS
        self._marks = decisions.ColdMarks(
            clock, announce_period_s * _VALID_PERIODS
        )

    def limit(
        self, upstream: membership.Upstream
    ) -> decisions.ColdLimit | core.Missing:
        """Returns the limit of an upstream, unlimited if it is warm."""
        rule = self._find_rule(upstream)
        if rule is None or isinstance(
            self._reason(upstream, rule), core.Missing
        ):
            return core.Missing.UNLIMITED
        return rule.limit

    def owner_limit(
        self, upstream: membership.Upstream, asked_per_s: float
    ) -> decisions.ColdLimit | core.Missing:
        """Returns the limit that the home of an upstream applies.

        Args:
            upstream: The upstream.
            asked_per_s: Rate that the asking instance applies, requests a
                second; 0 if it takes the upstream for warm.
        """
        own = self.limit(upstream)
        if not 0.0 < asked_per_s < math.inf:
            return own
        if isinstance(own, core.Missing):
            rule = self._find_rule(upstream)
            own = rule.limit if rule else decisions.ColdLimit(asked_per_s, 1.0)
        return own.lower(decisions.ColdLimit(asked_per_s, math.inf))

    def is_current_owner(self, announced_age_s: float) -> bool:
        """Whether a home may grant permits for a cold upstream.

        Args:
            announced_age_s: Time since the upstream announced itself there,
                seconds.
        """
        return announced_age_s <= self._owner_age_s

    def answered(self, upstream: membership.Upstream, cold_s: float) -> None:
        """Records that an answer said for how long the upstream is cold."""
        if cold_s > 0.0 and self._find_rule(upstream):
            self._marks.answered(upstream.name, upstream.incarnation, cold_s)

    def connection_broke(self, service: str, name: str) -> None:
        """Records a connection that did not open or broke."""
        if service not in self._rules.by_service():
            return
        upstream = self._catalog.find(name)
        if isinstance(upstream, membership.Upstream):
            self._marks.connection_broke(
                name, upstream.incarnation, upstream.sequence
            )

    def reasons(self) -> Mapping[str, ColdReason]:
        """Returns the cold upstreams by name, and why they count as cold."""
        return {
            upstream.name: reason
            for service, rule in self._rules.by_service().items()
            for upstream in self._catalog.for_service(service)
            if not isinstance(
                reason := self._reason(upstream, rule), core.Missing
            )
        }

    def prune(self) -> None:
        """Removes what is known of upstreams that no longer exist."""
        self._marks.keep_only(self._catalog.names())

    def _find_rule(self, upstream: membership.Upstream) -> _Rule | None:
        rules = self._rules.by_service()
        if not rules or isinstance(upstream.service, core.Missing):
            return None
        return rules.get(upstream.service)

    def _reason(
        self, upstream: membership.Upstream, rule: _Rule
    ) -> ColdReason | core.Missing:
        name, now_s = upstream.name, self._clock.now()
        if upstream.cold_until_s > now_s:
            return ColdReason.ANNOUNCED
        if self._catalog.is_retained(name):
            return ColdReason.RETAINED
        if self._marks.remaining_s(
            name, upstream.incarnation, upstream.sequence
        ):
            return ColdReason.SEEN
        ended_s = self._evacuation_ended_s(upstream.zone)
        if not isinstance(ended_s, core.Missing) and (
            now_s < ended_s + rule.evacuated_s
        ):
            return ColdReason.EVACUATED
        return core.Missing.UNSET
