"""Shares load, demand and evidence between instances as soft state."""

import math
from collections.abc import Callable, Sequence
from typing import TypeVar

import mulberry_core as core
import mulberry_entry as entry
import mulberry_membership as membership
from mulberry_daemon import _shared_counts

_T = TypeVar("_T")

_PERIOD_S = 1.0

#: Lower bound on the requests that an entry may run at once, whatever its
#: share of the upstreams' capacity.
_MIN_CAPACITY = 2


class SoftStateSync:
    """Publishes the state of this entry and merges that of the others."""

    def __init__(
        self,
        parts: entry.EntryComponents,
        address: str,
        wanted: Callable[[], Sequence[tuple[str, str, int]]],
    ) -> None:
        self._parts = parts
        self._wanted = wanted
        self._address = address
        self._leaving = False
        self._published_by_kind: dict[membership.RecordKind, bytes] = {}

    def start(self, timers: core.TimerService) -> None:
        """Publishes immediately, then once a second."""
        self.publish()
        timers.every(_PERIOD_S, self.publish, "sharing")

    def leave(self) -> None:
        """Marks this entry as leaving, which removes it from entry lists."""
        self._leaving = True
        self._publish_entry()

    def publish(self) -> None:
        """Publishes changed state and merges the state of other entries."""
        self._publish_entry()
        decision_set = self._parts.decisions
        self._publish(
            membership.RecordKind.DEMAND,
            _shared_counts.encode_demand(decision_set.team_limiter),
        )
        self._publish(
            membership.RecordKind.EVIDENCE,
            _shared_counts.encode_evidence(
                decision_set.version_judge, decision_set.model_chooser
            ),
        )
        self._merge()
        decision_set.admission.set_capacity(self._admission_capacity())

    def _publish_entry(self) -> None:
        admission = self._parts.decisions.admission
        limits = self._parts.limits
        state = entry.EntryState(
            address=self._address,
            zone=self._parts.zone,
            leaving=self._leaving,
            load=round(admission.running() / limits.max_streams, 1),
            running=admission.running(),
            wanted=tuple(self._wanted()),
        )
        self._publish(
            membership.RecordKind.ENTRY, state.encode(), self._leaving
        )

    def _publish(
        self,
        kind: membership.RecordKind,
        payload: bytes,
        urgent: bool = False,
    ) -> None:
        if self._published_by_kind.get(kind) == payload:
            return
        self._published_by_kind[kind] = payload
        self._parts.soft_state.publish(
            kind, self._parts.instance, payload, urgent=urgent
        )

    def _merge(self) -> None:
        decision_set = self._parts.decisions
        decision_set.team_limiter.merge(
            self._read_others(
                membership.RecordKind.DEMAND, _shared_counts.decode_demand
            )
        )
        for shared in self._read_others(
            membership.RecordKind.EVIDENCE, _shared_counts.decode_evidence
        ).values():
            decision_set.version_judge.merge(shared.process, shared.evidence)
            decision_set.model_chooser.merge(shared.process, shared.ratings)

    def _read_others(
        self,
        kind: membership.RecordKind,
        decode: Callable[[membership.Record], _T | core.Missing],
    ) -> dict[str, _T]:
        """Returns the readable records of the other entries by id."""
        decoded = membership.read_records(self._parts.soft_state, kind, decode)
        decoded.pop(self._parts.instance, None)
        return decoded

    def _admission_capacity(self) -> int:
        """Returns how many requests this entry may run at once.

        This is the capacity of the upstreams that the other entries leave
        unused, but at least an equal share. Requests then queue at the
        entries, which apply priorities, and not at the upstreams.
        """
        capacity = sum(
            upstream.capacity
            for upstream in self._parts.directory.upstreams().values()
            if upstream.state is membership.UpstreamState.READY
        )
        others = membership.read_entries(self._parts.soft_state)
        others.pop(self._parts.instance, None)
        share = math.ceil(capacity / (len(others) + 1))
        unused = capacity - sum(other.running for other in others.values())
        allowed = max(_MIN_CAPACITY, share, unused)
        return min(self._parts.limits.max_streams, allowed)
