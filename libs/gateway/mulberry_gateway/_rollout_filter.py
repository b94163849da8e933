"""Which versions of a service a request may meet during a rollout."""

import collections
import threading
from collections.abc import Mapping, Sequence

import mulberry_core as core
import mulberry_decisions as decisions
import mulberry_membership as membership
import mulberry_state as state
from mulberry_gateway import _rollout_controller

#: Buckets that sessions are spread over for shares of a rollout.
_BUCKETS = 1_000
#: A version that appears beside others is held back for this long, so that
#: the order that brings it can arrive first. Seconds.
HOLD_BACK_S = 2.0
#: How long a note on a session is ahead of the rule's time, seconds: notes
#: need a moment to reach the other instances.
_NOTE_MARGIN_S = 0.5
#: How long a note lasts, seconds: a long request and the rule's time after it.
#: Every note costs each instance a record, so a busy session's is not renewed
#: with each request.
_NOTE_S = 30.0
#: Age from which another request renews the note, seconds.
_RENEW_NOTE_S = 6.0


class RolloutFilter:
    """Filters upstreams by the rollouts of the replicated view.

    In the first half of a rollout only sessions that were idle move to the
    target. Instances tell each other, by short-lived notes, which sessions
    of the small share that the target may get were not idle.
    """

    def __init__(
        self,
        client: state.StateClient,
        rollout_controller: _rollout_controller.RolloutController,
        soft_state: membership.SoftState,
        session_s: float,
        clock: core.Clock,
    ) -> None:
        self._client = client
        self._watch = rollout_controller
        self._soft_state = soft_state
        self._session_s = session_s
        self._clock = clock
        self._lock = threading.Lock()
        #: `Clock.now` when each version was first seen, by service.
        self._seen_s: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )

    def filter(
        self,
        service: str,
        session: str,
        upstreams: Sequence[membership.Upstream],
    ) -> Sequence[membership.Upstream]:
        """Returns the upstreams whose version the request may meet.

        Args:
            service: Name of the service.
            session: All requests of a session meet the same version.
            upstreams: Ready upstreams of the service.
        """
        versions = {upstream.release for upstream in upstreams}
        rollout = self._client.view().service_rollouts_by_service.get(service)
        if rollout is None:
            if len(versions) < 2:
                self._note_seen(service, versions)
                return upstreams
            wanted = self._settled(service, versions)
        elif rollout.phase is state.RolloutPhase.RUNNING:
            wanted = self._running(service, session, rollout, versions)
        else:
            wanted = _ended(rollout, versions)
        return [
            upstream for upstream in upstreams if upstream.release in wanted
        ]

    def request_ended(self, service: str, session: str) -> None:
        """Keeps the note on a session for the rule's time from now on."""
        running = self._watch.running(service)
        if running is None or not session:
            return
        rollout, age_s = running
        if decisions.may_change_version(age_s, rollout.duration_s):
            return
        note_id = _note_id(service, rollout, session)
        if self._is_noted(note_id) and self._note_age_s(note_id) > (
            _NOTE_S - self._session_s - _NOTE_MARGIN_S
        ):
            self._write_note(note_id)

    def _running(
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
        salt = f"{service}/{rollout.target}/{rollout.number}"
        point = core.bucket(session, salt, _BUCKETS) / _BUCKETS
        if point >= rollout.share:
            return others
        running = self._watch.running(service)
        if running is None or decisions.may_change_version(
            running[1], rollout.duration_s
        ):
            return target
        return target if self._may_begin(service, session, running) else others

    def _may_begin(
        self,
        service: str,
        session: str,
        running: tuple[state.ServiceRollout, float],
    ) -> bool:
        """Whether the session was idle before its first request of now.

        Only sessions that stay are noted. Once all that had requests before
        the rollout are either noted or idle, the others move.
        """
        rollout, age_s = running
        note_id = _note_id(service, rollout, session)
        is_noted = self._is_noted(note_id)
        if not is_noted and age_s > self._session_s + 2 * _NOTE_MARGIN_S:
            return True
        if not is_noted or self._note_age_s(note_id) > _RENEW_NOTE_S:
            self._write_note(note_id)
        return False

    def _is_noted(self, note_id: str) -> bool:
        record = self._soft_state.latest(membership.RecordKind.SESSION, note_id)
        return not isinstance(record, core.Missing) and not record.removed

    def _note_age_s(self, note_id: str) -> float:
        return self._soft_state.age_s(membership.RecordKind.SESSION, note_id)

    def _write_note(self, note_id: str) -> None:
        self._soft_state.publish(
            membership.RecordKind.SESSION,
            note_id,
            b"",
            ttl_s=_NOTE_S,
            urgent=True,
        )

    def _note_seen(
        self, service: str, versions: set[str]
    ) -> Mapping[str, float]:
        now_s = self._clock.now()
        with self._lock:
            seen_s = self._seen_s[service]
            for version in versions:
                seen_s.setdefault(version, now_s)
            return dict(seen_s)

    def _settled(self, service: str, versions: set[str]) -> set[str]:
        """Returns the versions that were there before the newest came."""
        seen_s = self._note_seen(service, versions)
        first_s = min(seen_s[version] for version in versions)
        now_s = self._clock.now()
        return {
            version
            for version in versions
            if seen_s[version] <= first_s + HOLD_BACK_S
            or now_s - seen_s[version] > HOLD_BACK_S
        }


def _ended(rollout: state.ServiceRollout, versions: set[str]) -> set[str]:
    others = versions - {rollout.target}
    if rollout.phase is state.RolloutPhase.ROLLED_BACK:
        return others
    return {rollout.target} & versions or others


def _note_id(service: str, rollout: state.ServiceRollout, session: str) -> str:
    return f"{service}/{rollout.number}/{session}"
