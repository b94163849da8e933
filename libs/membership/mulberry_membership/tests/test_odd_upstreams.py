"""Tests of upstream records that this version does not accept as news.

An instance of an earlier version, or another writer, may have published them.
"""

import pytest

import mulberry_core as core
import mulberry_membership as membership
from mulberry_wire import peer_pb2

UPSTREAM = membership.RecordKind.UPSTREAM


def _payload(**changes: object) -> bytes:
    fields = {"address": "10.0.0.1:80", "zone": "z", "capacity": 4, **changes}
    return peer_pb2.UpstreamPayload(**fields).SerializeToString()  # type: ignore[arg-type]


ODD_RECORDS = {
    "no message": ("odd", b"\xff\xff\xff"),
    "empty": ("odd", b""),
    "JSON": ("odd", b'{"address": "10.0.0.1:80"}'),
    **{
        f"address {address!r:.30}": ("odd", _payload(address=address))
        for address in (
            "",
            "10.0.0.1",
            "10.0.0.1:0",
            "10.0.0.1:99999",
            "999.999.1.1:80",
            "1.......:80",
            "010.0.0.1:80",
            "0.0.0.0:80",
            "a..b:80",
            "localhost:80",
            "10.0.0.1:80\0",
            "10.0.0.1:80\r\nX: y",
            "file:///etc/passwd",
            "10.0.0.1:\u00b2",
            "10.0.0.1:" + "9" * 5_000,
        )
    },
    "no capacity": ("odd", _payload(capacity=0)),
    "capacity too large": ("odd", _payload(capacity=2**32 - 1)),
    "name not in Latin-1": ("odd\u20ac", _payload()),
    "name with a line break": ("odd\r\nX-Tenant-Id: a", _payload()),
    "name with a space": ("odd 1", _payload()),
}


@pytest.mark.parametrize(
    ("name", "payload"), ODD_RECORDS.values(), ids=ODD_RECORDS
)
def test_odd_upstream_hides_no_other(
    name: str, payload: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against requests that fail because of one odd record.

    Without capacity the choice among the upstreams of a service divides by
    zero, a name outside Latin-1 cannot be sent in a header, and an address that
    is no IP address is looked up by the thread of the request.
    """
    clock = core.ManualClock(1_000.0)
    state = membership.LocalSoftState("own", clock)
    directory = membership.UpstreamDirectory(
        state, clock, core.MemoryCounters()
    )
    state.put(UPSTREAM, name, 1, 1, payload)
    state.put(UPSTREAM, "sound", 1, 1, _payload())
    caplog.clear()
    for _ in range(3):
        assert set(directory.upstreams()) == {"sound"}
        assert directory.find(name) is core.Missing.UNSET
        clock.advance(1.0)
    assert sum("cannot be read" in line for line in caplog.messages) == 1


def test_upstream_with_a_scheme_is_listed() -> None:
    """Guards against a check that fits only one of the two users."""
    clock = core.ManualClock(1_000.0)
    state = membership.LocalSoftState("own", clock)
    directory = membership.UpstreamDirectory(
        state, clock, core.MemoryCounters()
    )
    for name, address in [("a", "http://10.0.0.1:80"), ("b", "[::1]:80")]:
        state.put(UPSTREAM, name, 1, 1, _payload(address=address))
    assert set(directory.upstreams()) == {"a", "b"}
