"""Lists the instances that may relay connections to upstreams."""

import abc
import dataclasses
import random
from collections.abc import Sequence

import mulberry_membership as membership


@dataclasses.dataclass(frozen=True)
class Relay:
    """An instance that relays connections."""

    name: str
    #: `IP:PORT`.
    address: str
    #: Availability zone, empty if it is not known.
    zone: str = ""


class RelaySource(abc.ABC):
    """Knows the instances that may relay connections."""

    @abc.abstractmethod
    def relays(self) -> Sequence[Relay]:
        """Returns the candidates, preferred ones first."""


class PublishedRelays(RelaySource):
    """Instances by their entry records.

    Those that are leaving, are cut off or have not been heard of lately are
    left out. Those of the instance's own zone come first, in random order.
    """

    def __init__(self, soft_state: membership.SoftState, zone: str) -> None:
        self._soft_state = soft_state
        self._zone = zone

    def relays(self) -> Sequence[Relay]:
        """Returns the candidates, preferred ones first."""
        entry_by_name = membership.read_entries(
            self._soft_state, max_staleness_s=0.0
        )
        ranked = [
            (entry.zone != self._zone, random.random(), name, entry)
            for name, entry in entry_by_name.items()
            if name != self._soft_state.owner
            and entry.relay_address
            and not entry.leaving
            and not entry.cut_off
        ]
        return [
            Relay(name, entry.relay_address, entry.zone)
            for _, _, name, entry in sorted(ranked, key=lambda row: row[:2])
        ]
