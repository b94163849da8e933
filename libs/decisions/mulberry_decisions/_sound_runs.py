"""Remembers which contents and prompt parts were recently sound."""

import collections
import threading

import mulberry_core as core

#: How long a sound run counts in favor of a subject, seconds.
_VALID_S = 60.0
#: Maximum number of subjects whose last sound run is remembered.
_MAX_SUBJECTS = 8_192


class SoundRuns:
    """Times of the last sound runs on this instance. Thread-safe."""

    def __init__(self, clock: core.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        #: `Clock.now` of the last sound run by digest, oldest first.
        self._last_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, digest: str) -> None:
        """Remembers that a run with a content or part was sound."""
        with self._lock:
            self._last_s[digest] = self._clock.now()
            self._last_s.move_to_end(digest)
            if len(self._last_s) > _MAX_SUBJECTS:
                self._last_s.popitem(last=False)

    def was_recent(self, digest: str) -> bool:
        """Whether a run with the subject was recently sound."""
        with self._lock:
            last_s = self._last_s.get(digest, float("-inf"))
        return self._clock.now() - last_s < _VALID_S
