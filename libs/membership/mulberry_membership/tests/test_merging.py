"""Stateful test of record merging with duplicated and reordered messages."""

import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

import mulberry_core as core
import mulberry_membership as membership
from mulberry_membership import _store

KIND = membership.RecordKind.UPSTREAM
OWNERS = ("a", "b", "c")
IDS = ("u", "v")
#: Maximum delay of a message in the state machine, seconds. It is below the
#: lifetime of tombstones, as in operation.
MAX_DELAY_S = _store.TOMBSTONE_S / 2

_order = st.tuples(st.integers(0, 3), st.integers(0, 6))


@dataclasses.dataclass(frozen=True)
class _Message:
    record: membership.Record
    sent_s: float
    ttl_s: float


class Merging(RuleBasedStateMachine):
    """Three stores that receive the same records in any order and number."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = core.ManualClock(1_000.0)
        self.stores = {name: _store.RecordStore(self.clock) for name in OWNERS}
        self.messages: list[_Message] = []
        #: Published orders by id, with the times of publication.
        self.published: dict[
            str, list[tuple[tuple[int, int, bool], float]]
        ] = {}
        #: Highest order seen by store and id, and highest order of a removal.
        self.highest: dict[tuple[str, str], tuple[object, ...]] = {}
        self.removed: dict[tuple[str, str], tuple[object, ...]] = {}

    @rule(
        owner=st.sampled_from(OWNERS),
        id=st.sampled_from(IDS),
        order=_order,
        epoch=st.integers(0, 1),
        removed=st.booleans(),
        payload=st.sampled_from([b"x", b"y"]),
        ttl_s=st.sampled_from([2.0, 10.0, 1e9]),
    )
    def publish(
        self,
        owner: str,
        id: str,
        order: tuple[int, int],
        epoch: int,
        removed: bool,
        payload: bytes,
        ttl_s: float,
    ) -> None:
        record = membership.Record(
            kind=KIND,
            id=id,
            owner=owner,
            epoch=epoch,
            incarnation=order[0],
            sequence=order[1],
            payload=b"" if removed else payload,
            removed=removed,
        )
        if self._is_too_late(id, (*order, removed)):
            return
        if removed:
            ttl_s = _store.TOMBSTONE_S
        message = _Message(record, self.clock.now(), ttl_s)
        self.messages.append(message)
        self._deliver(message, owner)

    def _is_too_late(self, id: str, order: tuple[int, int, bool]) -> bool:
        """Whether a publication at least as new is older than any message.

        In operation, later publications have a higher order. So do removals: an
        instance removes only a record that it still stores, under the stored
        order.
        """
        published = self.published.setdefault(id, [])
        oldest_s = self.clock.now() - MAX_DELAY_S
        if any(
            known[:2] >= order[:2] and since_s < oldest_s
            for known, since_s in published
        ):
            return True
        published.append((order, self.clock.now()))
        return False

    @rule(data=st.data(), to=st.sampled_from(OWNERS))
    def deliver(self, data: st.DataObject, to: str) -> None:
        if self.messages:
            self._deliver(data.draw(st.sampled_from(self.messages)), to)

    @rule(seconds=st.sampled_from([0.5, 3.0, 20.0]))
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(seconds)
        for store in self.stores.values():
            store.expire()
        oldest_s = self.clock.now() - MAX_DELAY_S
        self.messages = [
            message for message in self.messages if message.sent_s >= oldest_s
        ]

    @rule()
    def deliver_all_in_opposite_orders(self) -> None:
        """Checks commutativity: order and repetition do not matter."""
        valid = [item for item in self.messages if self._remaining_s(item) > 0]
        for name in OWNERS[:2]:
            for message in valid:
                self._deliver(message, name)
        for message in reversed(valid):
            self._deliver(message, OWNERS[2])
        for id in {message.record.id for message in valid}:
            newest = max(
                message.record.order
                for message in valid
                if message.record.id == id
            )
            self._check_equal(id, newest)

    def _check_equal(self, id: str, newest: tuple[object, ...]) -> None:
        stored = [store.latest((KIND, id)) for store in self.stores.values()]
        orders = set()
        for item in stored:
            assert isinstance(item, membership.Record)
            assert item.order >= newest
            orders.add(item.order)
        listed = [store.records(KIND).get(id) for store in self.stores.values()]
        if len(orders) == 1:
            assert listed[0] == listed[1] == listed[2]
        else:
            # One store alone received a newer record, which has expired.
            assert max(orders) > newest

    @invariant()
    def no_record_is_revived(self) -> None:
        """Checks that a removed order is never listed again."""
        for name, store in self.stores.items():
            for id in IDS:
                self._check_order(name, id, store)

    def _check_order(
        self, name: str, id: str, store: _store.RecordStore
    ) -> None:
        record = store.latest((KIND, id))
        if isinstance(record, core.Missing):
            return
        key = (name, id)
        last = self.highest.get(key)
        assert last is None or record.order >= last
        self.highest[key] = record.order
        if record.removed:
            self.removed[key] = record.order
        elif key in self.removed:
            assert record.order > self.removed[key]

    def _deliver(self, message: _Message, to: str) -> None:
        remaining_s = self._remaining_s(message)
        if remaining_s <= 0:
            return
        store = self.stores[to]
        store.merge(message.record, remaining_s, "peer")
        stamp = store.stamp
        # Idempotence: merging the same message again is not a change.
        assert not store.merge(message.record, remaining_s, "peer")
        assert store.stamp == stamp

    def _remaining_s(self, message: _Message) -> float:
        return message.ttl_s - (self.clock.now() - message.sent_s)


TestMerging = Merging.TestCase
TestMerging.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
