"""Contract of the soft state."""

import mulberry_core as core
import mulberry_membership as membership

ENTRY = membership.RecordKind.ENTRY


def test_publish_replace_remove() -> None:
    """Guards against a stale record that stays listed."""
    state = membership.LocalSoftState("gent-1", core.ManualClock())
    state.publish(ENTRY, "gent-1", b"one")
    state.publish(ENTRY, "gent-1", b"two")
    assert state.records(ENTRY)["gent-1"].payload == b"two"
    state.remove(ENTRY, "gent-1")
    assert state.records(ENTRY) == {}
    state.publish(ENTRY, "gent-1", b"three")
    assert state.records(ENTRY)["gent-1"].payload == b"three"


def test_older_order_changes_nothing() -> None:
    """Guards against a late announcement that revives an upstream."""
    state = membership.LocalSoftState("gent-1", core.ManualClock())
    kind = membership.RecordKind.UPSTREAM
    assert state.put(kind, "pool-1", 5, 7, b"new")
    assert not state.put(kind, "pool-1", 5, 6, b"late")
    assert state.put(kind, "pool-1", 5, 7, b"", removed=True)
    assert not state.put(kind, "pool-1", 5, 7, b"new")
    assert state.records(kind) == {}


def test_expiry_notifies_and_does_not_revive() -> None:
    """Guards against demand of a stopped instance that counts for ever."""
    clock = core.ManualClock()
    state = membership.LocalSoftState("gent-1", clock)
    seen: list[membership.Record] = []
    state.subscribe(membership.RecordKind.DEMAND, seen.append)
    state.publish(membership.RecordKind.DEMAND, "gent-1/a", b"3", ttl_s=5.0)
    clock.advance(6.0)
    assert state.records(membership.RecordKind.DEMAND) == {}
    assert [record.removed for record in seen] == [False, True]
