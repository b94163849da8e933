"""The routing table and its lookups."""

import dataclasses
import functools
from collections.abc import Mapping

import mulberry_core as core
from mulberry_routing import _routes, _services

#: Result of a lookup with a key that belongs to no team.
UNKNOWN_KEY = core.Missing.UNSET
#: `RoutingTable.teams` if requests need no key.
NO_KEY_REQUIRED = core.Missing.UNSET


@dataclasses.dataclass(frozen=True)
class Team:
    """A customer, identified by its keys."""

    name: str
    #: `core.hash_key` of each of its keys.
    key_hashes: frozenset[str]
    #: Overrides the priority of the route; unset to keep it.
    priority: int | core.Missing = core.Missing.UNSET
    #: Regions whose upstreams may get its requests; empty for any.
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on request sizes, header time and idle time of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    #: Time limit for receiving a complete header, seconds.
    header_timeout_s: float = 3.0
    #: Maximum idle time between two requests of a connection, seconds.
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """One immutable version of the operator's routing configuration."""

    version: int
    routes: tuple[_routes.Route, ...]
    services_by_name: Mapping[str, _services.Service]
    #: Teams whose keys are accepted; several may have one name. Without any team
    #: no key is accepted, which differs from `NO_KEY_REQUIRED`.
    teams: tuple[Team, ...] | core.Missing = NO_KEY_REQUIRED
    limits: Limits = Limits()

    def match(self, host: str, path: str) -> _routes.Route | core.Missing:
        """Returns the route with the longest matching prefix or `NO_ROUTE`.

        Args:
            host: Value of the `Host` header, with or without a port.
            path: Path of the request target, without the query.
        """
        prefixes = self._route_by_prefix_by_host.get(_without_port(host))
        if not prefixes:
            return _routes.NO_ROUTE
        # Every prefix ends with a slash, so a match can end only at a slash.
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return _routes.NO_ROUTE

    @property
    def requires_key(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return not isinstance(self.teams, core.Missing)

    def team_of(self, key: str) -> Team | core.Missing:
        """Returns the team that a key belongs to, or `UNKNOWN_KEY`."""
        return self._team_by_key_hash.get(core.hash_key(key), UNKNOWN_KEY)

    @functools.cached_property
    def _route_by_prefix_by_host(
        self,
    ) -> Mapping[str, Mapping[str, _routes.Route]]:
        routes_by_prefix: dict[str, dict[str, _routes.Route]] = {}
        for route in self.routes:
            routes_by_prefix.setdefault(route.host.lower(), {})[
                route.path_prefix
            ] = route
        return routes_by_prefix

    @functools.cached_property
    def _team_by_key_hash(self) -> Mapping[str, Team]:
        if isinstance(self.teams, core.Missing):
            return {}
        return {
            key_hash: team
            for team in self.teams
            for key_hash in team.key_hashes
        }


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
