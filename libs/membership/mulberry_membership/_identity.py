"""Epoch, incarnation and sequence of this instance."""

import threading

import mulberry_core as core
from mulberry_membership import _records


class Identity:
    """Numbers the records of one process of an instance; thread-safe."""

    def __init__(self, name: str, clock: core.Clock) -> None:
        """Creates the identity of a process that starts now.

        Args:
            name: Name of the instance.
            clock: The time of day is the first incarnation, in milliseconds,
                so that a restart within a second gets a higher one.
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
        """Present incarnation."""
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
        """Returns the next record that this instance orders itself."""
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
            Whether the suspicion was of the present incarnation.
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
        """Whether an earlier process of this instance made the record.

        It had a clock ahead of ours, or the clock was set back since: its
        records would hide ours.

        Args:
            record: Received, with this instance as its owner.
            stored: What this instance holds of the same key.
        """
        if record.removed and record.kind is not _records.RecordKind.MEMBER:
            return False
        is_held = not isinstance(stored, core.Missing)
        if (
            not isinstance(stored, core.Missing)
            and stored.order >= record.order
        ):
            return False
        if record.epoch >= self.epoch:
            return True
        return is_held and record.kind not in _records.EXTERNALLY_ORDERED

    def raise_epoch_above(self, record: _records.Record) -> tuple[int, int]:
        """Begins an epoch above that of a record of an earlier process.

        Returns:
            The epoch before and the new one.
        """
        with self._lock:
            old_epoch = self._epoch
            highest = max(record.epoch, self._incarnation)
            if record.kind not in _records.EXTERNALLY_ORDERED:
                highest = max(highest, record.incarnation)
            self._epoch = self._incarnation = highest + 1
            return old_epoch, self._epoch
