"""Epoch, incarnation and sequence numbers of this instance."""

import threading

import mulberry_core as core
from mulberry_membership import _records


class Identity:
    """Assigns order numbers to the records of one process; thread-safe."""

    def __init__(self, name: str, clock: core.Clock) -> None:
        """Creates the identity of a newly started process.

        Args:
            name: Name of the instance.
            clock: Source of the wall-clock time, which in milliseconds is
                the first incarnation, so that a restart within the same second
                gets a higher one.
        """
        self.name = name
        self._lock = threading.Lock()
        self._epoch = max(1, int(clock.wall() * 1000))
        self._incarnation = self._epoch
        self._sequence = 0

    @property
    def epoch(self) -> int:
        """Incarnation at the start of this process."""
        with self._lock:
            return self._epoch

    @property
    def incarnation(self) -> int:
        """Current incarnation."""
        with self._lock:
            return self._incarnation

    def record(
        self,
        kind: _records.RecordKind,
        id: str,
        payload: bytes,
        removed: bool = False,
        urgent: bool = False,
    ) -> _records.Record:
        """Creates the next record in this instance's own order."""
        with self._lock:
            self._sequence += 1
            return _records.Record(
                kind=kind,
                id=id,
                owner=self.name,
                epoch=self._epoch,
                incarnation=self._incarnation,
                sequence=self._sequence,
                payload=payload,
                removed=removed,
                urgent=urgent,
            )

    def refute(self, incarnation: int) -> bool:
        """Raises the incarnation above a suspected one.

        Returns:
            Whether a refutation is needed. A suspicion of an earlier
            incarnation is ignored.
        """
        with self._lock:
            if incarnation < self._incarnation:
                return False
            self._incarnation = incarnation + 1
            return True

    def is_superseded_by(
        self,
        record: _records.Record,
        stored: _records.Record | core.Missing,
    ) -> bool:
        """Whether a record of an earlier process would hide new records.

        This happens if the earlier process started with a clock ahead of the
        current one, or the clock was set back since.

        Args:
            record: Received record that names this instance as its owner.
            stored: Record that this instance stores under the same key.
        """
        if record.removed and record.kind is not _records.RecordKind.MEMBER:
            return False
        is_stored = not isinstance(stored, core.Missing)
        if (
            not isinstance(stored, core.Missing)
            and stored.order >= record.order
        ):
            return False
        if record.epoch >= self.epoch:
            return True
        return is_stored and record.kind not in _records.EXTERNALLY_ORDERED

    def raise_epoch_above(self, record: _records.Record) -> tuple[int, int]:
        """Starts an epoch above that of a record of an earlier process.

        Returns:
            The previous and the new epoch.
        """
        with self._lock:
            old_epoch = self._epoch
            highest = max(record.epoch, self._incarnation)
            if record.kind not in _records.EXTERNALLY_ORDERED:
                highest = max(highest, record.incarnation)
            self._epoch = self._incarnation = highest + 1
            return old_epoch, self._epoch
