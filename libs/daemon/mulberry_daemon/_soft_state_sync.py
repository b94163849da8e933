"""Shares load, demand and evidence between instances as soft state."""

import dataclasses
import json
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_entry as entry
import mulberry_membership as membership

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
            _encode_demand(decision_set.team_limiter),
        )
        self._publish(
            membership.RecordKind.EVIDENCE,
            _encode_evidence(
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
            {
                record.id: _decode_demand(record.payload)
                for record in self._other_records(membership.RecordKind.DEMAND)
            }
        )
        for record in self._other_records(membership.RecordKind.EVIDENCE):
            evidence, ratings = _decode_evidence(record.payload)
            # Each process of an instance counts from zero.
            incarnation = f"{record.id}/{record.epoch}"
            decision_set.version_judge.merge(incarnation, evidence)
            decision_set.model_chooser.merge(incarnation, ratings)

    def _other_records(
        self, kind: membership.RecordKind
    ) -> Iterable[membership.Record]:
        records = self._parts.soft_state.records(kind)
        return [
            record
            for name, record in records.items()
            if name != self._parts.instance
        ]

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


def _encode_demand(limiter: decisions.TeamLimiter) -> bytes:
    return json.dumps(
        {
            team: [round(demand.requests_per_s, 1), round(demand.tokens_per_s)]
            for team, demand in limiter.demand().items()
        }
    ).encode()


def _decode_demand(payload: bytes) -> Mapping[str, decisions.Demand]:
    return {
        team: decisions.Demand(requests_per_s, tokens_per_s)
        for team, (requests_per_s, tokens_per_s) in json.loads(payload).items()
    }


def _encode_evidence(
    judge: decisions.VersionJudge, chooser: decisions.ModelChooser
) -> bytes:
    evidence = [
        [
            dataclasses.astuple(key),
            dataclasses.astuple(series.now),
            [
                [span, dataclasses.astuple(counts)]
                for span, counts in series.before_by_span.items()
            ],
        ]
        for key, series in judge.export().items()
    ]
    ratings = [
        [dataclasses.astuple(key), dataclasses.astuple(counts)]
        for key, counts in chooser.export().items()
    ]
    return json.dumps({"evidence": evidence, "ratings": ratings}).encode()


def _decode_evidence(
    payload: bytes,
) -> tuple[decisions.Evidence, decisions.RatingExport]:
    content = json.loads(payload)
    evidence = {
        decisions.EvidenceKey(*key): decisions.EvidenceSeries(
            decisions.EvidenceCounts(*now),
            {
                span: decisions.EvidenceCounts(*counts)
                for span, counts in before
            },
        )
        for key, now, before in content["evidence"]
    }
    ratings = {
        decisions.RatingKey(*key): decisions.RatingCounts(*counts)
        for key, counts in content["ratings"]
    }
    return evidence, ratings
