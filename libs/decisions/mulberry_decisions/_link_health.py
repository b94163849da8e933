"""Passive health of an instance's own links to upstreams."""

import dataclasses
import enum
import math
import threading
from collections.abc import Container, Iterable, Sequence

import mulberry_core as core

#: Time until the direct path to an upstream that was reached only over a relay
#: is tried again, seconds; it doubles up to the maximum. A link that fails
#: again before it has worked for the maximum keeps its doubled time.
INITIAL_RETRY_S = 1.0
MAX_RETRY_S = 4.0
#: How long a relay that failed is tried last, seconds.
RELAY_AVOIDED_S = 2.0
#: How long an outcome counts in `is_cut_off` and `vouches_for_links`, seconds.
WINDOW_S = 5.0


class PathOrder(enum.Enum):
    """Which path to an upstream is tried first."""

    #: The direct path; relays if it fails or is slow.
    DIRECT_FIRST = "direct_first"
    #: Relays; the direct path starts at the same time to see if it works again.
    RELAYS_AND_DIRECT = "relays_and_direct"
    #: Relays; the direct path only if they fail.
    RELAYS_FIRST = "relays_first"


@dataclasses.dataclass
class _LinkRecord:
    #: `Clock.now` of the latest outcomes, seconds.
    direct_opened_s: float = -math.inf
    direct_failed_s: float = -math.inf
    relay_opened_s: float = -math.inf
    #: Whether a relay reached the upstream where the direct path failed, and
    #: the direct path has not opened since.
    is_relayed: bool = False
    retry_s: float = INITIAL_RETRY_S
    #: When the direct path of a relayed upstream is tried again, seconds.
    retry_at_s: float = -math.inf
    #: Whether the direct path failed when it was last tried.
    has_failed: bool = False
    #: Whether it failed because nothing arrived in time.
    did_hang: bool = False

    @property
    def tried_s(self) -> float:
        """`Clock.now` when the direct path was last tried, seconds."""
        return max(self.direct_opened_s, self.direct_failed_s)


