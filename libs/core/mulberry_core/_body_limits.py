"""How much memory bodies that are kept whole may take."""

import threading

#: Part of each body that does not count towards the bound on all, so that
#: bodies of the usual size never wait for, or fail because of, large ones.
_UNCOUNTED_BYTES = 65_536


class BodyLimits:
    """Counts the bodies that are kept whole; safe for many threads."""

    def __init__(self, max_body_bytes: int, max_total_bytes: int) -> None:
        """Creates limits that nothing is counted against yet.

        Args:
            max_body_bytes: Size of one body.
            max_total_bytes: Sum over all bodies at one time, without a free part of
                64 KiB of each.
        """
        self._max_body_bytes = max_body_bytes
        self._max_total_bytes = max_total_bytes
        self._lock = threading.Lock()
        self._held_bytes = 0
        self._peak_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes held now, without the free part of each body."""
        with self._lock:
            return self._held_bytes

    @property
    def peak_bytes(self) -> int:
        """Most bytes that were held at one time."""
        with self._lock:
            return self._peak_bytes

    def reserve(self, old_bytes: int, new_bytes: int) -> bool:
        """Lets a body grow; returns whether it may.

        Args:
            old_bytes: Size that was granted before, 0 at first.
            new_bytes: Size of what has arrived.
        """
        if new_bytes > self._max_body_bytes:
            return False
        added_bytes = _counted_bytes(new_bytes) - _counted_bytes(old_bytes)
        with self._lock:
            if (
                added_bytes > 0
                and self._held_bytes + added_bytes > self._max_total_bytes
            ):
                return False
            self._held_bytes += added_bytes
            self._peak_bytes = max(self._peak_bytes, self._held_bytes)
        return True

    def release(self, size_bytes: int) -> None:
        """Gives back what was granted to a body."""
        with self._lock:
            self._held_bytes -= _counted_bytes(size_bytes)


def _counted_bytes(size_bytes: int) -> int:
    return max(0, size_bytes - _UNCOUNTED_BYTES)
