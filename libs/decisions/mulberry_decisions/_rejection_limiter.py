"""Limits the rejections at upstreams that fail if they reject too much."""

import dataclasses
import math
import random
import threading
from collections.abc import Callable, Container, Mapping, Sequence

import mulberry_core as core
from mulberry_decisions import _placement

#: Longest interval between requests beyond the instance's share, seconds.
_MAX_INTERVAL_S = 60.0
#: Time for which a limit counts after the last answer or the last word of
#: another instance that confirmed it, seconds. An instance without slots of its
#: own may get no answer that shows the end of the limit.
_MAX_UNCONFIRMED_S = 10.0
#: Age up to which an answer counts for other instances, seconds. Requests of
#: one instance or another confirm a limit more often.
_MAX_CONFIRMED_AGE_S = 3.0
#: Time for which an answer without a limit outweighs other instances, seconds;
#: they learn of the end of a limit later.
_OWN_ANSWER_S = 5.0
#: Shortest pause in requests beyond the share after a rejection, seconds. An
#: overload lasts longer than the interval of a service with many upstreams.
_MIN_PAUSE_S = 5.0
#: Longest time without requests to an upstream after a rejection, seconds.
#: The instance's own slots there come free as soon as requests of other
#: instances end.
_MAX_HOLD_S = 2.0
#: Standard deviations between the expected rejections in a second and the
#: limit, if they are independent of each other.
_DEVIATIONS = 2.0
#: Longest delay announced to callers while all slots of this instance are in
#: use, seconds. Slots come free with each answer, and other instances may have
#: free ones.
_MAX_CALLER_DELAY_S = 1.0


@dataclasses.dataclass
class _ServiceState:
    #: Rejections in a second that each upstream withstands.
    limit: int
    #: Time of the last confirmation, and of the last answer that confirmed it.
    heard_s: float
    answered_s: float = -math.inf
    #: Upstreams that announced the limit.
    announced_by: set[str] = dataclasses.field(default_factory=set)
    #: Interval between requests beyond the share, seconds.
    interval_s: float = 0.0
    #: Earliest time of the next request beyond the share, seconds; unset until
    #: the first one is asked for.
    next_excess_s: float | core.Missing = core.Missing.UNSET
    held_until_s: dict[str, float] = dataclasses.field(default_factory=dict)


