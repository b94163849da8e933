"""Which versions of a service a request may meet during a rollout."""

import collections
import threading
from collections.abc import Mapping, Sequence

import mulberry_core as core
import mulberry_membership as membership
import mulberry_state as state

#: Buckets that sessions are spread over for shares of a rollout.
_BUCKETS = 1_000
#: A version that appears beside others is held back for this long, so that
#: the order that brings it can arrive first. Seconds.
HOLD_BACK_S = 2.0


class Releases:
    """Filters upstreams by the rollouts of the replicated view."""

    def __init__(self, client: state.StateClient, clock: core.Clock) -> None:
        self._client = client
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
        if len(versions) < 2 and rollout is None:
            self._note(service, versions)
            return upstreams
        if rollout is None:
            wanted = self._settled(service, versions)
        else:
            wanted = _by_rollout(rollout, session, versions)
        return [
            upstream for upstream in upstreams if upstream.release in wanted
        ]

    def _note(self, service: str, versions: set[str]) -> Mapping[str, float]:
        now_s = self._clock.now()
        with self._lock:
            seen_s = self._seen_s[service]
            for version in versions:
                seen_s.setdefault(version, now_s)
            return dict(seen_s)

    def _settled(self, service: str, versions: set[str]) -> set[str]:
        """Returns the versions that were there before the newest came."""
        seen_s = self._note(service, versions)
        first_s = min(seen_s[version] for version in versions)
        now_s = self._clock.now()
        return {
            version
            for version in versions
            if seen_s[version] <= first_s + HOLD_BACK_S
            or now_s - seen_s[version] > HOLD_BACK_S
        }


def _by_rollout(
    rollout: state.ServiceRollout, session: str, versions: set[str]
) -> set[str]:
    others = versions - {rollout.target}
    if rollout.phase is state.RolloutPhase.ROLLED_BACK:
        return others
    if rollout.phase is state.RolloutPhase.COMPLETED:
        return {rollout.target} & versions or others
    if not others:
        return versions
    salt = f"{rollout.target}/{rollout.number}"
    if core.bucket(session, salt, _BUCKETS) < rollout.share * _BUCKETS:
        return {rollout.target} & versions or others
    return others
