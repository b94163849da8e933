"""Forms the first group of voters without a list of them.

All instances get the same seeds at the first start. The first seed in sorted
order is the only one that says who founds the group, so two groups cannot
form. It need not have a data folder itself.
"""

from __future__ import annotations

import json
from collections.abc import Mapping

from absl import logging

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import _settings

#: Between looks at who has a data folder, seconds.
PERIOD_S = 0.25
#: The list must not have changed for this long, seconds; instances start
#: within a fraction of a second of each other.
_SETTLED_S = 1.0


class Founding:
    """Publishes who can vote, and at the first start who founds the group."""

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
        self._candidates: Mapping[str, state.Candidate] = {}
        self._changed_s = clock.now()
        self._is_founder = settings.is_first_start and (
            settings.grpc_address == min(settings.seeds, default="")
        )
        self._subscription: core.Subscription | core.Missing = (
            core.Missing.UNSET
        )

    def start(self, timers: core.TimerService) -> None:
        """Publishes this instance's folder and watches the others'."""
        node = self._node
        if not isinstance(node, core.Missing):
            candidate = node.candidate
            self._soft_state.publish(
                membership.RecordKind.STORAGE,
                candidate.name,
                json.dumps([candidate.address, candidate.identity]).encode(),
                urgent=True,
            )
            node.keep_voters(self.candidates, self._settings.min_voters)
        self._subscription = timers.every(PERIOD_S, self.tick, "founding")

    def candidates(self) -> Mapping[str, state.Candidate]:
        """Returns the living instances with a data folder, by name."""
        found = {}
        records = self._soft_state.records(membership.RecordKind.STORAGE)
        for name, record in records.items():
            if self._soft_state.staleness_s(record.owner) > 0.0:
                continue
            address, identity = json.loads(record.payload)
            found[name] = state.Candidate(name, address, identity)
        return found

    def tick(self) -> None:
        """Learns of voters, and founds the group where that is due."""
        now_s = self._clock.now()
        candidates = self.candidates()
        if candidates != self._candidates:
            self._candidates = candidates
            self._changed_s = now_s
            self._client.caller.learn(
                candidate.address for candidate in candidates.values()
            )
        settled = now_s - self._changed_s >= _SETTLED_S
        enough = len(candidates) >= self._settings.min_voters
        if self._is_founder and settled and enough:
            self._name_founders(candidates)
        self._form()

    def _name_founders(self, candidates: Mapping[str, state.Candidate]) -> None:
        self._is_founder = False
        logging.info("founding the group of voters: %s", sorted(candidates))
        self._soft_state.publish(
            membership.RecordKind.FOUNDING,
            "voters",
            json.dumps(
                {name: c.address for name, c in candidates.items()}
            ).encode(),
            urgent=True,
        )

    def _form(self) -> None:
        node = self._node
        if isinstance(node, core.Missing):
            return
        record = self._soft_state.latest(
            membership.RecordKind.FOUNDING, "voters"
        )
        if isinstance(record, core.Missing) or record.removed:
            return
        founders = json.loads(record.payload)
        if self._settings.name in founders:
            node.form_with(founders)
