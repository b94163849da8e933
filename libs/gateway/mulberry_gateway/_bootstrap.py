"""Bootstraps the first voter group without a configured list of voters.

All instances have the same seeds at the first start. Only the first seed in
sorted order publishes the initial voters, so two groups cannot form. That
instance needs no data directory itself.
"""

from __future__ import annotations

from collections.abc import Mapping

from absl import logging

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import _settings, _voter_records

#: Interval between checks for instances with a data directory, seconds.
PERIOD_S = 0.25
#: How long the list of candidates must be unchanged, seconds. Instances start
#: within a fraction of a second of each other.
_STABLE_S = 1.0


class ClusterBootstrap:
    """Publishes voter candidates and, at the first start, the first voters."""

    def __init__(
        self,
        settings: _settings.GatewaySettings,
        soft_state: membership.SoftState,
        node: state.StateNode | core.Missing,
        client: state.RemoteStateClient,
        clock: core.Clock,
    ) -> None:
        self._settings = settings
        self._soft_state = soft_state
        self._node = node
        self._client = client
        self._clock = clock
        self._candidates: Mapping[str, state.VoterCandidate] = {}
        self._changed_s = clock.now()
        self._is_bootstrap_instance = settings.is_first_start and (
            settings.grpc_address == min(settings.seeds, default="")
        )
        self._subscription: core.Subscription | core.Missing = (
            core.Missing.UNSET
        )

    def start(self, timers: core.TimerService) -> None:
        """Publishes this instance as a candidate and watches the others."""
        node = self._node
        if not isinstance(node, core.Missing):
            candidate = node.candidate
            self._soft_state.publish(
                membership.RecordKind.STORAGE,
                candidate.name,
                _voter_records.encode_candidate(candidate),
                urgent=True,
            )
            node.reconcile_voters(self.candidates, self._settings.min_voters)
        self._subscription = timers.every(PERIOD_S, self.tick, "founding")

    def candidates(self) -> Mapping[str, state.VoterCandidate]:
        """Returns the live instances with a data directory, by name."""
        return membership.read_records(
            self._soft_state,
            membership.RecordKind.STORAGE,
            _voter_records.decode_candidate,
            max_staleness_s=0.0,
        )

    def tick(self) -> None:
        """Updates the candidates and bootstraps the group when it is due."""
        now_s = self._clock.now()
        candidates = self.candidates()
        if candidates != self._candidates:
            self._candidates = candidates
            self._changed_s = now_s
            self._client.voter_client.add_addresses(
                candidate.address for candidate in candidates.values()
            )
        is_stable = now_s - self._changed_s >= _STABLE_S
        has_enough = len(candidates) >= self._settings.min_voters
        if self._is_bootstrap_instance and is_stable and has_enough:
            self._publish_initial_voters(candidates)
        self._form_group()

    def _publish_initial_voters(
        self, candidates: Mapping[str, state.VoterCandidate]
    ) -> None:
        self._is_bootstrap_instance = False
        logging.info("bootstrapping the voter group: %s", sorted(candidates))
        self._soft_state.publish(
            membership.RecordKind.FOUNDING,
            "voters",
            _voter_records.encode_voters(candidates),
            urgent=True,
        )

    def _form_group(self) -> None:
        node = self._node
        if isinstance(node, core.Missing):
            return
        record = self._soft_state.latest(
            membership.RecordKind.FOUNDING, "voters"
        )
        if isinstance(record, core.Missing) or record.removed:
            return
        initial_voters = _voter_records.decode_voters(record)
        if isinstance(initial_voters, core.Missing):
            self._soft_state.report_unreadable(record)
        elif self._settings.name in initial_voters:
            node.bootstrap_with(initial_voters)
