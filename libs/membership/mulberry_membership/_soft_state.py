"""The interface of the soft state."""

import abc
from collections.abc import Callable, Mapping

import mulberry_core as core
from mulberry_membership import _records

#: Receives each change of a record: a new record, or one with `removed` set
#: when it was removed, has expired, or its owner is dead.
RecordCallback = Callable[[_records.Record], None]


class SoftState(abc.ABC):
    """Records that all instances propagate to each other.

    Nothing here is durable: a record lives while its owner does, except for
    the kinds of `OUTLIVES_OWNER`, which last while any instance holds them and
    their time has not passed. Methods may be called from any thread. Callbacks
    run on the thread that made or received the change; they must be short and
    must not block.
    """

    @property
    @abc.abstractmethod
    def owner(self) -> str:
        """Name of this instance, the owner of what it publishes."""

    @abc.abstractmethod
    def publish(
        self,
        kind: _records.RecordKind,
        id: str,
        payload: bytes,
        ttl_s: float | core.Missing = core.Missing.UNLIMITED,
        urgent: bool = False,
    ) -> _records.Record:
        """Publishes this instance's own record; it replaces the one before.

        Args:
            kind: Kind of the record.
            id: Unique within the kind, over all instances.
            payload: Content, opaque to the soft state.
            ttl_s: Seconds until the record expires unless published again;
                unlimited records live as long as this instance.
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
        """Publishes a record that something else orders, as upstreams do.

        Returns:
            Whether the record is newer than the one held before; an older
            one changes nothing.
        """

    @abc.abstractmethod
    def remove(
        self, kind: _records.RecordKind, id: str, urgent: bool = True
    ) -> None:
        """Removes a record that this instance published, if there is one."""

    @abc.abstractmethod
    def records(
        self, kind: _records.RecordKind
    ) -> Mapping[str, _records.Record]:
        """Returns the live records of a kind by id."""

    @abc.abstractmethod
    def latest(
        self, kind: _records.RecordKind, id: str
    ) -> _records.Record | core.Missing:
        """Returns the newest record held of an id, also if it is removed."""

    @abc.abstractmethod
    def age_s(self, kind: _records.RecordKind, id: str) -> float:
        """Returns the seconds since the newest record arrived here.

        Infinite where nothing is held.
        """

    @abc.abstractmethod
    def staleness_s(self, owner: str) -> float:
        """Returns for how long the records of an owner may be out of date.

        Seconds since exchanges with the owner, or all exchanges of this
        instance, began to fail; zero while they succeed.
        """

    @abc.abstractmethod
    def subscribe(
        self, kind: _records.RecordKind, callback: RecordCallback
    ) -> None:
        """Calls back with each change of a record of this kind."""
