"""Filters upstreams by the versions that a session may use."""

import collections
import threading
from collections.abc import Mapping, Sequence

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import _rollout_controller

#: Hash buckets of sessions, for the share of a rollout.
_BUCKETS = 1_000
#: A new version beside others gets no requests for this long, seconds, so that
#: the command that starts its rollout can arrive first.
HOLD_BACK_S = 2.0
#: Margin added to the session's idle time, seconds, for pins to reach the other
#: instances.
_PIN_MARGIN_S = 0.5
#: How long a pin lasts, seconds: covers a long request and the idle time after
#: it. Publishing a pin costs a record on every instance, so the pin of an
#: active session is not renewed with each request.
_PIN_TTL_S = 30.0
#: Age from which a further request renews the pin, seconds.
_PIN_RENEWAL_AGE_S = 6.0


class RolloutFilter:
    """Filters upstreams by the rollouts of the replicated state.

    In the first half of a rollout only idle sessions move to the target
    version. Sessions within the target's share that were not idle are pinned
    to the other versions; instances publish these pins as short-lived records.

    Only the replicated state can roll a version back, so an instance whose view
    is too old sends all sessions to the other versions.
    """

    def __init__(
        self,
        client: state.StateClient,
        rollout_controller: _rollout_controller.RolloutController,
        soft_state: membership.SoftState,
        session_s: float,
        max_view_age_s: float,
        clock: core.Clock,
    ) -> None:
        """Creates a filter.

        Args:
            client: Knows the rollouts.
            rollout_controller: Knows for how long a rollout has been running.
            soft_state: Shares the pins with the other instances.
            session_s: Time after which a session without requests is idle,
                seconds.
            max_view_age_s: Age of the view up to which the target of a running
                rollout gets requests, seconds.
            clock: Source of time.
        """
        self._client = client
        self._watch = rollout_controller
        self._soft_state = soft_state
        self._session_s = session_s
        self._max_view_age_s = max_view_age_s
        self._clock = clock
        self._lock = threading.Lock()
        #: `Clock.now` when each version was first seen, by service.
        self._first_seen_s: dict[str, dict[str, float]] = (
            collections.defaultdict(dict)
        )

    def filter(
        self,
        service: str,
        session: str,
        upstreams: Sequence[membership.Upstream],
    ) -> Sequence[membership.Upstream]:
        """Returns the upstreams whose version the session may use.

        Args:
            service: Name of the service.
            session: Session id; all its requests use the same version.
            upstreams: Ready upstreams of the service.
        """
        versions = {upstream.release for upstream in upstreams}
        rollout = self._client.view().service_rollouts_by_service.get(service)
        if rollout is None:
            if len(versions) < 2:
                self._record_first_seen(service, versions)
                return upstreams
            allowed = self._established_versions(service, versions)
        elif rollout.phase is state.RolloutPhase.RUNNING:
            allowed = self._versions_during_rollout(
                service, session, rollout, versions
            )
        else:
            allowed = _versions_after_rollout(rollout, versions)
        return [
            upstream for upstream in upstreams if upstream.release in allowed
        ]

    def request_ended(self, service: str, session: str) -> None:
        """Renews the pin of a session if it expires within the idle time."""
        running = self._watch.running(service)
        if running is None or not session:
            return
        rollout, age_s = running
        if decisions.may_change_version(age_s, rollout.duration_s):
            return
        pin_id = _pin_id(service, rollout, session)
        if self._is_pinned(pin_id) and self._pin_age_s(pin_id) > (
            _PIN_TTL_S - self._session_s - _PIN_MARGIN_S
        ):
            self._publish_pin(pin_id)

    def _versions_during_rollout(
        self,
        service: str,
        session: str,
        rollout: state.ServiceRollout,
        versions: set[str],
    ) -> set[str]:
        others = versions - {rollout.target}
        target = versions & {rollout.target}
        if not others or not target:
            return versions
        if self._client.view_age_s() > self._max_view_age_s:
            return others
        salt = f"{service}/{rollout.target}/{rollout.number}"
        point = core.bucket(session, salt, _BUCKETS) / _BUCKETS
        if point >= rollout.share:
            return others
        running = self._watch.running(service)
        if running is None or decisions.may_change_version(
            running[1], rollout.duration_s
        ):
            return target
        return target if self._may_move(service, session, running) else others

    def _may_move(
        self,
        service: str,
        session: str,
        running: tuple[state.ServiceRollout, float],
    ) -> bool:
        """Whether the session was idle and may move to the target.

        Only sessions that stay are pinned. After the idle time, every session
        with requests before the rollout is either pinned or idle, so sessions
        without a pin move.
        """
        rollout, age_s = running
        pin_id = _pin_id(service, rollout, session)
        is_pinned = self._is_pinned(pin_id)
        if not is_pinned and age_s > self._session_s + 2 * _PIN_MARGIN_S:
            return True
        if not is_pinned or self._pin_age_s(pin_id) > _PIN_RENEWAL_AGE_S:
            self._publish_pin(pin_id)
        return False

    def _is_pinned(self, pin_id: str) -> bool:
        record = self._soft_state.latest(membership.RecordKind.SESSION, pin_id)
        return not isinstance(record, core.Missing) and not record.removed

    def _pin_age_s(self, pin_id: str) -> float:
        return self._soft_state.age_s(membership.RecordKind.SESSION, pin_id)

    def _publish_pin(self, pin_id: str) -> None:
        self._soft_state.publish(
            membership.RecordKind.SESSION,
            pin_id,
            b"",
            ttl_s=_PIN_TTL_S,
            urgent=True,
        )

    def _record_first_seen(
        self, service: str, versions: set[str]
    ) -> Mapping[str, float]:
        now_s = self._clock.now()
        with self._lock:
            first_seen_s = self._first_seen_s[service]
            for version in versions:
                first_seen_s.setdefault(version, now_s)
            return dict(first_seen_s)

    def _established_versions(
        self, service: str, versions: set[str]
    ) -> set[str]:
        """Returns the versions that are no longer held back."""
        first_seen_s = self._record_first_seen(service, versions)
        first_s = min(first_seen_s[version] for version in versions)
        now_s = self._clock.now()
        return {
            version
            for version in versions
            if first_seen_s[version] <= first_s + HOLD_BACK_S
            or now_s - first_seen_s[version] > HOLD_BACK_S
        }


def _versions_after_rollout(
    rollout: state.ServiceRollout, versions: set[str]
) -> set[str]:
    others = versions - {rollout.target}
    if rollout.phase is state.RolloutPhase.ROLLED_BACK:
        return others
    return {rollout.target} & versions or others


def _pin_id(service: str, rollout: state.ServiceRollout, session: str) -> str:
    """Returns the id of a pin's record.

    A caller names the session, and other instances leave out records whose id
    is too long. Earlier versions share the ids of all others.
    """
    pin_id = f"{service}/{rollout.number}/{session}"
    if len(pin_id) > membership.MAX_NAME_LENGTH:
        return _pin_id(service, rollout, core.digest128(session.encode()))
    return pin_id
