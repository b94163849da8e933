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
        ranked = [
            (entry.zone != self._zone, random.random(), record.owner, entry)
            for record, entry in self._other_entries()
            if entry.relay_address and not entry.leaving and not entry.cut_off
        ]
        return [
            Relay(owner, entry.relay_address)
            for _, _, owner, entry in sorted(ranked, key=lambda row: row[:2])
        ]

    def _other_entries(
        self,
    ) -> Sequence[tuple[membership.Record, membership.EntryState]]:
        records = self._soft_state.records(membership.RecordKind.ENTRY)
        return [
            (record, membership.EntryState.decode(record.payload))
            for record in records.values()
            if record.owner != self._soft_state.owner
            and self._soft_state.staleness_s(record.owner) <= 0.0
        ]
