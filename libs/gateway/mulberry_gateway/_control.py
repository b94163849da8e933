"""Operations for operators and upstreams."""

import dataclasses
import time
from collections.abc import Callable, Mapping
from typing import TypeVar

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state

#: Timeout for committing a change, seconds. The caller waits about a second
#: before it asks another instance with the same version number.
_PROPOSE_TIMEOUT_S = 0.9
#: Timeout for a quorum to confirm the newest state, seconds.
_READ_TIMEOUT_S = 0.9

#: Longest wait until another instance has the departure of an upstream,
#: seconds. The upstream waits about a second for the confirmation before it
#: tells another instance.
_SHARE_TIMEOUT_S = 0.5

#: Proposals of one evacuation order. A further one is needed if the zone has
#: changed since the view of this instance, or meanwhile by another order.
_MAX_EVACUATION_PROPOSALS = 3

_R = TypeVar(
    "_R",
    state.RoutingReplaced,
    state.ServiceRolloutBegun,
    state.EvacuationChanged,
)


def _always(service: str | core.Missing) -> bool:
    del service
    return True


class Control:
    """Changes and reads the replicated state; accepts announcements."""

    def __init__(
        self,
        client: state.StateClient,
        directory: membership.UpstreamDirectory,
        soft_state: membership.SoftState,
        log: core.DecisionLog,
        counts_cold: Callable[[str | core.Missing], bool] = _always,
    ) -> None:
        """Creates the operations.

        Args:
            client: The replicated state.
            directory: Takes the announcements.
            soft_state: Records of all instances.
            log: Log of decisions.
            counts_cold: Whether it matters that an upstream of a service is
                cold; otherwise its records do not say so.
        """
        self._counts_cold = counts_cold
        self._client = client
        self._directory = directory
        self._soft_state = soft_state
        self._log = log

    def replace_routing(
        self, version: int, document: bytes, operator: str
    ) -> state.RoutingReplaced | core.Refusal:
        """Replaces the routing with a valid document unless it is older."""
        command = state.ReplaceRouting(
            state.new_command_id(), version, document, operator
        )
        result = self._propose(
            command,
            state.RoutingReplaced,
            "routing_not_replaced",
            version=version,
        )
        if not isinstance(result, core.Refusal):
            self._log.note(
                "routing_replaced",
                keep=True,
                version=version,
                in_force=result.version,
                changed=result.changed,
            )
        return result

    def read_routing(self) -> state.RoutingDocument | core.Refusal:
        """Returns the newest document, confirmed by a quorum."""
        if not self._client.refresh(_READ_TIMEOUT_S):
            return _quorum_refusal()
        document = self._client.view().routing
        if not document.version:
            return core.Refusal(
                core.ErrorKind.NO_RULES,
                core.RunState.NOT_RUN,
                "no routing document has been accepted yet",
            )
        return document

    def begin_rollout(
        self, service: str, target: str, duration_s: float
    ) -> state.ServiceRolloutBegun | core.Refusal:
        """Begins a rollout, or confirms one that was begun before."""
        command = state.BeginServiceRollout(
            state.new_command_id(), service, target, duration_s
        )
        result = self._propose(
            command,
            state.ServiceRolloutBegun,
            "rollout_not_begun",
            service=service,
        )
        if not isinstance(result, core.Refusal):
            self._log.note(
                "rollout_begun",
                keep=True,
                service=service,
                target=target,
                number=result.number,
            )
        return result

    def rollout(
        self, service: str
    ) -> state.ServiceRollout | core.Missing | core.Refusal:
        """Returns the newest rollout of a service, unset if there is none."""
        if not self._client.refresh(_READ_TIMEOUT_S):
            return _quorum_refusal()
        rollouts = self._client.view().service_rollouts_by_service
        return rollouts.get(service, core.Missing.UNSET)

    def change_evacuation(
        self, zone: str, is_evacuated: bool, operator: str
    ) -> state.EvacuationChanged | core.Refusal:
        """Starts or ends the evacuation of a zone.

        An order that has been carried out is confirmed again.

        Args:
            zone: Availability zone, which need not have upstreams.
            is_evacuated: False to end the evacuation.
            operator: Who gave the order, for the audit trail.
        """
        known = self._client.view().evacuations_by_zone.get(zone)
        after_number = known.number if known else 0
        until_s = time.monotonic() + _PROPOSE_TIMEOUT_S
        for _ in range(_MAX_EVACUATION_PROPOSALS):
            result = self._propose(
                state.ChangeEvacuation(
                    state.new_command_id(),
                    zone,
                    is_evacuated,
                    operator,
                    after_number,
                ),
                state.EvacuationChanged,
                "evacuation_not_changed",
                timeout_s=max(0.0, until_s - time.monotonic()),
                zone=zone,
                evacuated=is_evacuated,
            )
            if isinstance(result, core.Refusal):
                return result
            if result.is_evacuated is is_evacuated:
                self._log.note(
                    "evacuation_changed",
                    keep=True,
                    zone=zone,
                    evacuated=is_evacuated,
                    number=result.number,
                    changed=result.changed,
                )
                return result
            after_number = result.number
        return core.Refusal(
            core.ErrorKind.QUORUM_UNAVAILABLE,
            core.RunState.NOT_RUN,
            f"contrary orders for zone {zone} were carried out meanwhile",
        )

    def evacuations(
        self,
    ) -> Mapping[str, state.Evacuation] | core.Refusal:
        """Returns the newest evacuations by zone, confirmed by a quorum."""
        if not self._client.refresh(_READ_TIMEOUT_S):
            return _quorum_refusal()
        return self._client.view().evacuations_by_zone

    def announce(
        self, announcement: membership.Announcement
    ) -> membership.AnnounceOutcome:
        """Accepts the announcement of an upstream."""
        if announcement.cold_s and not self._counts_cold(announcement.service):
            announcement = dataclasses.replace(announcement, cold_s=0.0)
        outcome = self._directory.announce(announcement)
        if (
            announcement.state is membership.UpstreamState.LEAVING
            or outcome is not membership.AnnounceOutcome.ACCEPTED
        ):
            self._log.note(
                "announcement",
                name=announcement.name,
                state=announcement.state.value,
                incarnation=announcement.incarnation,
                sequence=announcement.sequence,
                outcome=outcome.value,
            )
        return outcome

    def wait_until_shared(self, name: str) -> bool:
        """Waits until another instance knows what an upstream has announced.

        A confirmed departure must reach all instances in time, so it must not
        depend on this one.

        Returns:
            Whether another instance knows it; if not, the upstream should tell
            one that can pass it on.
        """
        is_shared = self._soft_state.wait_until_shared(
            membership.RecordKind.UPSTREAM, name, _SHARE_TIMEOUT_S
        )
        if not is_shared:
            self._log.note("announcement", name=name, state="not_shared")
        return is_shared

    def deregister_upstream(self, name: str, incarnation: int) -> None:
        """Removes an upstream that leaves; earlier announcements are outdated.

        Args:
            name: Name of the upstream.
            incarnation: Incarnation that leaves; 0 for the newest known.
        """
        record = self._soft_state.latest(membership.RecordKind.UPSTREAM, name)
        if isinstance(record, core.Missing):
            if not incarnation:
                return
        elif not incarnation:
            incarnation = record.incarnation
        self._soft_state.put(
            membership.RecordKind.UPSTREAM,
            name,
            incarnation,
            membership.LEFT_SEQUENCE,
            b"",
            removed=True,
            urgent=True,
        )
        self._log.note(
            "announcement", name=name, state="left", incarnation=incarnation
        )

    def _propose(
        self,
        command: state.Command,
        expected: type[_R],
        failed_event: str,
        timeout_s: float = _PROPOSE_TIMEOUT_S,
        **fields: object,
    ) -> _R | core.Refusal:
        """Proposes a command; logs and returns a refusal if it fails."""
        result = self._client.propose(command, timeout_s)
        if isinstance(result, expected):
            return result
        if not isinstance(result, core.Refusal):
            result = core.Refusal(
                core.ErrorKind.INTERNAL,
                core.RunState.UNKNOWN,
                f"unexpected result {type(result).__name__}",
            )
        self._log.note(
            failed_event,
            keep=True,
            kind=result.kind.value,
            reason=result.reason,
            **fields,
        )
        return result


def _quorum_refusal() -> core.Refusal:
    return core.Refusal(
        core.ErrorKind.QUORUM_UNAVAILABLE,
        core.RunState.NOT_RUN,
        "no quorum of voters confirmed the newest state",
    )
