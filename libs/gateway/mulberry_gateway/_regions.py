"""Which zones and relays the allowed regions of a request leave."""

from collections.abc import Callable, Mapping

import mulberry_core as core
from mulberry_gateway import _relays

#: Regions that a request may be sent to, or `core.Missing.UNLIMITED`.
AllowedRegions = frozenset[str] | core.Missing


class RegionPolicy:
    """Compares zones with allowed regions.

    A zone that is not listed in the settings is in no allowed region.
    """

    def __init__(
        self,
        region_by_zone: Mapping[str, str],
        zone: str,
        region: str = "",
    ) -> None:
        """Creates a policy.

        Args:
            region_by_zone: Region of each zone that has one.
            zone: Availability zone of this instance.
            region: Region of this instance, used if its zone is not listed;
                empty if it is not known.
        """
        self._region_by_zone = region_by_zone
        self._zone = zone
        self._region = region_by_zone.get(zone, region)

    def permits(self, allowed: AllowedRegions, zone: str) -> bool:
        """Whether a request may be sent to the upstreams of a zone."""
        return (
            isinstance(allowed, core.Missing)
            or self._region_by_zone.get(zone) in allowed
        )

    def relay_filter(
        self, allowed: AllowedRegions
    ) -> Callable[[_relays.Relay], bool]:
        """Returns which relays may pass on the body of a request.

        Those in allowed regions and, since the body has passed through it
        already, those in the region of this instance.
        """
        return lambda relay: (
            self.permits(allowed, relay.zone) or self._is_near(relay.zone)
        )

    def _is_near(self, zone: str) -> bool:
        """Whether a zone is in the region of this instance."""
        return zone == self._zone or (
            self._region != ""
            and self._region_by_zone.get(zone) == self._region
        )