class LinkHealth:
    """Tracks the direct links to upstreams and the relays; thread-safe.

    A failed direct connection alone does not tell a lost upstream from a lost
    link. It is the link if a relay reached the upstream.
    """

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._record_by_name: dict[str, _LinkRecord] = {}
        #: `Clock.now` of the latest failure by relay, seconds.
        self._failed_s_by_relay: dict[str, float] = {}

    def choose_order(self, name: str) -> PathOrder:
        """Returns which path to try first for a new connection.

        `RELAYS_AND_DIRECT` is returned to one connection only for each time
        that the direct path is due.
        """
        now_s = self._clock.now()
        with self._lock:
            record = self._record_by_name.get(name)
            if record is None or not record.is_relayed:
                return PathOrder.DIRECT_FIRST
            if now_s < record.retry_at_s:
                return PathOrder.RELAYS_FIRST
            record.retry_s = min(MAX_RETRY_S, 2 * record.retry_s)
            record.retry_at_s = now_s + record.retry_s
            return PathOrder.RELAYS_AND_DIRECT

    def order_relays(self, relays: Iterable[str]) -> Sequence[str]:
        """Sorts relays that failed lately to the end, otherwise keeps them."""
        return sorted(relays, key=self.has_relay_failed)

    def has_relay_failed(self, relay: str) -> bool:
        """Whether a relay failed lately."""
        after_s = self._clock.now() - RELAY_AVOIDED_S
        with self._lock:
            return self._failed_s_by_relay.get(relay, -math.inf) > after_s

    def direct_opened(self, name: str) -> bool:
        """Records a direct connection.

        Returns:
            Whether relays came first for the upstream until now.
        """
        with self._lock:
            record = self._record_by_name.setdefault(name, _LinkRecord())
            record.direct_opened_s = self._clock.now()
            record.has_failed = record.did_hang = False
            was_relayed, record.is_relayed = record.is_relayed, False
            return was_relayed

    def direct_failed(self, name: str, did_hang: bool) -> None:
        """Records that the direct path did not open.

        Args:
            name: Name of the upstream.
            did_hang: Whether nothing arrived, as opposed to a refusal.
        """
        with self._lock:
            record = self._record_by_name.setdefault(name, _LinkRecord())
            record.direct_failed_s = self._clock.now()
            record.has_failed = True
            record.did_hang = did_hang

    def relay_opened(self, name: str, relay: str) -> bool:
        """Records a connection to an upstream over a relay.

        Returns:
            Whether relays come first for the upstream from now on, and did
            not until now.
        """
        now_s = self._clock.now()
        with self._lock:
            self._failed_s_by_relay.pop(relay, None)
            record = self._record_by_name.setdefault(name, _LinkRecord())
            record.relay_opened_s = now_s
            if record.is_relayed or not record.has_failed:
                return False
            record.is_relayed = True
            if now_s - record.direct_opened_s > MAX_RETRY_S:
                record.retry_s = INITIAL_RETRY_S
            record.retry_at_s = now_s + record.retry_s
            return True

    def relay_failed(self, relay: str) -> None:
        """Records a relay that did not answer, or opens no connections."""
        with self._lock:
            self._failed_s_by_relay[relay] = self._clock.now()

    def is_relayed(self, name: str) -> bool:
        """Whether only relays have reached the upstream lately."""
        with self._lock:
            record = self._record_by_name.get(name)
            return record is not None and record.is_relayed

    def is_cut_off(self) -> bool:
        """Whether this instance reaches most upstreams only over relays."""
        after_s = self._clock.now() - WINDOW_S
        with self._lock:
            reached = [
                record
                for record in self._record_by_name.values()
                if max(record.direct_opened_s, record.relay_opened_s) > after_s
            ]
            relayed = sum(record.is_relayed for record in reached)
        return 2 * relayed > len(reached)

    def is_known_down(self, name: str) -> bool:
        """Whether the direct path would only hang, as it did just now.

        A hanging path alone does not show that the link is at fault. It is if
        relays reached the upstream, or if the direct paths to all upstreams
        that were just tried hang, and these are two at least.
        """
        now_s = self._clock.now()
        after_s = now_s - INITIAL_RETRY_S
        with self._lock:
            record = self._record_by_name.get(name)
            if record is None or not record.did_hang:
                return False
            if record.is_relayed:
                return now_s < record.retry_at_s
            records = self._tried_after(after_s)
            return (
                record.tried_s > after_s
                and len(records) >= 2
                and all(other.did_hang for other in records)
            )

    def vouches_for_links(self, name: str) -> bool:
        """Whether a failure to reach an upstream cannot be due to the links.

        That is the case if most of the other upstreams that were tried lately
        were reached directly.

        Args:
            name: Name of the upstream that was not reached.
        """
        after_s = self._clock.now() - WINDOW_S
        with self._lock:
            records = self._tried_after(after_s, excluded=name)
        reached = sum(not record.has_failed for record in records)
        return 2 * reached > len(records)

    def keep_only(self, names: Container[str]) -> None:
        """Removes the state of all other upstreams, and outdated relays."""
        after_s = self._clock.now() - RELAY_AVOIDED_S
        with self._lock:
            for name in list(self._record_by_name):
                if name not in names:
                    del self._record_by_name[name]
            for relay, failed_s in list(self._failed_s_by_relay.items()):
                if failed_s <= after_s:
                    del self._failed_s_by_relay[relay]

    def _tried_after(
        self, after_s: float, excluded: str = ""
    ) -> list[_LinkRecord]:
        """Returns the records of upstreams directly connected after a time."""
        return [
            record
            for name, record in self._record_by_name.items()
            if name != excluded and record.tried_s > after_s
        ]
