"""Bounds the memory of buffered message bodies."""

import threading

#: Bytes of each body that do not count towards the total, so that large
#: bodies never delay or refuse bodies of the usual size.
_UNCOUNTED_BYTES = 65_536


class BodyLimits:
    """Accounts for the memory of buffered bodies; thread-safe."""

    def __init__(self, max_body_bytes: int, max_total_bytes: int) -> None:
        """Creates limits without any reservation.

        Args:
            max_body_bytes: Largest size of one body.
            max_total_bytes: Largest sum over all bodies at one time, without
                the first 64 KiB of each.
        """
        self._max_body_bytes = max_body_bytes
        self._max_total_bytes = max_total_bytes
        self._lock = threading.Lock()
        self._held_bytes = 0
        self._peak_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes reserved now, without the uncounted part of each body."""
        with self._lock:
            return self._held_bytes

    @property
    def peak_bytes(self) -> int:
        """Largest value of `held_bytes` so far."""
        with self._lock:
            return self._peak_bytes

    def reserve(self, old_bytes: int, new_bytes: int) -> bool:
        """Reserves memory for a growing body; returns whether it fits.

        Args:
            old_bytes: Size reserved so far, 0 at first.
            new_bytes: Size needed now.
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
        """Releases the reservation of a body."""
        with self._lock:
            self._held_bytes -= _counted_bytes(size_bytes)


def _counted_bytes(size_bytes: int) -> int:
    return max(0, size_bytes - _UNCOUNTED_BYTES)
