"""Interface of the replicated soft state."""

import abc
from collections.abc import Callable, Mapping

import mulberry_core as core
from mulberry_membership import _records

#: Receives each change of a record: the new record, or one with `removed` set
#: when the record was removed or has expired, or its owner has died.
RecordCallback = Callable[[_records.Record], None]


class SoftState(abc.ABC):
    """Records that are replicated to all instances by gossip.

    Nothing is durable. A record lives as long as its owner, except for the
    kinds in `OUTLIVES_OWNER`, which last until they expire or no instance
    stores them any more. Methods may be called from any thread. Callbacks run
    on the thread that made or received the change; they must be short and must
    not block.
    """

    @property
    @abc.abstractmethod
    def owner(self) -> str:
        """Name of this instance, which owns the records it publishes."""

    @abc.abstractmethod
    def publish(
        self,
        kind: _records.RecordKind,
        id: str,
        payload: bytes,
        ttl_s: float | core.Missing = core.Missing.UNLIMITED,
        urgent: bool = False,
    ) -> _records.Record:
        """Publishes a record of this instance, replacing the previous one.

        Args:
            kind: Kind of the record.
            id: Unique within the kind across all instances.
            payload: Content, which the soft state does not interpret.
            ttl_s: Seconds until the record expires unless it is published
                again; unlimited records live as long as this instance.
            urgent: Whether to send the record to peers immediately.
        """

    @abc.abstractmethod
    def put(
        self,
        kind: _records.RecordKind,
        id: str,
        incarnation: int,
        sequence: int,
        payload: bytes,
        ttl_s: float | core.Missing = core.Missing.UNLIMITED,
        removed: bool = False,
        urgent: bool = False,
    ) -> bool:
        """Publishes a record whose order is given by the caller.

        The records of an upstream, for example, are ordered by the numbers of
        its announcements.

        Returns:
            Whether the record is newer than the stored one. An older record
            is ignored.
        """

    @abc.abstractmethod
    def remove(
        self, kind: _records.RecordKind, id: str, urgent: bool = True
    ) -> None:
        """Removes a record published by this instance, if it exists."""

    @abc.abstractmethod
    def records(
        self, kind: _records.RecordKind
    ) -> Mapping[str, _records.Record]:
        """Returns the live records of a kind by id."""

    @abc.abstractmethod
    def latest(
        self, kind: _records.RecordKind, id: str
    ) -> _records.Record | core.Missing:
        """Returns the newest record of an id, even if it is a removal."""

    @abc.abstractmethod
    def age_s(self, kind: _records.RecordKind, id: str) -> float:
        """Returns the seconds since the newest record arrived here.

        Infinite if no record is stored.
        """

    @abc.abstractmethod
    def staleness_s(self, owner: str) -> float:
        """Returns how long the records of an owner may have been out of date.

        That is the time in seconds since exchanges with the owner, or all
        exchanges of this instance, started to fail; zero while they succeed.
        """

    @abc.abstractmethod
    def isolated_s(self) -> float:
        """Returns how long all exchanges of this instance have failed, seconds.

        Zero while any of them succeeds.
        """

    @abc.abstractmethod
    def wait_until_shared(
        self, kind: _records.RecordKind, id: str, timeout_s: float
    ) -> bool:
        """Waits until another instance has the newest record of an id.

        Until then, the record is lost with this instance.

        Args:
            kind: Kind of the record.
            id: Id of the record.
            timeout_s: Longest wait, seconds.

        Returns:
            Whether another instance has it, or there is no other.
        """

    @abc.abstractmethod
    def subscribe(
        self, kind: _records.RecordKind, callback: RecordCallback
    ) -> None:
        """Registers a callback for changes of records of this kind."""

    @abc.abstractmethod
    def report_unreadable(self, record: _records.Record) -> None:
        """Logs and counts a record that a reader cannot decode, once."""
