"""How long a prompt part is blocked, and how much of a route that refuses."""

import collections
import threading
from collections.abc import Iterable

#: Duration of the first block of a part, seconds.
_FIRST_BLOCK_S = 20.0
#: Factor of the duration for each trial that has failed.
_BACKOFF_FACTOR = 4.0
#: The same for a part of most requests on its route. Such a block is expensive
#: if it is wrong, so the first trial comes early.
_FIRST_BROAD_BLOCK_S = 2.0
_BROAD_BACKOFF_FACTOR = 8.0
#: Longest duration of a block, seconds.
_MAX_BLOCK_S = 3_600.0

#: Number of recent requests of each route that are compared.
_RECENT_REQUESTS = 16
#: A part is broad only if this many requests of the route have come.
_MIN_REQUESTS = 6
#: Share of the recent requests from which a part is broad.
_BROAD_SHARE = 0.75


def part_block_duration_s(failed_trials: int, is_broad: bool) -> float:
    """Returns how long a part is blocked after its last crash, seconds.

    When a block has lasted for this time, one run tests it: a sound part is
    then free again, and one that crashes upstreams costs a single one.

    Args:
        failed_trials: Runs that tested the block and crashed their upstream.
        is_broad: Whether the block refuses most requests of a route.
    """
    first_s, factor = (
        (_FIRST_BROAD_BLOCK_S, _BROAD_BACKOFF_FACTOR)
        if is_broad
        else (_FIRST_BLOCK_S, _BACKOFF_FACTOR)
    )
    return min(_MAX_BLOCK_S, first_s * factor ** min(failed_trials, 10))


class PartReach:
    """Which parts are in most of the recent requests of a route.

    Answers a route whose requests all begin with the same part: if that part is
    blocked wrongly, the route is down. Thread-safe.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: Parts of the recent requests by content, oldest first, by route.
        self._recent_by_route: dict[
            str, collections.OrderedDict[str, frozenset[str]]
        ] = {}

    def add(self, route: str, content: str, parts: Iterable[str]) -> None:
        """Adds a request; one with a recent content is no further one.

        Args:
            route: Name of the route.
            content: Digest of the content. Callers repeat what is refused.
            parts: Digests of the prompt parts.
        """
        with self._lock:
            recent = self._recent_by_route.setdefault(
                route, collections.OrderedDict()
            )
            recent[content] = frozenset(parts)
            recent.move_to_end(content)
            if len(recent) > _RECENT_REQUESTS:
                recent.popitem(last=False)

    def is_broad(self, route: str, part: str) -> bool:
        """Returns whether most recent requests of the route have the part."""
        with self._lock:
            recent = list(self._recent_by_route.get(route, {}).values())
        count = sum(part in parts for parts in recent)
        return len(recent) >= _MIN_REQUESTS and count >= _BROAD_SHARE * len(
            recent
        )
