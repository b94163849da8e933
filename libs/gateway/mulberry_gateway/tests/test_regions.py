"""Tests of the zones and relays that allowed regions leave.

Guards against bodies that leave the regions in which they may be processed.
"""

import pytest

import mulberry_core as core
import mulberry_gateway as gateway
from mulberry_gateway.tests import relay_harness

_REGION_BY_ZONE = {"gent": "flanders", "brugge": "flanders", "mons": "hainaut"}
_ANY = core.Missing.UNLIMITED


@pytest.mark.parametrize(
    ("allowed", "zone", "is_permitted"),
    [
        (_ANY, "gent", True),
        (_ANY, "unlisted", True),
        (frozenset({"flanders"}), "gent", True),
        (frozenset({"flanders"}), "brugge", True),
        (frozenset({"flanders"}), "mons", False),
        (frozenset({"flanders", "hainaut"}), "mons", True),
        (frozenset({"flanders"}), "unlisted", False),
        (frozenset({""}), "unlisted", False),
        # A route and a team that share no region.
        (frozenset[str](), "gent", False),
    ],
)
def test_zones_of_allowed_regions(
    allowed: frozenset[str] | core.Missing, zone: str, is_permitted: bool
) -> None:
    policy = gateway.RegionPolicy(_REGION_BY_ZONE, "gent")
    assert policy.permits(allowed, zone) is is_permitted


@pytest.mark.parametrize(
    ("own_zone", "own_region", "allowed", "relay_zone", "may_relay"),
    [
        ("gent", "", frozenset({"hainaut"}), "mons", True),
        # In the region of the caller's entry.
        ("gent", "", frozenset({"hainaut"}), "gent", True),
        ("gent", "", frozenset({"hainaut"}), "brugge", True),
        ("gent", "", frozenset({"flanders"}), "mons", False),
        ("gent", "", frozenset({"flanders"}), "unlisted", False),
        ("gent", "", frozenset({"flanders"}), "", False),
        ("gent", "", _ANY, "unlisted", True),
        # The zone of this instance is not listed.
        ("new", "", frozenset({"hainaut"}), "new", True),
        ("new", "", frozenset({"hainaut"}), "gent", False),
        ("new", "flanders", frozenset({"hainaut"}), "gent", True),
        ("new", "", frozenset({"hainaut"}), "unlisted", False),
    ],
)
def test_relays_for_allowed_regions(
    own_zone: str,
    own_region: str,
    allowed: frozenset[str] | core.Missing,
    relay_zone: str,
    may_relay: bool,
) -> None:
    policy = gateway.RegionPolicy(_REGION_BY_ZONE, own_zone, own_region)
    relay = gateway.Relay("r", "10.0.0.1:1", relay_zone)
    assert policy.relay_filter(allowed)(relay) is may_relay


@pytest.mark.parametrize("may_relay", [True, False])
def test_a_connection_takes_only_permitted_relays(
    resources: relay_harness.Resources, may_relay: bool
) -> None:
    """Guards against a relay in another region when the direct path fails."""
    server = resources.server(lambda connection: None)
    upstream = relay_harness.upstream("i-1", server.address)
    relay = resources.relay("r1", upstream)
    connector = gateway.UpstreamConnector(
        relay_harness.FixedRelays(relay.candidate),
        relay_harness.recorder(core.MemoryCounters()),
        lambda address: gateway.ConnectionFailure.RESET,
    )
    for _ in range(3):
        opened = connector.connect(
            upstream, may_relay=lambda candidate: may_relay
        )
        is_open = not isinstance(opened, gateway.ConnectionFailure)
        assert is_open is may_relay
        if not isinstance(opened, gateway.ConnectionFailure):
            opened.close()
    assert (server.accepted > 0) is may_relay
