"""Index of the prompt prefixes in the caches of upstreams."""

import collections
from collections.abc import Sequence

from mulberry_decisions import _upstreams

#: Prefix digests kept for each upstream; the least recently used are evicted.
_MAX_DIGESTS = 4096
#: Bound for all upstreams together, about 8 MB.
_MAX_TOTAL_DIGESTS = 20_000
#: Confidence in a digest after a gap in the events, since a lost event may have
#: dropped it.
_CONFIDENCE_AFTER_GAP = 0.5


class _Cache:
    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sequence = -1
        #: Number of gaps in the events so far.
        self.gaps = 0
        #: Value of `gaps` when each digest was last used, oldest first.
        self.digests: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )


class PrefixIndex:
    """Prefix caches of all upstreams, from events and from own requests.

    Not thread-safe; callers synchronize access.
    """

    def __init__(self) -> None:
        self._caches: dict[str, _Cache] = {}
        self._holders: dict[str, set[str]] = {}

    def holders(self, digest: str) -> set[str]:
        """Returns the names of upstreams that probably cache the prefix."""
        return self._holders.get(digest, set())

    def cached_share(
        self, upstream: str, incarnation: int, prefixes: Sequence[str]
    ) -> float:
        """Returns the expected cached share of the prompt, 0 to 1."""
        cache = self._caches.get(upstream)
        if cache is None or cache.incarnation != incarnation:
            return 0.0
        for index in range(len(prefixes) - 1, -1, -1):
            gaps = cache.digests.get(prefixes[index])
            if gaps is not None:
                confidence = _CONFIDENCE_AFTER_GAP ** (cache.gaps - gaps)
                return confidence * (index + 1) / len(prefixes)
        return 0.0

    def record_request(
        self, upstream: str, incarnation: int, prefixes: Sequence[str]
    ) -> None:
        """Records that a request with these prefixes was sent."""
        cache = self._cache(upstream, incarnation)
        if cache.incarnation == incarnation:
            self._store(upstream, cache, prefixes)

    def apply(self, event: _upstreams.CacheEvent) -> None:
        """Applies an event; late ones are ignored and gaps are counted."""
        cache = self._cache(event.upstream, event.incarnation)
        is_late = event.sequence <= cache.sequence
        if cache.incarnation != event.incarnation or is_late:
            return
        if cache.sequence >= 0 and event.sequence > cache.sequence + 1:
            cache.gaps += 1
        cache.sequence = event.sequence
        if event.cleared:
            self._drop(event.upstream, cache, tuple(cache.digests))
        self._drop(event.upstream, cache, event.dropped)
        self._store(event.upstream, cache, event.stored)

    def _cache(self, upstream: str, incarnation: int) -> _Cache:
        """Returns the cache; it is emptied for a newer incarnation."""
        cache = self._caches.get(upstream)
        if cache is None or cache.incarnation < incarnation:
            if cache is not None:
                self._drop(upstream, cache, tuple(cache.digests))
            cache = self._caches[upstream] = _Cache(incarnation)
        return cache

    def _store(
        self, upstream: str, cache: _Cache, digests: Sequence[str]
    ) -> None:
        for digest in digests:
            cache.digests[digest] = cache.gaps
            cache.digests.move_to_end(digest)
            self._holders.setdefault(digest, set()).add(upstream)
        bound = min(_MAX_DIGESTS, _MAX_TOTAL_DIGESTS // len(self._caches))
        while len(cache.digests) > bound:
            self._drop(upstream, cache, (next(iter(cache.digests)),))

    def _drop(
        self, upstream: str, cache: _Cache, digests: Sequence[str]
    ) -> None:
        for digest in digests:
            if cache.digests.pop(digest, None) is None:
                continue
            holders = self._holders[digest]
            holders.discard(upstream)
            if not holders:
                del self._holders[digest]
