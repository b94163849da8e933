"""Tests for lookups in the routing table."""

import dataclasses

import pytest

import mulberry_core as core
import mulberry_routing as routing


def _route(name: str, prefix: str) -> routing.Route:
    return routing.Route(
        name=name,
        host="Models.example",
        path_prefix=prefix,
        kind=routing.RouteKind.SAFE,
        timeout_s=1.0,
        target_latency_s=0.3,
        weight_by_service={"pool": 1},
    )


TABLE = routing.RoutingTable(
    version=1,
    routes=(_route("all", "/"), _route("a", "/a/"), _route("deep", "/a/b/")),
    services_by_name={"pool": routing.Service("pool")},
    teams=(
        routing.Team("ventas", frozenset({core.hash_key("k1")}), priority=2),
    ),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("models.example", "/a/b/c", "deep"),
        ("models.example:8080", "/a/b/", "deep"),
        # A prefix ends at a slash: /a/b is not below /a/b/.
        ("models.example", "/a/b", "a"),
        ("models.example", "/ab", "all"),
        ("MODELS.EXAMPLE", "/a/", "a"),
        # Escapes and dot segments are not resolved, as the upstream gets them
        # unchanged.
        ("models.example", "/x/../a/y", "all"),
        ("models.example", "/%61/y", "all"),
    ],
)
def test_the_longest_prefix_wins(host: str, path: str, name: str) -> None:
    route = TABLE.match(host, path)
    assert isinstance(route, routing.Route)
    assert route.name == name


@pytest.mark.parametrize(
    ("host", "path"), [("other.example", "/a/"), ("", "/"), ("x", "")]
)
def test_unmatched_request_has_no_route(host: str, path: str) -> None:
    assert TABLE.match(host, path) is routing.NO_ROUTE


@pytest.mark.parametrize(
    ("teams", "is_required"),
    [
        (routing.NO_KEY_REQUIRED, False),
        ((), True),
        ((routing.Team("ventas", frozenset()),), True),
    ],
)
def test_a_key_is_required_by_any_list_of_teams(
    teams: tuple[routing.Team, ...] | core.Missing, is_required: bool
) -> None:
    """Guards against a table that accepts every key once it has no team."""
    table = dataclasses.replace(TABLE, teams=teams)
    assert table.requires_key is is_required
    assert table.team_of("k1") is routing.UNKNOWN_KEY


def test_a_key_belongs_to_its_team_only() -> None:
    team = TABLE.team_of("k1")
    assert isinstance(team, routing.Team)
    assert team.name == "ventas"
    assert TABLE.team_of("K1") is core.Missing.UNSET
    assert TABLE.team_of("") is routing.UNKNOWN_KEY