class RejectionLimiter:
    """Keeps the rejections of all instances together below a limit.

    Thread-safe. Some upstreams fail if they reject more than a number of
    requests in a second. Instances cannot react to each other's rejections
    within a second, so each one uses the slots that belong to it
    (`slot_shares`) and sends beyond them only at such intervals that even if
    all these requests were rejected, few seconds would exceed the limit.
    Waiting until the first rejection is too late where there are more instances
    than rejections allowed: all of them meet it at the same time.

    Services whose upstreams announce no limit are not restricted.
    """

    def __init__(
        self, clock: core.Clock, rng: random.Random | None = None
    ) -> None:
        self._clock = clock
        self._random = rng or random.Random()
        self._lock = threading.Lock()
        self._state_by_service: dict[str, _ServiceState] = {}
        #: Times of the last answers without a limit, seconds.
        self._unlimited_s: dict[str, float] = {}

    def answered(
        self, service: str, upstream: str, limit: int | core.Missing
    ) -> bool:
        """Records the limit in an answer of an upstream, unset for none.

        The limit applies to all upstreams of the service, and ends when one
        that announced it answers without it. An upstream that never announced
        it changes nothing, so that one which omits it does not end the limit
        for the others.

        Returns:
            Whether the limit of the service has begun or ended.
        """
        with self._lock:
            state = self._current(service)
            now_s = self._clock.now()
            if isinstance(limit, core.Missing):
                self._unlimited_s[service] = now_s
                if state is None or (
                    state.announced_by and upstream not in state.announced_by
                ):
                    return False
                del self._state_by_service[service]
                return True
            began = state is None
            if state is None:
                state = _ServiceState(limit, now_s)
                self._state_by_service[service] = state
            state.limit = limit
            state.heard_s = state.answered_s = now_s
            state.announced_by.add(upstream)
            return began

    def heard_elsewhere(self, service: str, limit: int) -> bool:
        """Records a limit that the upstreams announce to another instance.

        Returns:
            Whether the limit of the service has begun.
        """
        with self._lock:
            state = self._current(service)
            now_s = self._clock.now()
            if state is not None:
                state.heard_s = now_s
                if not state.announced_by:
                    state.limit = limit
                return False
            unlimited_s = self._unlimited_s.get(service, -math.inf)
            if now_s - unlimited_s <= _OWN_ANSWER_S:
                return False
            self._state_by_service[service] = _ServiceState(limit, now_s)
            return True

    def confirmed_limits(self) -> Mapping[str, int]:
        """Returns the limits by service that recent answers announce."""
        with self._lock:
            oldest_s = self._clock.now() - _MAX_CONFIRMED_AGE_S
            return {
                service: state.limit
                for service, state in self._state_by_service.items()
                if state.answered_s >= oldest_s
            }

    def rejected(self, service: str, upstream: str) -> None:
        """Records that an upstream without free slots rejected a request."""
        with self._lock:
            state = self._current(service)
            if state is None:
                return
            now_s = self._clock.now()
            resume_s = now_s + max(_MIN_PAUSE_S, state.interval_s)
            if (
                isinstance(state.next_excess_s, core.Missing)
                or state.next_excess_s < resume_s
            ):
                state.next_excess_s = resume_s
            state.held_until_s[upstream] = now_s + min(
                _MAX_HOLD_S, state.interval_s
            )

    def is_limited(self, service: str) -> bool:
        """Whether the upstreams of the service announce a limit."""
        with self._lock:
            return self._current(service) is not None

    def admit(
        self,
        service: str,
        candidates: Sequence[_placement.UpstreamCandidate],
        shares: Mapping[str, int],
        own_requests: Callable[[str], int],
        instances: int,
        upstreams: int,
    ) -> Sequence[_placement.UpstreamCandidate] | float:
        """Returns the candidates that the next request may be sent to.

        These are the ones with a free slot of this instance. If there are none
        and a request beyond the share is due, they are all others that are not
        full by their estimated load, and the request counts as sent.

        Args:
            service: Service of the request.
            candidates: Upstreams that may run the request.
            shares: Slots of this instance by upstream.
            own_requests: Returns the requests of this instance at an upstream.
            instances: Number of instances that share the upstreams.
            upstreams: Number of upstreams of the service.

        Returns:
            At least one candidate, or the seconds until the caller should try
            again.
        """
        now_s = self._clock.now()
        with self._lock:
            state = self._current(service)
            if state is None:
                return candidates
            state.interval_s = _interval_s(state.limit, instances, upstreams)
            available = [
                candidate
                for candidate in candidates
                if state.held_until_s.get(candidate.name, -math.inf) <= now_s
            ]
            own = [
                candidate
                for candidate in available
                if own_requests(candidate.name) < shares.get(candidate.name, 0)
            ]
            if own:
                return own
            if isinstance(state.next_excess_s, core.Missing):
                # Instances hear of a limit at the same time; without a random
                # part they would also exceed their shares at the same time.
                state.next_excess_s = (
                    now_s + state.interval_s * self._random.random()
                )
            wait_s = state.next_excess_s - now_s
            if wait_s > 0.0:
                return min(wait_s, _MAX_CALLER_DELAY_S)
            excess = [
                candidate
                for candidate in available
                if candidate.load < candidate.slots
            ]
            if not excess:
                return _MAX_CALLER_DELAY_S
            # Not shortened while all are accepted: the first moment of a burst
            # follows a calm.
            state.next_excess_s = now_s + state.interval_s
            return excess

    def keep_only(self, names: Container[str]) -> None:
        """Removes the state of all other upstreams."""
        with self._lock:
            for service in list(self._state_by_service):
                state = self._state_by_service[service]
                state.announced_by = {
                    n for n in state.announced_by if n in names
                }
                state.held_until_s = {
                    name: until_s
                    for name, until_s in state.held_until_s.items()
                    if name in names
                }
                if not state.announced_by:
                    del self._state_by_service[service]

    def _current(self, service: str) -> _ServiceState | None:
        """Returns the state of a service whose limit counts; needs the lock."""
        state = self._state_by_service.get(service)
        if state and state.heard_s + _MAX_UNCONFIRMED_S < self._clock.now():
            del self._state_by_service[service]
            return None
        return state


def _interval_s(limit: int, instances: int, upstreams: int) -> float:
    """Returns the interval between requests of an instance beyond its share.

    If all of them are rejected, each upstream rejects on average as many a
    second as leave `_DEVIATIONS` standard deviations below the limit.
    """
    root = (math.sqrt(_DEVIATIONS**2 + 4.0 * limit) - _DEVIATIONS) / 2.0
    rate_per_s = root**2 * upstreams
    return min(
        _MAX_INTERVAL_S, instances / rate_per_s if rate_per_s else math.inf
    )
