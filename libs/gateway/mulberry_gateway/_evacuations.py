"""The evacuated zones, as this instance knows them."""

import dataclasses
import threading
from collections.abc import Callable, Mapping, Sequence

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state

_NEVER_EVACUATED = state.Evacuation(0, False, 0.0)


@dataclasses.dataclass(frozen=True)
class _Known:
    #: Revision of the view that the other fields are from, 0 before the first.
    revision: int
    evacuation_by_zone: Mapping[str, state.Evacuation]
    #: `Clock.now` when this instance learned of the last end, seconds.
    ended_s_by_zone: Mapping[str, float]

    def find(self, zone: str) -> state.Evacuation:
        return self.evacuation_by_zone.get(zone, _NEVER_EVACUATED)

    def changed_zones(self, view: state.View) -> Sequence[str]:
        zones = self.evacuation_by_zone.keys() | view.evacuations_by_zone.keys()
        return sorted(
            zone
            for zone in zones
            if self.find(zone)
            != view.evacuations_by_zone.get(zone, _NEVER_EVACUATED)
        )


class Evacuations:
    """Knows which zones are evacuated, and since when they no longer are.

    Set by the callback for new views, which returns before the rules lease is
    extended: whoever checks the lease first reads a state that it vouches for.
    """

    def __init__(
        self,
        client: state.StateClient,
        clock: core.Clock,
        counters: core.Counters,
        log: core.DecisionLog,
        upstreams_by_service: Callable[
            [], Mapping[str, Sequence[membership.Upstream]]
        ] = dict,
    ) -> None:
        """Subscribes to the views of a client.

        Args:
            client: Knows the evacuations.
            clock: Source of time.
            counters: Shows the number of evacuated zones.
            log: Gets a line for each change.
            upstreams_by_service: Lists the upstreams, to log which services an
                evacuation leaves without any.
        """
        self._clock = clock
        self._counters = counters
        self._log = log
        self._upstreams_by_service = upstreams_by_service
        self._lock = threading.Lock()
        #: Replaced as a whole, so that `ended_s` is known as soon as
        #: `is_evacuated` is false.
        self._known = _Known(0, {}, {})
        counters.gauge("gateway.evacuated_zones", 0)
        client.subscribe(self.apply_view)
        self.apply_view(client.view())

    def is_evacuated(self, zone: str) -> bool:
        """Whether no request may be sent to the upstreams of a zone."""
        return self._known.find(zone).is_evacuated

    def ended_s(self, zone: str) -> float | core.Missing:
        """Returns the `Clock.now` when an evacuation's end became known here.

        Unset if this process has learned of no end of an evacuation of the
        zone; one that ended before its first view does not count.
        """
        return self._known.ended_s_by_zone.get(zone, core.Missing.UNSET)

    def apply_view(self, view: state.View) -> None:
        """Applies the evacuations of a view unless a later one is known."""
        with self._lock:
            known = self._known
            if view.revision <= known.revision:
                return
            changed = known.changed_zones(view)
            self._known = _Known(
                view.revision,
                view.evacuations_by_zone,
                {**known.ended_s_by_zone, **self._ends(changed, view)},
            )
        if changed:
            self._report(changed, view, is_first=not known.revision)

    def _ends(
        self, changed: Sequence[str], view: state.View
    ) -> Mapping[str, float]:
        """Returns the present time for each zone whose evacuation ended.

        Between two views of this instance, an evacuation may have begun and
        ended.
        """
        if not self._known.revision:
            return {}
        now_s = self._clock.now()
        return {
            zone: now_s
            for zone in changed
            if not view.evacuations_by_zone.get(
                zone, _NEVER_EVACUATED
            ).is_evacuated
        }

    def _report(
        self, changed: Sequence[str], view: state.View, is_first: bool
    ) -> None:
        evacuated = {
            zone
            for zone, evacuation in view.evacuations_by_zone.items()
            if evacuation.is_evacuated
        }
        self._counters.gauge("gateway.evacuated_zones", len(evacuated))
        unserved = _services_within(evacuated, self._upstreams_by_service())
        for zone in changed:
            if is_first and zone not in evacuated:
                continue
            self._log.note(
                "evacuation",
                keep=True,
                zone=zone,
                evacuated=zone in evacuated,
                number=view.evacuations_by_zone.get(
                    zone, _NEVER_EVACUATED
                ).number,
                revision=view.revision,
                services_without_upstreams=unserved,
            )


def _services_within(
    zones: set[str],
    upstreams_by_service: Mapping[str, Sequence[membership.Upstream]],
) -> list[str]:
    """Returns the services whose ready upstreams are all in these zones."""
    ready_zones_by_service = {
        service: {
            upstream.zone
            for upstream in upstreams
            if upstream.state is membership.UpstreamState.READY
        }
        for service, upstreams in upstreams_by_service.items()
    }
    return sorted(
        service
        for service, ready_zones in ready_zones_by_service.items()
        if ready_zones and ready_zones <= zones
    )
